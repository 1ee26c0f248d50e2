// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// heldRequest is a request in flight, with what its caller gets.
type heldRequest struct {
	status int
	body   string
	took   time.Duration
}

func (r *testGateway) send(t *testing.T, path string) chan heldRequest {
	t.Helper()
	result := make(chan heldRequest, 1)
	began := time.Now()
	go func() {
		status, body, _ := r.do(t, r.request("POST", path, "q"))
		result <- heldRequest{status, body, time.Since(began)}
	}()
	return result
}

// TestStopAnswersAtOnceWhatCannotEndInTime guards against requests that arrive during a planned stop, are sent on, and are
// cut at its end, and against refusals of requests that can end before it.
func TestStopAnswersAtOnceWhatCannotEndInTime(t *testing.T) {
	endpoint := newFakeEndpoint(t, whole(200, "answer"))
	r := newTestGateway(t, endpoint, endpoint, endpoint, endpoint)
	check := func(phase DrainPhase, deadline time.Duration, wantStatus, wantRuns int) {
		t.Helper()
		q := r.request("POST", "/once/x", "q")
		q.Header.Set("X-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
		a, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = a.Body.Close() // only the head is looked at
		if a.StatusCode != wantStatus || endpoint.runs() != wantRuns || !a.Close {
			t.Errorf("%s, deadline %v: status %d, %d runs, connection closed: %t; want %d and %d", phase, deadline, a.StatusCode, endpoint.runs(), a.Close, wantStatus, wantRuns)
		}
		if wantStatus == http.StatusServiceUnavailable && a.Header.Get("Retry-After") == "" {
			t.Errorf("%s: a refusal without Retry-After", phase)
		}
	}
	r.gateway.StartDraining(time.Second)
	if r.gateway.Ready() {
		t.Error("the gateway is ready during a stop")
	}
	check(Accepting, 2*time.Second, http.StatusOK, 1)
	if ms, _ := strconv.Atoi(endpoint.requests[0].Header.Get("X-Deadline")); ms < 500 || ms > 1000 {
		t.Errorf("the endpoint was given %d ms, want what the stop leaves", ms)
	}
	r.gateway.SetDrainPhase(Finishing)
	check(Finishing, 2*time.Second, http.StatusServiceUnavailable, 1)
	check(Finishing, 300*time.Millisecond, http.StatusOK, 2)
	r.gateway.SetDrainPhase(Refusing)
	check(Refusing, 100*time.Millisecond, http.StatusServiceUnavailable, 2)
}

// TestStopEndsRequestsTruthfully guards against requests that are left without a response at the end of a planned stop, or
// get one that says that they did not run, and against endpoints that are blamed for it.
func TestStopEndsRequestsTruthfully(t *testing.T) {
	began := make(chan struct{}, 2)
	endpoint := newFakeEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		began <- struct{}{}
		_, _ = c.Read(make([]byte, 1)) // until the gateway closes the connection
		return false
	})
	r := newTestGateway(t, endpoint, endpoint)
	runs := r.send(t, "/once/x")
	repeatable := r.send(t, "/safe/x")
	<-began
	<-began
	r.owner.mu.Lock()
	r.owner.hold = true
	r.owner.mu.Unlock()
	waits := r.send(t, "/once/x")
	waitFor(t, "all are in flight", func() bool { all, _ := r.gateway.InFlight(); return all == 3 })
	r.gateway.StartDraining(time.Second)
	r.gateway.SetDrainPhase(Refusing)
	if n := r.gateway.AcceptedInFlight(); n != 3 {
		t.Errorf("%d requests were accepted before, want 3", n)
	}
	stopped := time.Now()
	r.gateway.SetDrainPhase(Stopped)
	for name, c := range map[string]struct {
		result chan heldRequest
		want   int
	}{"at an endpoint": {runs, http.StatusBadGateway}, "repeatable": {repeatable, http.StatusBadGateway}, "waiting": {waits, http.StatusServiceUnavailable}} {
		if got := <-c.result; got.status != c.want {
			t.Errorf("%s: status %d %q, want %d", name, got.status, got.body, c.want)
		}
	}
	if took := time.Since(stopped); took > 500*time.Millisecond {
		t.Errorf("the responses took %v", took)
	}
	waitFor(t, "both attempts are reported", func() bool {
		r.owner.mu.Lock()
		defer r.owner.mu.Unlock()
		return len(r.owner.finished) == 2
	})
	for _, f := range r.owner.finished {
		if f.Suspect || !f.Abandoned {
			t.Errorf("an attempt was reported as %+v, want one that was abandoned", f)
		}
	}
}

// TestStopLogsRequestsThatItEnds guards against a stop whose log doesn't tell which requests it ended and what they waited for.
func TestStopLogsRequestsThatItEnds(t *testing.T) {
	began := make(chan struct{}, 2)
	endpoint := newFakeEndpoint(t, func(c net.Conn, q *http.Request) bool {
		if q.URL.Path == "/once/long" {
			fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nh", head(q, 200, ""))
		}
		began <- struct{}{}
		_, _ = c.Read(make([]byte, 1)) // until the gateway closes the connection
		return false
	})
	r := newTestGateway(t, endpoint, endpoint)
	core, lines := observer.New(zap.WarnLevel)
	r.gateway.log = zap.New(core)
	results := []chan heldRequest{r.send(t, "/once/x")}
	var cut sync.WaitGroup
	cut.Go(func() {
		if a, err := http.DefaultClient.Do(r.request("POST", "/once/long", "q")); err == nil {
			_ = a.Body.Close() // the stop cuts it
		}
	})
	<-began
	<-began
	r.owner.mu.Lock()
	r.owner.hold = true
	r.owner.mu.Unlock()
	results = append(results, r.send(t, "/safe/x"))
	waitFor(t, "all are in flight, one with the beginning of its response, and one waits for an endpoint", func() bool {
		all, _ := r.gateway.InFlight()
		r.owner.mu.Lock()
		defer r.owner.mu.Unlock()
		return all == 3 && r.gateway.responses.Load() == 1 && len(r.owner.submits) == 3
	})
	r.gateway.StartDraining(time.Second)
	r.gateway.SetDrainPhase(Stopped)
	for _, result := range results {
		<-result
	}
	cut.Wait()
	got := make(map[string]int)
	for _, line := range lines.FilterMessage("ended by the stop").All() {
		fields := line.ContextMap()
		_, hasEndpoint := fields["endpoint"]
		got[fmt.Sprintf("%v %v %v %t", fields["how"], fields["route"], fields["waits_for"], hasEndpoint)]++
	}
	want := map[string]int{"given_up once response true": 1, "given_up once rest_of_response true": 1, "given_up safe endpoint false": 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("logged requests (-want +got):\n%s", diff)
	}
}

// TestStopHandsOverCompleteResponses guards against a planned stop that cuts a response which its endpoint has completed,
// because the caller reads slowly.
func TestStopHandsOverCompleteResponses(t *testing.T) {
	text := strings.Repeat("abcdefgh", 400<<10/8)
	for name, held := range map[string]*HeldMemory{"held memory": heldLimits(), "without": nil} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newHeldGateway(t, held, newFakeEndpoint(t, whole(200, text)))
			r.server = httptest.NewUnstartedServer(r.gateway)
			r.server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
				_ = c.(*net.TCPConn).SetWriteBuffer(callerSendBuffer) // a larger one takes the whole response at once
				return r.gateway.CallerContext(ctx, c)
			}
			r.server.Start()
			t.Cleanup(r.server.Close)
			c := r.dialCaller(t, testReceiveBuffer)
			fmt.Fprint(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request: r-1\r\nAuthorization: Key key\r\nContent-Length: 1\r\n\r\nq")
			waitFor(t, "the response waits for its caller", func() bool {
				list := r.gateway.calls.list()
				return len(list) == 1 && awaited(list[0].awaited.now.Load()) == sendingResponse
			})
			r.gateway.StartDraining(time.Second)
			r.gateway.SetDrainPhase(Stopped)
			r.checkNothingHeld(t)
			_ = r.server.Config.Close() // as at the end of a stop
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(a.Body)
			if err != nil || string(got) != text {
				t.Errorf("%d of %d bytes arrived, %v", len(got), len(text), err)
			}
		})
	}
}

// TestKeptConnectionIsClosedByResponse guards against a kept connection that is closed without a word during a planned stop:
// also the response to a request from before the stop tells its caller that the connection closes.
func TestKeptConnectionIsClosedByResponse(t *testing.T) {
	began, answer := make(chan struct{}), make(chan struct{})
	r := newTestGateway(t, newFakeEndpoint(t, func(c net.Conn, q *http.Request) bool {
		close(began)
		<-answer
		fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nhi", head(q, 200, ""))
		return true
	}))
	closes := make(chan bool, 1)
	go func() {
		a, err := http.DefaultClient.Do(r.request("POST", "/once/x", "q"))
		if err != nil {
			t.Error(err)
			closes <- false
			return
		}
		_ = a.Body.Close() // only the head is looked at
		closes <- a.Close
	}()
	<-began
	r.gateway.StartDraining(time.Minute)
	close(answer)
	if !<-closes {
		t.Error("the response does not say that the connection closes")
	}
}
