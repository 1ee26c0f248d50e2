// SPDX-License-Identifier: MIT

package gateway

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/admission"
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/routing"
)

// unframed responds with a body that ends with its connection.
func unframed(c net.Conn, r *http.Request) bool {
	fmt.Fprintf(c, "%sConnection: close\r\n\r\nhalf or whole", head(r, 200, ""))
	return false
}

// foreign responds with the ID of another request.
func foreign(c net.Conn, r *http.Request) bool {
	r.Header.Set("X-Request", "another")
	return whole(200, "x")(c, r)
}

// noResponse never responds.
func noResponse(c net.Conn, _ *http.Request) bool {
	time.Sleep(4 * time.Second)
	return false
}

// TestAttemptResultsAreReported: the end (crash) of an endpoint is reported only if it closed the connection before or
// during a response. Only a complete response that is framed counts as a success.
func TestAttemptResultsAreReported(t *testing.T) {
	cut := func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "%sContent-Length: 100\r\n\r\nhalf", head(r, 200, ""))
		return false
	}
	longCut := func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head(r, 200, ""), 3*maxBufferedResponse)
		_, _ = c.Write(bytes.Repeat([]byte("x"), 2*maxBufferedResponse)) // the rest is never sent
		return false
	}
	for name, one := range map[string]struct {
		path          string
		script        responder
		isTermination bool
		ran           message.Outcome
	}{
		"whole":              {"/once/1", whole(200, "x"), false, message.OutcomeSuccess},
		"not found":          {"/once/1", whole(404, "x"), false, message.OutcomeSuccess},
		"stream":             {"/single/1", events(2, false), false, message.OutcomeSuccess},
		"failure":            {"/once/1", whole(500, "x"), false, message.OutcomeFailed},
		"not run":            {"/once/1", notRun, false, message.OutcomeFailed},
		"reset":              {"/once/1", reset, true, message.OutcomeUnknown},
		"cut":                {"/once/1", cut, true, message.OutcomeUnknown},
		"cut in a long body": {"/once/1", longCut, true, message.OutcomeUnknown},
		"cut in a stream":    {"/single/1", events(2, true), true, message.OutcomeUnknown},
		"unframed body":      {"/once/1", unframed, false, message.OutcomeUnknown},
		"foreign":            {"/once/1", foreign, false, message.OutcomeUnknown},
		"no answer in time":  {"/once/1", noResponse, false, message.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestGateway(t, newFakeEndpoint(t, one.script))
			q := r.request(http.MethodPost, one.path, "body")
			r.do(t, q)
			waitFor(t, "the attempt is reported", func() bool { return len(r.owner.finishes()) > 0 })
			f := r.owner.finishes()[0]
			want := poison.NewFingerprinter("team", http.MethodPost, "h.example", one.path)
			_, _ = want.Write([]byte("body")) // Write returns no errors
			if f.Print != want.Sum() || f.Ran != one.ran {
				t.Errorf("reported outcome %d of request %v, want %d of %v", f.Ran, f.Print, one.ran, want.Sum())
			}
			r.owner.mu.Lock()
			defer r.owner.mu.Unlock()
			if got := len(r.owner.terminations); (got == 1) != one.isTermination {
				t.Errorf("%d terminations reported, want one: %v", got, one.isTermination)
			}
			for _, e := range r.owner.terminations {
				if e.Print != want.Sum() || e.Endpoint != "e1" || e.Request != f.ID || e.Number != 1 {
					t.Errorf("the reported end has wrong fields: %+v", e)
				}
			}
			if s := r.owner.submits[0]; s.Print != want.Sum() {
				t.Errorf("submitted with the wrong fingerprint %v", s.Print)
			}
		})
	}
}

// ownedClient returns a client with an owner on a link.
func ownedClient() *OwnerClient {
	a := NewOwnerClient(ClientConfig{Entry: "entry", ControlAddresses: []string{"box"}, ConfigValidity: 5 * event.Second, Log: zap.NewNop(),
		Limits: admission.Limits{QuotaWindow: event.Second, RetryWindow: event.Second, RetryMin: 10}})
	a.Connected(0, 1, "box")
	a.Received(0, 1, &message.Envelope{Pong: &message.Pong{}})
	a.TakeEffects()
	return a
}

// sentTerminations returns the terminations of endpoints and the fingerprints of successful requests that a client sends.
func sentTerminations(a *OwnerClient) (terminations []poison.Termination, successes []poison.Fingerprint) {
	for _, s := range a.TakeEffects().Sends {
		if b := s.Message.Batch; b != nil {
			terminations, successes = append(terminations, b.Ends...), append(successes, b.Well...)
		}
	}
	return terminations, successes
}

// TestTerminationsAreReportedUntilSaved: the end of an endpoint is reported at once, and again to each new owner until one has
// it in its log. Successes without an owner are reported to the next one.
func TestTerminationsAreReportedUntilSaved(t *testing.T) {
	a := ownedClient()
	a.RecordTermination(0, poison.Termination{Print: "p", Endpoint: "e1"})
	a.RecordTermination(0, poison.Termination{Print: "q", Endpoint: "e2"})
	if terminations, _ := sentTerminations(a); len(terminations) != 2 || terminations[0].Number != 1 || terminations[1].Number != 2 {
		t.Fatalf("reported at once: %+v, want terminations 1 and 2", terminations)
	}
	a.Received(0, 1, &message.Envelope{Pong: &message.Pong{Ends: 1}})
	a.Disconnected(0, 1, nil)
	a.Finish(0, message.Finish{Print: "w", Ran: message.OutcomeSuccess})
	later := event.Time(event.Second)
	a.Connected(later, 2, "box")
	a.Received(later, 2, &message.Envelope{Pong: &message.Pong{}})
	terminations, successes := sentTerminations(a)
	if len(terminations) != 1 || terminations[0].Print != "q" || terminations[0].Number != 2 || terminations[0].Ago != event.Second {
		t.Errorf("reported to the next owner: %+v, want only termination 2 with its age", terminations)
	}
	if len(successes) != 1 || successes[0] != "w" {
		t.Errorf("reported successes: %v, want w", successes)
	}
	a.Received(later, 2, &message.Envelope{Pong: &message.Pong{Ends: 2}})
	if len(a.unsavedTerminations) != 0 {
		t.Errorf("%d terminations are kept although the owner has saved them", len(a.unsavedTerminations))
	}
	for i := range 5 * maxUnsavedTerminations {
		a.RecordTermination(later, poison.Termination{Print: poison.Fingerprint(fmt.Sprint(i)), Endpoint: "e"})
	}
	if len(a.unsavedTerminations) > maxUnsavedTerminations {
		t.Errorf("%d terminations are kept, more than maxUnsavedTerminations", len(a.unsavedTerminations))
	}
}

// requestedNodes returns the configuration nodes that a client requests.
func requestedNodes(a *OwnerClient) (sums []hashtree.Sum) {
	for _, s := range a.TakeEffects().Sends {
		if w := s.Message.Want; w != nil {
			sums = append(sums, w.Sums...)
		}
	}
	return sums
}

// clientWithTable returns a client that has an owner and a configuration with one service.
func clientWithTable(t *testing.T) *OwnerClient {
	t.Helper()
	tree := hashtree.Build(&routing.Table{Version: 1, Services: []routing.Service{{Name: "s"}}}, nil)
	a := ownedClient()
	a.Received(0, 1, &message.Envelope{View: &message.View{Version: 1, Root: tree.Root()}})
	for a.table.Load() == nil {
		nodes := &message.Nodes{}
		for _, sum := range requestedNodes(a) {
			packed, _ := tree.Node(sum)
			nodes.List = append(nodes.List, message.Node{Sum: sum, Packed: packed})
		}
		if len(nodes.List) == 0 {
			t.Fatal("no nodes are requested")
		}
		a.Received(0, 1, &message.Envelope{Nodes: nodes})
	}
	return a
}

// TestDegradedEntryRefusesSuspects: a degraded entry refuses the requests in the last owner's list of suspects. A
// new list replaces the previous one.
func TestDegradedEntryRefusesSuspects(t *testing.T) {
	for _, lists := range [][][]poison.Fingerprint{{{"p"}}, {{"p"}, nil}} {
		a := clientWithTable(t)
		for _, list := range lists {
			a.Received(0, 1, &message.Envelope{View: &message.View{Suspects: &message.Suspects{List: list}}})
		}
		a.Disconnected(0, 1, nil)
		a.Tick(event.Time(event.Second))
		decision := make(chan Decision, 1)
		a.Submit(event.Time(event.Second), message.Submission{
			Ticket: event.Ticket{ID: "1", Service: "s", Pool: "s", Deadline: event.Second}, Print: "p",
		}, decision)
		isRefused := false
		select {
		case d := <-decision:
			isRefused = d.Reason == event.ReasonPoison && d.RetryAfter > 0 && d.Degraded
		default:
		}
		if want := len(lists) == 1; isRefused != want {
			t.Errorf("after the lists of suspects %v the request is refused: %v", lists, isRefused)
		}
	}
}
