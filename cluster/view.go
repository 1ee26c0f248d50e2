// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"math"
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

// This file is what an owner tells entries of endpoints. It grows with what changes, not
// with endpoints times entries, and goes in pieces: an owner's signs of life wait behind one
// of them at the most.

const (
	// maxViewBytes bounds the endpoints in one message, before they are packed to half of that:
	// 19 ms of a link of 1.25 MB/s.
	maxViewBytes = 48 << 10
	// maxUnreachablePerMessage bounds the silent endpoints that one message names: 14 kB of ids.
	maxUnreachablePerMessage = 1000
	// maxPackedPieces is how many packed pieces are kept for sessions that begin alike.
	maxPackedPieces = 64
)

// viewProgress is how far a session has been told what it begins with.
type viewProgress struct {
	revision     uint64 // revision
	isIncomplete bool   // there is more
	// isUnreachableListed says that silent was made: endpoints that the entry is to be told are silent.
	isUnreachableListed bool
	unreachable   []string
}

// pieceKey names a piece of the registry. Changes only leave the revisions that are past, so
// that its count tells one from what is left of it.
type pieceKey struct {
	after, upTo uint64
	count       int
}

// packedPiece has endpoints as entries of the group are sent them: one of its fields is set.
type packedPiece struct {
	packed message.Packed
	listed message.Listing
}

// packEndpoints packs endpoints as all entries of the group read them.
func (s *State) packEndpoints(list []message.Endpoint) packedPiece {
	switch {
	case len(list) == 0:
		return packedPiece{}
	case s.machine.formatVersion >= level.Starts:
		return packedPiece{listed: message.List(list)}
	}
	return packedPiece{packed: message.Pack(list)}
}

func (p packedPiece) addTo(v *message.View) { v.Endpoints, v.Listed = p.packed, p.listed }

// publishEndpoint hands news of an endpoint to the scheduler, and with the next tick to all entries.
func (o *owner) publishEndpoint(now event.Time, e registry.Endpoint) {
	o.admission.SetEndpoint(now, message.Endpoint{Endpoint: e, Down: o.down[e.ID]}, &o.effects)
	o.changedEndpoints[e.ID] = true
}

// sendEndpointChanges tells all entries what changed of endpoints since the last tick, in one message:
// one for each change and entry would be 900,000 while 3,000 endpoints come to 300 entries.
// What one message has not room for waits for the next tick.
func (o *owner) sendEndpointChanges(s *State, out *Effects) {
	if len(o.changedEndpoints) == 0 {
		return
	}
	view := &message.View{}
	var seen []message.Endpoint
	size := 0
	for _, id := range slices.Sorted(maps.Keys(o.changedEndpoints)) {
		if size >= maxViewBytes {
			break
		}
		delete(o.changedEndpoints, id)
		if e, ok := s.machine.registry.Endpoints[id]; ok {
			seen = append(seen, message.Endpoint{Endpoint: e, Down: o.down[id]})
			size += e.Size()
		} else {
			view.Gone = append(view.Gone, event.EndpointID(id))
			size += len(id)
		}
	}
	s.packEndpoints(seen).addTo(view)
	o.broadcastChanges(view, s, out)
}

// broadcastChanges sends news to all entries. Those that have all before it know the registry up to
// its revision then; a session that is still told what it begins with does not.
func (o *owner) broadcastChanges(view *message.View, s *State, out *Effects) {
	complete := *view
	if len(o.changedEndpoints) == 0 {
		complete.Revision = s.machine.registry.Revision
	}
	all, some := &message.Envelope{View: &complete}, &message.Envelope{View: view}
	for _, id := range o.sessionIDs() {
		if o.sessions[id].view.isIncomplete {
			out.Sends = append(out.Sends, Send{id, some})
			continue
		}
		out.Sends = append(out.Sends, Send{id, all})
	}
}

// firstView returns what a session begins with: what has changed of endpoints since the
// revision that its entry knows, and which of them are silent, or the first piece of that.
func (o *owner) firstView(one *session, revision uint64, s *State) *message.View {
	if one.formatVersion < level.Parts {
		return o.wholeView(one, revision, s)
	}
	reaches := s.machine.registry.Reaches(revision)
	if !reaches {
		revision = 0
	}
	one.view = viewProgress{revision: revision}
	view := o.nextView(one, s)
	view.Whole, view.Signs, view.Members = !reaches, true, s.memberLinkAddresses()
	return view
}

// wholeView returns all that a session begins with at once, for an entry that knows no pieces.
func (o *owner) wholeView(one *session, revision uint64, s *State) *message.View {
	if one.formatVersion < level.Packed || !s.machine.registry.Reaches(revision) {
		revision = 0
	}
	p := s.machine.registry.After(revision, math.MaxInt)
	one.view = viewProgress{revision: p.UpTo}
	list := toMessageEndpoints(p.Endpoints)
	for i := range list {
		list[i].Down = o.down[list[i].ID]
	}
	view := &message.View{
		Whole: revision == 0, Endpoints: message.Pack(list), Revision: p.UpTo, Signs: true, Members: s.memberLinkAddresses(),
	}
	for _, id := range p.Gone {
		view.Gone = append(view.Gone, event.EndpointID(id))
	}
	for _, id := range slices.Sorted(maps.Keys(o.down)) {
		if o.down[id] {
			view.Silent = append(view.Silent, event.EndpointID(id))
		}
	}
	return view
}

// sendView sends the next piece of what a session begins with, when the last one is there.
func (o *owner) sendView(p *PingReceived, one *session, s *State, out *Effects) {
	if !one.view.isIncomplete || p.Ping.Revision < one.view.revision {
		return
	}
	out.Sends = append(out.Sends, Send{p.Session, &message.Envelope{View: o.nextView(one, s)}})
}

// nextView returns the next piece for a session.
func (o *owner) nextView(one *session, s *State) *message.View {
	v := &one.view
	p := o.pieceAfter(v.revision, s)
	view := &message.View{Revision: p.UpTo}
	o.pack(v.revision, p, s).addTo(view)
	for _, id := range p.Gone {
		view.Gone = append(view.Gone, event.EndpointID(id))
	}
	v.revision = p.UpTo
	if !p.More {
		view.Silent = o.nextUnreachable(v)
	}
	v.isIncomplete = p.More || len(v.unreachable) > 0
	view.More = v.isIncomplete
	return view
}

// nextUnreachable returns some of the silent endpoints that an entry is to be told of.
func (o *owner) nextUnreachable(v *viewProgress) (list []event.EndpointID) {
	if !v.isUnreachableListed {
		v.isUnreachableListed = true
		v.unreachable = slices.Sorted(maps.Keys(o.down))
	}
	for len(v.unreachable) > 0 && len(list) < maxUnreachablePerMessage {
		if id := v.unreachable[0]; o.down[id] {
			list = append(list, event.EndpointID(id))
		}
		v.unreachable = v.unreachable[1:]
	}
	return list
}

// pieceAfter returns the piece of the registry after a revision, made once for all sessions
// that begin alike: 0.3 ms each for ten pieces of 10,000 endpoints and 300 entries are 0.9 s
// after a change of owner.
func (o *owner) pieceAfter(revision uint64, s *State) registry.Piece {
	if at := s.machine.registry.Revision; o.piecesRevision != at {
		clear(o.pieces)
		o.piecesRevision = at
	}
	p, ok := o.pieces[revision]
	if !ok {
		p = s.machine.registry.After(revision, maxViewBytes)
		o.pieces[revision] = p
	}
	return p
}

// pack returns the endpoints of a piece, packed once for all sessions that begin alike: 10,000
// endpoints for each of 300 entries would be packed 3,000,000 times after a change of owner.
func (o *owner) pack(after uint64, p registry.Piece, s *State) packedPiece {
	key := pieceKey{after, p.UpTo, len(p.Endpoints)}
	packed, ok := o.packed[key]
	if !ok {
		if len(o.packed) >= maxPackedPieces {
			clear(o.packed)
		}
		packed = s.packEndpoints(toMessageEndpoints(p.Endpoints))
		o.packed[key] = packed
	}
	return packed
}

func toMessageEndpoints(list []registry.Endpoint) []message.Endpoint {
	all := make([]message.Endpoint, len(list))
	for i, e := range list {
		all[i].Endpoint = e
	}
	return all
}
