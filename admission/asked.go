// SPDX-License-Identifier: MIT

package admission

import (
	"lynxramp.org/backpressure"
	"lynxramp.org/event"
)

// This file passes the feedback of endpoints on to the pools.

// ObserveFeedback records feedback of an endpoint that an entry received, and reports whether the state of the
// endpoint changed for all entries.
func (s *State) ObserveFeedback(now event.Time, entry event.BoxID, r *backpressure.Report, out *event.Effects) bool {
	k, ok := s.endpoints[r.Endpoint]
	if ok && r.Word.Rest > 0 {
		s.step(now, s.service(now, k.Service), &event.CooldownRequested{Entry: entry, Endpoint: r.Endpoint, For: r.Word.Rest}, out)
	}
	if !ok || !k.feedback.Observe(now, s.service(now, k.Service).pool.GrantedAt(r.Request), r.Word) {
		return false
	}
	s.updatePool(now, k, out)
	return true
}

// ApplyFeedbackState applies the feedback state of an endpoint that another scheduler observed.
func (s *State) ApplyFeedbackState(now event.Time, b backpressure.State, out *event.Effects) {
	if k, ok := s.endpoints[b.Endpoint]; ok && k.feedback.Apply(now, b) {
		s.updatePool(now, k, out)
	}
}

// FeedbackState returns the state of an endpoint according to its feedback.
func (s *State) FeedbackState(id event.EndpointID) backpressure.State {
	if k, ok := s.endpoints[id]; ok {
		return k.feedback.State(id)
	}
	return backpressure.State{Endpoint: id}
}

// SetLimitShare sets the share of the endpoints' rate limits that is used here, from 0 to 1.
func (s *State) SetLimitShare(now event.Time, limitShare float64, out *event.Effects) {
	if limitShare == s.limitShare {
		return
	}
	s.limitShare = limitShare
	for _, v := range s.services {
		s.step(now, v, &event.LimitShareChanged{Share: limitShare}, out)
	}
}
