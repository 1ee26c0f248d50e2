// SPDX-License-Identifier: MIT

package admission

import (
	"slices"

	"lynxramp.org/affinity"
	"lynxramp.org/event"
	"lynxramp.org/message"
)

const (
	// streamsSettleTime is how long after its start an owner may not know streams that other entries began.
	streamsSettleTime = event.Second
	// freshRetryAfter is the Retry-After of a stream that can't be resumed: the caller may begin it again at once.
	freshRetryAfter = 100 * event.Millisecond
)

// streams has the versions of the streams of an owner. See package affinity.
type streams struct {
	ledger    *affinity.Ledger
	table     *affinity.Table
	settlesAt event.Time
	// unresolved are resumed streams whose version may still be reported, in order of arrival.
	unresolved []deferredRequest
}

// TrackStreams begins to bind streams to versions. Without it, none is resumed unless its entry knows the version.
func (s *State) TrackStreams(now event.Time, l *affinity.Ledger) {
	s.streams = &streams{ledger: l, table: affinity.NewTable(affinity.MaxOwnerStreams), settlesAt: now.Add(streamsSettleTime)}
}

// ReportStreams records versions of streams that an entry reports.
func (s *State) ReportStreams(now event.Time, list []affinity.Binding) {
	if s.streams == nil {
		return
	}
	for _, b := range list {
		s.streams.table.Begin(now, b.Key, b.Version, min(b.Left, affinity.StreamLifetime))
	}
}

// StreamCount returns how many streams have a known version.
func (s *State) StreamCount() int {
	if s.streams == nil {
		return 0
	}
	return s.streams.table.Len()
}

// bindStream binds a resumed stream to its version. It reports whether the request may go on; otherwise the request is
// refused or deferred.
func (s *State) bindStream(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) bool {
	t := &m.Ticket
	if m.Resumes != "" && !t.Bound {
		version, ok := s.streamVersion(now, m)
		if !ok {
			if s.streams != nil && now < s.streams.settlesAt && len(s.streams.unresolved) < maxHeld {
				s.streams.unresolved = append(s.streams.unresolved, deferredRequest{entry: entry, submission: *m, queuedAt: now, until: s.streams.settlesAt})
				return false
			}
			s.refuseResumption(entry, t.ID, event.ReasonStreamUnknown, out)
			return false
		}
		t.Bound, t.Version = true, version
	}
	if t.Bound && !s.hasVersion(t.Service, t.Version) {
		s.refuseResumption(entry, t.ID, event.ReasonVersionGone, out)
		return false
	}
	return true
}

func (s *State) refuseResumption(entry event.BoxID, id event.RequestID, why event.Reason, out *event.Effects) {
	s.poison.RecordUnsent(id)
	out.Refusals = append(out.Refusals, event.Refused{Entry: entry, ID: id, Reason: why, RetryAfter: freshRetryAfter})
}

// streamVersion returns the version of the stream that a request resumes; false if it is not known.
func (s *State) streamVersion(now event.Time, m *message.Submission) (string, bool) {
	if s.streams == nil {
		return "", false
	}
	if version, ok := s.streams.table.Version(now, m.Resumes); ok {
		s.streams.table.Extend(now, m.Resumes, affinity.TimeLeft(&m.Ticket))
		return version, true
	}
	return s.streams.ledger.Sole(m.Ticket.Service)
}

// hasVersion reports whether an endpoint of a version may get requests, now or once it is reachable.
func (s *State) hasVersion(service, version string) bool {
	for _, k := range s.endpoints {
		if k.Service == service && k.Version == version && !k.isDraining() && k.Mode != event.ModeBlocked {
			return true
		}
	}
	return false
}

// recordStreamGrant records the version of a granted stream and adds it to the grant.
func (s *State) recordStreamGrant(now event.Time, c *charge, g *event.Granted) {
	m := c.submission
	k, ok := s.endpoints[g.Endpoint]
	if !ok || m.Stream == "" && !m.Ticket.Bound {
		return
	}
	g.Version, g.HasVersion = k.Version, true
	c.streamVersion = k.Version
	if s.streams != nil {
		s.streams.table.Grant(now, m.Stream, k.Version, c.streamTimeLeft(now))
	}
}

// recordStreamBegin records that the first event of a granted stream arrived.
func (s *State) recordStreamBegin(now event.Time, id event.RequestID) {
	if c, ok := s.charges[id]; ok && s.streams != nil && c.submission.Stream != "" {
		s.streams.table.Begin(now, c.submission.Stream, c.streamVersion, c.streamTimeLeft(now))
	}
}

// streamTimeLeft returns for how much longer the stream of a charge may be resumed.
func (c *charge) streamTimeLeft(now event.Time) event.Duration {
	return max(0, affinity.TimeLeft(&c.submission.Ticket)-now.Sub(c.chargedAt))
}

// tickStreams resolves deferred requests and removes expired streams.
func (s *State) tickStreams(now event.Time, out *event.Effects) {
	if s.streams == nil {
		return
	}
	s.streams.table.Sweep(now)
	deferred := s.streams.unresolved
	s.streams.unresolved = nil
	for i := range deferred {
		m := afterWait(&deferred[i].submission, now.Sub(deferred[i].queuedAt))
		if _, ok := s.streamVersion(now, &m); !ok && now < deferred[i].until {
			s.streams.unresolved = append(s.streams.unresolved, deferred[i])
			continue
		}
		s.checkAndAdmit(now, deferred[i].entry, &m, out)
	}
}

// dropUnresolved removes the deferred requests that a function selects.
func (s *State) dropUnresolved(isDropped func(deferredRequest) bool) {
	if s.streams != nil {
		s.streams.unresolved = slices.DeleteFunc(s.streams.unresolved, isDropped)
	}
}

// refuseGone refuses the queued streams of a version that no endpoint has any more.
func (s *State) refuseGone(now event.Time, service, version string, out *event.Effects) {
	if s.hasVersion(service, version) {
		return
	}
	var gone []*charge
	for _, c := range s.charges {
		t := &c.submission.Ticket
		if !c.granted && t.Bound && t.Service == service && t.Version == version {
			gone = append(gone, c)
		}
	}
	slices.SortFunc(gone, compareCharges)
	for _, c := range gone {
		id := c.submission.Ticket.ID
		s.refund(now, id)
		s.step(now, s.service(now, service), &event.Withdrawn{Entry: c.entry, ID: id}, out)
		s.refuseResumption(c.entry, id, event.ReasonVersionGone, out)
	}
}
