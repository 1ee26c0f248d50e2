// SPDX-License-Identifier: MIT

package control

import (
	"cmp"
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/machine"
)

// placeBound is how long it is remembered where a request with a key ran.
const placeBound = 10 * 60 * event.Second

// keyed is a request with a key.
type keyed struct {
	claim machine.Claim
	// submitted is the request while its claim is on its way.
	submitted *event.Submitted
	// place is where it was granted; without an address it was not.
	place event.Granted
	since event.Time
	// attached are other requests of the key that wait for the place.
	attached []event.Submitted
}

// keyTable knows the requests with a key that this owner has met.
type keyTable struct {
	byID map[event.RequestID]*keyed
	// claims and releases are to be proposed.
	claims, releases []machine.Claim
}

func newKeyTable() keyTable { return keyTable{byID: make(map[event.RequestID]*keyed)} }

// holdsKey reports whether a request may go on to its pool. If not, it waits
// for its claim, is attached to the request that has the key, or is refused.
func (s *State) holdsKey(now event.Time, e *event.Submitted, out *Effects) bool {
	t := &e.Ticket
	held, ok := s.machine.Claim(t.Team, t.Key)
	if ok && held.Request == t.ID {
		if s.keys.byID[t.ID] == nil {
			s.keys.byID[t.ID] = &keyed{claim: held, since: now}
		}
		return true
	}
	if ok {
		s.attach(held, e, out)
		return false
	}
	if k := s.keys.byID[t.ID]; k == nil || k.submitted == nil {
		claim := machine.Claim{Team: t.Team, Key: t.Key, Request: t.ID, Digest: t.Digest}
		s.keys.byID[t.ID] = &keyed{claim: claim, submitted: e, since: now}
		s.keys.claims = append(s.keys.claims, claim)
	}
	return false
}

// attach sends a request to the answer of the one that has its key.
func (s *State) attach(held machine.Claim, e *event.Submitted, out *Effects) {
	k := s.keys.byID[held.Request]
	switch {
	case held.Digest != e.Ticket.Digest:
		refuse(e, event.ReasonKeyReused, out)
	case k == nil:
		refuse(e, event.ReasonClaimed, out)
	case k.place.Address == "":
		k.attached = append(k.attached, *e)
	default:
		out.Grants = append(out.Grants, attachment(k.place, e))
	}
}

// attachment tells an entry where the answer of another request is.
func attachment(place event.Granted, e *event.Submitted) event.Granted {
	place.Attach = place.ID.Dispatch(place.Attempt)
	place.ID = e.Ticket.ID
	place.Entry = e.Entry
	return place
}

// proposeClaims writes claims and releases into the log, all in one command.
func (s *State) proposeClaims(now event.Time, out *Effects) {
	if len(s.keys.claims)+len(s.keys.releases) == 0 {
		return
	}
	command := machine.Command{Time: s.wall, Claims: s.keys.claims, Releases: s.keys.releases}
	if _, err := s.node.Propose(now, command.Encode(), &out.Ready); err != nil {
		return // the lease is over; the next owner is asked again
	}
	s.keys.claims, s.keys.releases = nil, nil
}

// settleClaims lets requests go on whose claims were decided.
func (s *State) settleClaims(now event.Time, out *Effects) {
	var decided []*keyed
	for _, k := range s.keys.byID {
		if k.submitted == nil {
			continue
		}
		if _, ok := s.machine.Claim(k.claim.Team, k.claim.Key); ok {
			decided = append(decided, k)
		}
	}
	slices.SortFunc(decided, func(a, b *keyed) int {
		return cmp.Compare(a.claim.Request, b.claim.Request)
	})
	for _, k := range decided {
		e := k.submitted
		k.submitted = nil
		held, _ := s.machine.Claim(k.claim.Team, k.claim.Key)
		if held.Request != k.claim.Request {
			delete(s.keys.byID, k.claim.Request)
		}
		s.stepPools(now, e, out)
	}
}

// releaseKey gives the key of a request back that has not run and will not.
func (s *State) releaseKey(id event.RequestID, out *Effects) {
	k := s.keys.byID[id]
	if k == nil || k.place.Address != "" {
		return
	}
	delete(s.keys.byID, id)
	s.keys.releases = append(s.keys.releases, k.claim)
	for i := range k.attached {
		refuse(&k.attached[i], event.ReasonShed, out)
	}
}

// voided takes note that a request was granted in vain: it has not run.
func (t *keyTable) voided(id event.RequestID) {
	if k := t.byID[id]; k != nil {
		k.place = event.Granted{}
	}
}

// granted takes note of where a request with a key runs.
func (t *keyTable) granted(g event.Granted, out *Effects) {
	k := t.byID[g.ID]
	if k == nil || g.Attach != "" {
		return
	}
	k.place = g
	for i := range k.attached {
		out.Grants = append(out.Grants, attachment(g, &k.attached[i]))
	}
	k.attached = nil
}

// report takes note of requests that run since before this epoch.
func (t *keyTable) report(r event.Report) {
	for _, d := range r.Running {
		if k := t.byID[d.Request()]; k != nil && k.place.Address == "" {
			k.place = event.Granted{
				ID: d.Request(), Attempt: d.Attempt(),
				Endpoint: r.Endpoint, Address: r.Address, Incarnation: r.Incarnation,
			}
		}
	}
}

// sweep forgets where requests ran long ago.
func (t *keyTable) sweep(now event.Time) {
	for id, k := range t.byID {
		if now.Sub(k.since) > placeBound {
			delete(t.byID, id)
		}
	}
}
