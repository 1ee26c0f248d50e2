// SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

// streamWithHeader responds with a stream of one event and a header.
func streamWithHeader(header string) responder {
	return func(c net.Conn, r *http.Request) bool {
		text := eventText(1)
		fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", head(r, 200, header+"\r\n"), len(text), text)
		return true
	}
}

// TestSlowdownIsReportedOnce guards against a slowdown that does not reach the scheduler, that reaches it twice, or that
// comes from an invalid or misdirected response or one without the figure.
func TestSlowdownIsReportedOnce(t *testing.T) {
	for _, c := range []struct {
		name, path      string
		respond         responder
		begun, finished float64
	}{
		{"plain call", "/once/x", withFeedback(200, "X-Load: 2.5"), 0, 2.5},
		{"failed call", "/once/x", withFeedback(500, "X-Load: 2.5"), 0, 2.5},
		{"call that was not run", "/once/x", withFeedback(503, "X-Not-Run: 1\r\nX-Load: 2.5"), 0, 2.5},
		{"stream", "/single/x", streamWithHeader("X-Load: 2.5"), 2.5, 0},
		{"without the figure", "/once/x", withFeedback(200, "X-Load: basic"), 0, 0},
		{"stream without the figure", "/single/x", streamWithHeader("X-Load: basic"), 0, 0},
		{"invalid", "/once/x", withFeedback(200, "X-Load: low"), 0, 0},
		{"misdirected", "/once/x", withFeedback(421, "X-Load: 2.5"), 0, 0},
		{"missing", "/once/x", whole(200, "answer"), 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestGateway(t, newFakeEndpoint(t, c.respond))
			r.do(t, r.request("POST", c.path, "q"))
			waitFor(t, "the attempt is reported", func() bool { return len(r.owner.finishes()) == 1 })
			r.owner.mu.Lock()
			defer r.owner.mu.Unlock()
			begun := event.Begun{}
			if len(r.owner.begun) > 0 {
				begun = r.owner.begun[0]
			}
			f := r.owner.finished[0]
			if begun.Slowdown != c.begun || f.Slowdown != c.finished {
				t.Errorf("slowdown %v at the beginning and %v at the end, want %v and %v", begun.Slowdown, f.Slowdown, c.begun, c.finished)
			}
			if age := max(begun.SlowdownAge, f.SlowdownAge); (age > 0) != (c.begun+c.finished > 0) || age > event.Second {
				t.Errorf("age %v", age)
			}
		})
	}
}

// degradedClient returns a client that decides for a service with two endpoints of 4 slots.
func degradedClient(t *testing.T) *OwnerClient {
	t.Helper()
	a := clientWithTable(t)
	for _, id := range []string{"e1", "e2"} {
		a.endpoints[event.EndpointID(id)] = message.Endpoint{Endpoint: registry.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 4}}
	}
	a.Disconnected(0, 1, nil)
	a.Tick(event.Time(event.Second))
	if a.degraded == nil {
		t.Fatal("the entry is not degraded")
	}
	return a
}

// TestDegradedEntryUsesSlowdowns guards against a degraded entry that places calls on an endpoint that has told it that
// it is slowed.
func TestDegradedEntryUsesSlowdowns(t *testing.T) {
	a := degradedClient(t)
	now := event.Time(event.Second)
	call := func(id string) Decision {
		decision := make(chan Decision, 1)
		a.Submit(now, message.Submission{Ticket: event.Ticket{
			ID: event.RequestID(id), Service: "s", Pool: "s", Deadline: 3 * event.Second, Target: 300 * event.Millisecond,
		}}, decision)
		select {
		case d := <-decision:
			return d
		default:
			t.Fatalf("%s: no decision", id)
			return Decision{}
		}
	}
	finish := func(id string, at event.EndpointID, took event.Duration, slowdown float64) {
		a.Finish(now, message.Finish{Finished: event.Finished{
			ID: event.RequestID(id), Pool: "s", FirstAfter: took, Slowdown: slowdown,
		}, Endpoint: at})
	}
	for range 2 { // one call at each endpoint
		id := string(call("usual").Endpoint)
		finish("usual", event.EndpointID(id), 60*event.Millisecond, 1)
	}
	slowed := call("first").Endpoint
	finish("first", slowed, 150*event.Millisecond, 2.5)
	for i := range 3 {
		id := fmt.Sprint("next", i)
		d := call(id)
		if !d.Granted || !d.Degraded || d.Endpoint == slowed {
			t.Errorf("decision %+v, want a grant at the endpoint that is not slowed", d)
		}
		finish(id, d.Endpoint, 60*event.Millisecond, 1)
	}
	a.Tick(now)
	if n := a.slowedEndpoints.Load(); n != 1 {
		t.Errorf("%d slowed endpoints are shown, want 1", n)
	}
}
