// SPDX-License-Identifier: MIT

package registry

import "testing"

func TestLateWordIsNoNews(t *testing.T) {
	var s State
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 4, Leaving: true})
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 3})
	if !s.Endpoints["a"].Leaving {
		t.Error("a late message took back that the endpoint is leaving")
	}
}

func TestGoneStaysGone(t *testing.T) {
	var s State
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 1})
	s.Remove("a")
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 9})
	if len(s.Endpoints) != 0 {
		t.Error("an endpoint that had ended came back")
	}
}

func TestAddressHasOneEndpoint(t *testing.T) {
	var s State
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 1})
	s.Put(Endpoint{ID: "b", Address: "10.0.0.1:80", Sequence: 1})
	if _, ok := s.Endpoints["a"]; ok || len(s.Endpoints) != 1 {
		t.Errorf("two endpoints at one address: %v", s.Endpoints)
	}
}

func TestGoneIsBounded(t *testing.T) {
	var s State
	for i := range 3 * maxGone {
		s.Remove(string(rune('a'+i%26)) + string(rune(i)))
	}
	if len(s.Gone) != maxGone {
		t.Errorf("%d endpoints that are gone are remembered, want %d", len(s.Gone), maxGone)
	}
}
