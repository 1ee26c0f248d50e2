// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"testing"

	"go.uber.org/zap"

	"lynxramp.org/admission"
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

// restrict returns a message that restricts version v2 of service s.
func restrict(mode event.EndpointMode) *message.Envelope {
	list := []message.Restriction{{Service: "s", Version: "v2", Mode: mode}}
	if mode == event.ModeNormal {
		list = nil
	}
	return &message.Envelope{View: &message.View{Restrictions: &message.Restrictions{List: list}}}
}

// restrictedClient returns a client with endpoints of versions v1 and v2, of which v2 is restricted.
func restrictedClient(mode event.EndpointMode) *OwnerClient {
	tree := hashtree.Build(testTable(1, "key"), nil)
	a := NewOwnerClient(ClientConfig{Entry: "entry", ControlAddresses: []string{"box"}, ConfigValidity: 5 * event.Second, Log: zap.NewNop(),
		Limits: admission.Limits{QuotaWindow: event.Second, RetryWindow: event.Second, RetryMin: 10}})
	a.Connected(0, 1, "box")
	a.Received(0, 1, &message.Envelope{View: &message.View{Whole: true, Version: 1, Root: tree.Root(), Listed: message.NewListing([]message.Endpoint{
		{Endpoint: registry.Endpoint{ID: "old", Service: "s", Address: "10.0.0.1:80", Slots: 1, Version: "v1"}},
		{Endpoint: registry.Endpoint{ID: "new", Service: "s", Address: "10.0.0.2:80", Slots: 100, Version: "v2"}},
	})}})
	for range 10 {
		for _, s := range a.TakeEffects().Sends {
			if s.Message.Want == nil {
				continue
			}
			nodes := &message.Nodes{}
			for _, sum := range s.Message.Want.Sums {
				packed, _ := tree.Node(sum)
				nodes.List = append(nodes.List, message.Node{Sum: sum, Packed: packed})
			}
			a.Received(0, 1, &message.Envelope{Nodes: nodes})
		}
	}
	a.Received(0, 1, restrict(mode))
	a.Received(0, 1, &message.Envelope{Pong: &message.Pong{Version: 1, Entries: 1}})
	return a
}

// TestDegradedEntryUsesNoRestrictedEndpoint guards against requests at an unproved or bad version that no owner
// counts; the versions are used again once the restriction is lifted.
func TestDegradedEntryUsesNoRestrictedEndpoint(t *testing.T) {
	for mode, want := range map[event.EndpointMode]int{event.ModeCanary: 1, event.ModeBlocked: 1, event.ModeNormal: 10} {
		a := restrictedClient(mode)
		a.Disconnected(0, 1, nil)
		a.Tick(event.Time(event.Second))
		granted := 0
		for i := range 10 {
			decision := make(chan Decision, 1)
			a.Submit(event.Time(event.Second), message.Submission{Ticket: event.Ticket{
				ID: event.RequestID(rune('a' + i)), Service: "s", Pool: "s", Deadline: event.Second,
			}}, decision)
			select {
			case d := <-decision:
				if d.Granted && d.Endpoint == "new" && mode != event.ModeNormal {
					t.Errorf("mode %s: a degraded entry granted the restricted endpoint", mode)
				}
				if d.Granted {
					granted++
				}
			default:
			}
		}
		if granted != want {
			t.Errorf("mode %s: %d requests granted, want %d", mode, granted, want)
		}
	}
}

// TestCheckRestriction guards against sending with a grant that a roll-back has overtaken.
func TestCheckRestriction(t *testing.T) {
	for _, c := range []struct {
		mode       event.EndpointMode
		endpoint   event.EndpointID
		isDegraded bool
		mayUse     bool
	}{
		{event.ModeNormal, "new", true, true},
		{event.ModeCanary, "new", false, true},
		{event.ModeCanary, "new", true, false},
		{event.ModeBlocked, "new", false, false},
		{event.ModeBlocked, "old", false, true},
	} {
		a := restrictedClient(c.mode)
		if err := a.CheckRestriction(Decision{Endpoint: c.endpoint, Degraded: c.isDegraded}); (err == nil) != c.mayUse {
			t.Errorf("%+v: %v", c, err)
		}
	}
	a := restrictedClient(event.ModeBlocked)
	a.Received(0, 1, restrict(event.ModeNormal))
	if err := a.CheckRestriction(Decision{Endpoint: "new"}); err != nil {
		t.Errorf("after the restriction was lifted: %v", err)
	}
}

// TestBlockedGrantIsNotSent guards against a request that reaches a version after it was rolled back: the grant is
// returned unused, and the request runs elsewhere, also one that must not be repeated.
func TestBlockedGrantIsNotSent(t *testing.T) {
	bad, good := newFakeEndpoint(t, whole(200, "bad")), newFakeEndpoint(t, whole(200, "good"))
	r := newTestGateway(t, bad, good)
	r.owner.mu.Lock()
	r.owner.conn.Send(&message.Envelope{View: &message.View{
		Listed:       message.NewListing([]message.Endpoint{{Endpoint: registry.Endpoint{ID: "e1", Service: "s", Address: bad.address, Slots: 4, Version: "v2"}}}),
		Restrictions: &message.Restrictions{List: []message.Restriction{{Service: "s", Version: "v2", Mode: event.ModeBlocked}}},
	}})
	r.owner.mu.Unlock()
	client := r.agent.client
	waitFor(t, "the restriction arrived", func() bool { return client.CheckRestriction(Decision{Endpoint: "e1"}) != nil })
	request, err := http.NewRequest(http.MethodPost, r.server.URL+"/once/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("Authorization", "Key key")
	request.Header.Set("X-Request", "1")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK || bad.runs() != 0 || good.runs() != 1 {
		t.Errorf("status %d, %d runs at the blocked endpoint and %d at the other", answer.StatusCode, bad.runs(), good.runs())
	}
	waitFor(t, "both ends are reported", func() bool {
		r.owner.mu.Lock()
		defer r.owner.mu.Unlock()
		return len(r.owner.finished) == 2
	})
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	if f := r.owner.finished[0]; f.Endpoint != "e1" || !f.Unsent || !f.Unused {
		t.Errorf("the unused grant is reported as %+v", f)
	}
	if s := r.owner.submits[0]; s.Ticket.Route != "once" {
		t.Errorf("the ticket has route %q", s.Ticket.Route)
	}
}
