// SPDX-License-Identifier: MIT

package control

import (
	"cmp"
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/machine"
)

// keyedRequestTTL is how long the endpoint of a request with a key is kept.
const keyedRequestTTL = 10 * 60 * event.Second

// keyedRequest is a request with an idempotency key.
type keyedRequest struct {
	claim machine.Claim
	// submitted is the request while its claim is being committed; nil afterwards.
	submitted *event.Submitted
	// grant is the request's grant; without an address there is none.
	grant event.Granted
	since event.Time
	// attached are other requests with the key that wait for the grant.
	attached []event.Submitted
}

// keyTable holds the requests with a key that this owner has received.
type keyTable struct {
	byID map[event.RequestID]*keyedRequest
	// claims and releases are still to be proposed.
	claims, releases []machine.Claim
}

func newKeyTable() keyTable { return keyTable{byID: make(map[event.RequestID]*keyedRequest)} }

// checkKey reports whether a request holds its key and may be scheduled. If not, it
// waits for its claim, is attached to the request that holds the key, or is refused.
func (s *State) checkKey(now event.Time, e *event.Submitted, out *Effects) bool {
	t := &e.Ticket
	held, ok := s.machine.Claim(t.Team, t.Key)
	if ok && held.Request == t.ID {
		if s.keys.byID[t.ID] == nil {
			s.keys.byID[t.ID] = &keyedRequest{claim: held, since: now}
		}
		return true
	}
	if ok {
		s.attach(held, e, out)
		return false
	}
	if k := s.keys.byID[t.ID]; k == nil || k.submitted == nil {
		claim := machine.Claim{Team: t.Team, Key: t.Key, Request: t.ID, Digest: t.Digest}
		s.keys.byID[t.ID] = &keyedRequest{claim: claim, submitted: e, since: now}
		s.keys.claims = append(s.keys.claims, claim)
	}
	return false
}

// attach attaches a request to the answer of the one that holds its key.
func (s *State) attach(held machine.Claim, e *event.Submitted, out *Effects) {
	k := s.keys.byID[held.Request]
	switch {
	case held.Digest != e.Ticket.Digest:
		refuse(e, event.ReasonKeyReused, out)
	case k == nil:
		refuse(e, event.ReasonClaimed, out)
	case k.grant.Address == "":
		k.attached = append(k.attached, *e)
	default:
		out.Grants = append(out.Grants, attachment(k.grant, e))
	}
}

// attachment returns a grant that attaches a request to the answer of another one.
func attachment(grant event.Granted, e *event.Submitted) event.Granted {
	grant.Attach = grant.ID.Dispatch(grant.Attempt)
	grant.ID = e.Ticket.ID
	grant.Entry = e.Entry
	return grant
}

// proposeClaims proposes the pending claims and releases in one command.
func (s *State) proposeClaims(now event.Time, out *Effects) {
	if len(s.keys.claims)+len(s.keys.releases) == 0 {
		return
	}
	command := machine.Command{Time: s.wallMillis, Claims: s.keys.claims, Releases: s.keys.releases}
	if _, err := s.node.Propose(now, command.Encode(), &out.Ready); err != nil {
		return // the lease has expired; entries submit to the next owner again
	}
	s.keys.claims, s.keys.releases = nil, nil
}

// resumeClaimed passes the requests whose claims were committed to their schedulers, in the order of their IDs.
func (s *State) resumeClaimed(now event.Time, out *Effects) {
	var decided []*keyedRequest
	for _, k := range s.keys.byID {
		if k.submitted == nil {
			continue
		}
		if _, ok := s.machine.Claim(k.claim.Team, k.claim.Key); ok {
			decided = append(decided, k)
		}
	}
	slices.SortFunc(decided, func(a, b *keyedRequest) int {
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

// releaseKey releases the key of a request that has not run and will not run.
func (s *State) releaseKey(id event.RequestID, out *Effects) {
	k := s.keys.byID[id]
	if k == nil || k.grant.Address != "" {
		return
	}
	delete(s.keys.byID, id)
	s.keys.releases = append(s.keys.releases, k.claim)
	for i := range k.attached {
		refuse(&k.attached[i], event.ReasonShed, out)
	}
}

// clearGrant drops the grant of a request that has not run.
func (t *keyTable) clearGrant(id event.RequestID) {
	if k := t.byID[id]; k != nil {
		k.grant = event.Granted{}
	}
}

// recordGrant records the grant of a request with a key and attaches the waiting ones.
func (t *keyTable) recordGrant(g event.Granted, out *Effects) {
	k := t.byID[g.ID]
	if k == nil || g.Attach != "" {
		return
	}
	k.grant = g
	for i := range k.attached {
		out.Grants = append(out.Grants, attachment(g, &k.attached[i]))
	}
	k.attached = nil
}

// recordRunning records requests that have been running since before this epoch.
func (t *keyTable) recordRunning(r event.Report) {
	for _, d := range r.Running {
		if k := t.byID[d.Request()]; k != nil && k.grant.Address == "" {
			k.grant = event.Granted{
				ID: d.Request(), Attempt: d.Attempt(),
				Endpoint: r.Endpoint, Address: r.Address, Incarnation: r.Incarnation,
			}
		}
	}
}

// expire drops requests older than keyedRequestTTL.
func (t *keyTable) expire(now event.Time) {
	for id, k := range t.byID {
		if now.Sub(k.since) > keyedRequestTTL {
			delete(t.byID, id)
		}
	}
}
