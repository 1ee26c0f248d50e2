// SPDX-License-Identifier: MIT

package admission

import (
	"lynxramp.org/backpressure"
	"lynxramp.org/event"
)

// This file is how what endpoints ask for in their answers reaches the pools.

// Hear takes a word of an endpoint that an entry heard, and reports whether it changed what is believed of the
// endpoint for all entries.
func (s *State) Hear(now event.Time, entry event.BoxID, h *backpressure.Heard, out *event.Effects) bool {
	k, ok := s.endpoints[h.Endpoint]
	if ok && h.Word.Rest > 0 {
		s.step(now, s.service(now, k.Service), &event.Rested{Entry: entry, Endpoint: h.Endpoint, For: h.Word.Rest}, out)
	}
	if !ok || !k.asked.Hear(now, s.service(now, k.Service).pool.GrantedAt(h.Request), h.Word) {
		return false
	}
	s.tell(now, k, out)
	return true
}

// Learn takes what another who decides believes of an endpoint.
func (s *State) Learn(now event.Time, b backpressure.State, out *event.Effects) {
	if k, ok := s.endpoints[b.Endpoint]; ok && k.asked.Learn(now, b) {
		s.tell(now, k, out)
	}
}

// Asked returns what is believed of an endpoint by its words.
func (s *State) Asked(id event.EndpointID) backpressure.State {
	if k, ok := s.endpoints[id]; ok {
		return k.asked.State(id)
	}
	return backpressure.State{Endpoint: id}
}

// SetPart takes which part of endpoints' limits is to be spent here.
func (s *State) SetPart(now event.Time, part float64, out *event.Effects) {
	if part == s.part {
		return
	}
	s.part = part
	for _, v := range s.services {
		s.step(now, v, &event.PartChanged{Part: part}, out)
	}
}
