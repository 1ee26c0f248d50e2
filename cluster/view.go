// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

// This file is what an owner tells entries of endpoints. It grows with what changes, not
// with endpoints times entries.

// show hands news of an endpoint to the scheduler, and with the next tick to all entries.
func (o *owner) show(now event.Time, e registry.Endpoint) {
	o.admission.SetEndpoint(now, message.Endpoint{Endpoint: e, Down: o.down[e.ID]}, &o.effects)
	o.news[e.ID] = true
}

// tellNews tells all entries what changed of endpoints since the last tick, in one message:
// one for each change and entry would be 900,000 while 3,000 endpoints come to 300 entries.
func (o *owner) tellNews(s *State, out *Effects) {
	if len(o.news) == 0 {
		return
	}
	view := &message.View{Revision: s.machine.registry.Revision}
	var seen []message.Endpoint
	for _, id := range slices.Sorted(maps.Keys(o.news)) {
		if e, ok := s.machine.registry.Endpoints[id]; ok {
			seen = append(seen, message.Endpoint{Endpoint: e, Down: o.down[id]})
		} else {
			view.Gone = append(view.Gone, event.EndpointID(id))
		}
	}
	clear(o.news)
	if len(seen) > 0 {
		view.Endpoints = message.Pack(seen)
	}
	o.sendAll(&message.Envelope{View: view}, out)
}

// firstView returns what a session begins with: what has changed of endpoints since the
// revision that its entry knows, and which of them are silent. All of 3,000 endpoints for
// each of 300 entries at once, as after a change of owner, would be 86 MB in memory, by their size.
func (o *owner) firstView(revision uint64, s *State) *message.View {
	changed, gone, ok := s.machine.registry.Since(revision)
	view := &message.View{Whole: !ok, Revision: s.machine.registry.Revision, Signs: true, Members: s.memberLinks()}
	switch {
	case !ok:
		view.Endpoints = o.allEndpoints(s)
	case len(changed) > 0:
		view.Endpoints = message.Pack(endpoints(changed))
	}
	for _, id := range gone {
		view.Gone = append(view.Gone, event.EndpointID(id))
	}
	for _, id := range slices.Sorted(maps.Keys(o.down)) {
		if o.down[id] {
			view.Silent = append(view.Silent, event.EndpointID(id))
		}
	}
	return view
}

// allEndpoints returns the whole registry, packed once for all sessions that begin at a
// revision.
func (o *owner) allEndpoints(s *State) message.Packed {
	if r := s.machine.registry.Revision; o.allAt != r || o.all == nil {
		o.all, o.allAt = message.Pack(endpoints(s.machine.registry.List())), r
	}
	return o.all
}

func endpoints(list []registry.Endpoint) []message.Endpoint {
	all := make([]message.Endpoint, len(list))
	for i, e := range list {
		all[i].Endpoint = e
	}
	return all
}
