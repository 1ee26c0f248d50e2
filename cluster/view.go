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

// This file sends entries the registry of endpoints: the changes since the revision that an entry has, in
// bounded pages, so that a pong of the owner waits for one page at most.

const (
	// maxViewBytes bounds the endpoints in one message, in bytes before compression, which about halves
	// them: 19 ms of a link of 1.25 MB/s.
	maxViewBytes = 48 << 10
	// maxUnreachablePerMessage bounds the unreachable endpoints in one message, to about 14 kB of ids.
	maxUnreachablePerMessage = 1000
	// maxPackedPages bounds the packed pages that are cached for new sessions.
	maxPackedPages = 64
)

// viewProgress tracks how much of the initial view a session was sent.
type viewProgress struct {
	revision     uint64 // of the registry
	isIncomplete bool   // more is to be sent
	// isUnreachableListed reports whether unreachable was set: the endpoints still to be sent as unreachable.
	isUnreachableListed bool
	unreachable         []string
}

// pageKey identifies a page of the registry. A later change can only remove endpoints from past
// revisions, so the count distinguishes the versions of a page.
type pageKey struct {
	after, upTo uint64
	count       int
}

// packedPage has the encoded endpoints of a message: one field is set.
type packedPage struct {
	packed message.Packed
	listed message.Listing
}

// packEndpoints encodes endpoints in the format of the group.
func (s *State) packEndpoints(list []message.Endpoint) packedPage {
	switch {
	case len(list) == 0:
		return packedPage{}
	case s.machine.formatVersion >= level.Instances:
		return packedPage{listed: message.NewListing(list)}
	}
	return packedPage{packed: message.Pack(list)}
}

func (p packedPage) addTo(v *message.View) { v.Endpoints, v.Listed = p.packed, p.listed }

// publishEndpoint passes a changed endpoint to the scheduler, and to all entries with the next tick.
func (o *owner) publishEndpoint(now event.Time, e registry.Endpoint) {
	o.admission.SetEndpoint(now, o.messageEndpoint(e), &o.effects)
	o.changedEndpoints[e.ID] = true
}

// sendEndpointChanges sends all entries the endpoints that changed since the last tick, in one message.
// One message for each change and entry would be 900,000 while 3,000 endpoints start before 300 entries. What exceeds the
// size limit waits for the next tick.
func (o *owner) sendEndpointChanges(s *State, out *Effects) {
	if len(o.changedEndpoints) == 0 {
		return
	}
	view := &message.View{}
	var updated []message.Endpoint
	size := 0
	for _, id := range slices.Sorted(maps.Keys(o.changedEndpoints)) {
		if size >= maxViewBytes {
			break
		}
		delete(o.changedEndpoints, id)
		if e, ok := s.machine.registry.Endpoints[id]; ok {
			updated = append(updated, o.messageEndpoint(e))
			size += e.Size()
		} else {
			view.Gone = append(view.Gone, event.EndpointID(id))
			size += len(id)
		}
	}
	unrestricted := view
	if o.mayRestrict() && o.hasEntriesBelow(level.Rollouts) {
		copied := *view
		unrestricted = &copied
		s.packEndpoints(o.drainRestricted(updated)).addTo(unrestricted)
	}
	s.packEndpoints(updated).addTo(view)
	o.broadcastChanges(view, unrestricted, s, out)
}

// broadcastChanges sends changes to all entries; older has them for entries below level.Rollouts. Entries that
// have all earlier changes then have the registry's revision; sessions that are still sent their initial view do
// not.
func (o *owner) broadcastChanges(view, older *message.View, s *State, out *Effects) {
	revision := uint64(0)
	if len(o.changedEndpoints) == 0 {
		revision = s.machine.registry.Revision
	}
	current, previous := newBroadcast(view, revision), newBroadcast(older, revision)
	for _, id := range o.sessionIDs() {
		sess := o.sessions[id]
		b := current
		if sess.formatVersion < level.Rollouts {
			b = previous
		}
		out.Sends = append(out.Sends, Send{id, b.messageFor(sess)})
	}
}

// broadcast has changes of endpoints, with and without the registry's revision.
type broadcast struct{ complete, partial *message.Envelope }

func newBroadcast(view *message.View, revision uint64) broadcast {
	complete := *view
	complete.Revision = revision
	return broadcast{&message.Envelope{View: &complete}, &message.Envelope{View: view}}
}

func (b broadcast) messageFor(sess *session) *message.Envelope {
	if sess.view.isIncomplete {
		return b.partial
	}
	return b.complete
}

// drainRestricted returns endpoints as they are sent to entries that don't read restrictions: restricted ones
// are draining, so that the entry uses none of them while it is degraded.
func (o *owner) drainRestricted(list []message.Endpoint) []message.Endpoint {
	all := slices.Clone(list)
	for i := range all {
		all[i].Leaving = all[i].Leaving || o.entryMode(versionKey{all[i].Service, all[i].Version}) != event.ModeNormal
	}
	return all
}

// firstView returns the first page of a session's initial view: the endpoints that changed since the
// revision that the entry has, and the unreachable endpoints.
func (o *owner) firstView(sess *session, revision uint64, s *State) *message.View {
	if sess.formatVersion < level.Chunked {
		return o.wholeView(sess, revision, s)
	}
	canResume := s.machine.registry.CanResumeFrom(revision)
	if o.mayRestrict() && sess.formatVersion < level.Rollouts {
		canResume = false // restrictions change without a revision
	}
	if !canResume {
		revision = 0
	}
	sess.view = viewProgress{revision: revision}
	view := o.nextView(sess, s)
	view.Whole, view.Signs, view.Members = !canResume, true, s.memberLinkAddresses()
	if sess.formatVersion >= level.Rollouts {
		view.Restrictions = o.restrictions()
	}
	if sess.formatVersion >= level.Versions {
		view.Versions = o.versions.message()
	}
	return view
}

// wholeView returns the initial view in one message, for an entry that does not support pages.
func (o *owner) wholeView(sess *session, revision uint64, s *State) *message.View {
	if sess.formatVersion < level.Compressed || !s.machine.registry.CanResumeFrom(revision) {
		revision = 0
	}
	p := s.machine.registry.ChangesAfter(revision, math.MaxInt)
	sess.view = viewProgress{revision: p.Revision}
	list := toMessageEndpoints(p.Endpoints)
	for i := range list {
		list[i].Down = o.down[list[i].ID]
	}
	view := &message.View{
		Whole: revision == 0, Endpoints: message.Pack(list), Revision: p.Revision, Signs: true, Members: s.memberLinkAddresses(),
	}
	for _, id := range p.Removed {
		view.Gone = append(view.Gone, event.EndpointID(id))
	}
	for _, id := range slices.Sorted(maps.Keys(o.down)) {
		if o.down[id] {
			view.Silent = append(view.Silent, event.EndpointID(id))
		}
	}
	return view
}

// sendView sends the next page of the initial view once the entry has received the previous one.
func (o *owner) sendView(p *PingReceived, sess *session, s *State, out *Effects) {
	if !sess.view.isIncomplete || p.Ping.Revision < sess.view.revision {
		return
	}
	out.Sends = append(out.Sends, Send{p.Session, &message.Envelope{View: o.nextView(sess, s)}})
}

// nextView returns the next page of a session's initial view.
func (o *owner) nextView(sess *session, s *State) *message.View {
	v := &sess.view
	p := o.pageAfter(v.revision, s)
	view := &message.View{Revision: p.Revision}
	o.pack(v.revision, p, sess, s).addTo(view)
	for _, id := range p.Removed {
		view.Gone = append(view.Gone, event.EndpointID(id))
	}
	v.revision = p.Revision
	if !p.HasMore {
		view.Silent = o.nextUnreachable(v)
	}
	v.isIncomplete = p.HasMore || len(v.unreachable) > 0
	view.More = v.isIncomplete
	return view
}

// nextUnreachable returns the next unreachable endpoints to send.
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

// pageAfter returns the page of the registry after a revision. It is cached, as all sessions need the
// same pages after a change of owner.
func (o *owner) pageAfter(revision uint64, s *State) registry.Page {
	if at := s.machine.registry.Revision; o.pagesRevision != at {
		clear(o.pages)
		o.pagesRevision = at
	}
	p, ok := o.pages[revision]
	if !ok {
		p = s.machine.registry.ChangesAfter(revision, maxViewBytes)
		o.pages[revision] = p
	}
	return p
}

// pack returns the endpoints of a page, encoded once for all sessions that need it: 10,000 endpoints for each of 300
// entries would be encoded 3,000,000 times after a change of owner.
func (o *owner) pack(after uint64, p registry.Page, sess *session, s *State) packedPage {
	if o.mayRestrict() && sess.formatVersion < level.Rollouts {
		list := make([]message.Endpoint, len(p.Endpoints))
		for i, e := range p.Endpoints {
			list[i] = o.messageEndpoint(e)
		}
		return s.packEndpoints(o.drainRestricted(list))
	}
	key := pageKey{after, p.Revision, len(p.Endpoints)}
	packed, ok := o.packed[key]
	if !ok {
		if len(o.packed) >= maxPackedPages {
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
