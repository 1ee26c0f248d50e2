// SPDX-License-Identifier: MIT

package gateway

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

func packEndpoints(ids ...string) message.Packed {
	var list []message.Endpoint
	for _, id := range ids {
		list = append(list, message.Endpoint{Endpoint: registry.Endpoint{ID: id, Service: "s"}})
	}
	return message.Pack(list)
}

// TestEndpointListIsReceivedInPages: an entry requests each next part of an endpoint list at once. Known endpoints
// are kept until the last part arrives, also over another connection, and only then the unlisted ones are removed.
// Changes between the parts do not end the list.
func TestEndpointListIsReceivedInPages(t *testing.T) {
	a := NewOwnerClient(ClientConfig{Entry: "entry", ControlAddresses: []string{"box"}, ConfigValidity: 5 * event.Second, Log: zap.NewNop()})
	receive := func(v message.View) (asked bool) {
		a.Received(0, a.link, &message.Envelope{View: &v})
		for _, s := range a.TakeEffects().Sends {
			asked = asked || (s.Message.Ping != nil && s.Message.Ping.Revision == a.revision)
		}
		return asked
	}
	check := func(revision uint64, want ...event.EndpointID) {
		t.Helper()
		if diff := cmp.Diff(want, slices.Sorted(maps.Keys(a.endpoints))); diff != "" || a.revision != revision {
			t.Errorf("revision %d, want %d: %s", a.revision, revision, diff)
		}
	}
	a.Connected(0, 1, "box")
	a.TakeEffects()
	if receive(message.View{Whole: true, Signs: true, Endpoints: packEndpoints("old", "kept"), Revision: 900}) {
		t.Error("pinged for more after a complete list")
	}
	check(900, "kept", "old")
	a.Disconnected(0, 1, nil)
	a.Connected(0, 2, "box")
	a.TakeEffects()
	if !receive(message.View{Whole: true, Signs: true, Endpoints: packEndpoints("a"), Revision: 10, More: true}) {
		t.Error("did not ping for more")
	}
	check(10, "a", "kept", "old")
	receive(message.View{Endpoints: packEndpoints("news")})
	check(10, "a", "kept", "news", "old")
	a.Disconnected(0, 2, nil)
	a.Connected(0, 3, "box")
	if hello := a.TakeEffects().Sends[0].Message.Hello; hello.Revision != 10 {
		t.Errorf("hello has revision %d, want 10", hello.Revision)
	}
	receive(message.View{Signs: true, Endpoints: packEndpoints("kept"), Revision: 20, More: true})
	check(20, "a", "kept", "news", "old")
	receive(message.View{Endpoints: packEndpoints("b"), Silent: []event.EndpointID{"kept"}, Revision: 30})
	check(30, "a", "b", "kept", "news")
	if !a.endpoints["kept"].Down || a.endpoints["a"].Down {
		t.Errorf("%+v, want only kept to be down", a.endpoints)
	}
}
