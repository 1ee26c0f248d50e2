// SPDX-License-Identifier: MIT

package gateway

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"lynxramp.org/event"
	"lynxramp.org/internal/uptime"
)

// suspendableClock is the clock of a machine that a test suspends: it jumps, while the monotonic clock used by
// timers does not.
type suspendableClock struct{ slept atomic.Int64 }

func (s *suspendableClock) now() event.Duration           { return uptime.Now() + event.Duration(s.slept.Load()) }
func (s *suspendableClock) suspend(length event.Duration) { s.slept.Add(int64(length)) }

// TestConfigurationExpiresDuringSuspend: the validity of a configuration includes suspended time, as keys may have
// been revoked meanwhile. The entry must refuse requests and not be ready until an owner confirms its version.
func TestConfigurationExpiresDuringSuspend(t *testing.T) {
	clock := &suspendableClock{}
	e := newFakeEndpoint(t, whole(200, "ok"))
	r := newTestGatewayWithClock(t, event.NewClockFrom(clock.now), e)
	r.owner.mu.Lock()
	r.owner.unresponsive = true
	r.owner.mu.Unlock()
	clock.suspend(6 * event.Second)
	if r.gateway.Ready() || r.agent.Table() != nil {
		t.Error("ready with an expired configuration")
	}
	if status, _, _ := r.do(t, r.request("POST", "/safe/1", "")); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if e.runs() != 0 {
		t.Error("a request was sent with an expired configuration")
	}
	r.owner.mu.Lock()
	r.owner.unresponsive = false
	r.owner.mu.Unlock()
	waitFor(t, "the gateway is ready again", r.gateway.Ready)
	if status, body, _ := r.do(t, r.request("POST", "/safe/1", "")); status != http.StatusOK || body != "ok" {
		t.Errorf("after the configuration was confirmed: status %d, body %q, want 200", status, body)
	}
}

// TestForwardedDeadlineIncludesSuspend guards against giving the next endpoint the suspended time on top, so that it
// still runs the request after the caller has timed out.
func TestForwardedDeadlineIncludesSuspend(t *testing.T) {
	const suspended = 1500 * time.Millisecond // of the 2.5 s that the caller waits
	clock := &suspendableClock{}
	first := newFakeEndpoint(t, func(c net.Conn, q *http.Request) bool {
		clock.suspend(suspended)
		return notRun(c, q)
	})
	second := newFakeEndpoint(t, whole(200, "ok"))
	r := newTestGatewayWithClock(t, event.NewClockFrom(clock.now), first, second)
	if status, _, _ := r.do(t, r.request("POST", "/safe/1", "")); status != http.StatusOK || second.runs() != 1 {
		t.Fatalf("status %d, %d runs", status, second.runs())
	}
	if ms, err := strconv.Atoi(second.requests[0].Header.Get("X-Deadline")); err != nil || ms > 1000 {
		t.Errorf("the endpoint got a deadline of %d ms (%v), at most 1000 remained", ms, err)
	}
}

// TestNotSentAfterSuspendPastDeadline: a request whose deadline passed during a suspend is not sent, and gets a
// response that it was not run.
func TestNotSentAfterSuspendPastDeadline(t *testing.T) {
	clock := &suspendableClock{}
	first := newFakeEndpoint(t, func(c net.Conn, q *http.Request) bool {
		clock.suspend(4 * time.Second)
		return notRun(c, q)
	})
	second := newFakeEndpoint(t, whole(200, "ok"))
	r := newTestGatewayWithClock(t, event.NewClockFrom(clock.now), first, second)
	if status, _, _ := r.do(t, r.request("POST", "/safe/1", "")); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if second.runs() != 0 {
		t.Error("a request was sent after its deadline")
	}
}

// TestNotRetriedAfterSuspend: a retry is not sent if the machine was suspended for longer than the retry budget
// counts it.
func TestNotRetriedAfterSuspend(t *testing.T) {
	clock := &suspendableClock{}
	first, second := newFakeEndpoint(t, reset), newFakeEndpoint(t, whole(200, "ok"))
	r := newTestGatewayWithClock(t, event.NewClockFrom(clock.now), first, second)
	r.owner.mu.Lock()
	r.owner.beforeRetry = func() { clock.suspend(2500 * time.Millisecond) }
	r.owner.mu.Unlock()
	status, _, _ := r.do(t, r.request("POST", "/safe/1", ""))
	if second.runs() != 0 || status == http.StatusOK {
		t.Errorf("status %d, %d runs: a retry was sent that the budget no longer counts", status, second.runs())
	}
}
