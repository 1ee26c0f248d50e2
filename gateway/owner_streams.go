// SPDX-License-Identifier: MIT

package gateway

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"lynxramp.org/affinity"
	"lynxramp.org/event"
	"lynxramp.org/message"
)

// This file keeps the versions of the streams of an entry, and resolves those of the streams that its callers resume.

const (
	// resumeTimeout is how long a resumed stream waits for an owner if the entry does not know its version.
	resumeTimeout = event.Second
	// maxReportedStreams limits the streams in one message to the owner: 8 kB.
	maxReportedStreams = 256
)

// versionState is what an entry knows of the versions of streams. The zero value knows nothing.
type versionState struct {
	// revision is that of services, as the current owner sent it; 0 if it has sent none.
	revision uint64
	services map[string][]string // the versions that the streams of a service may have
	// soleUntil is how long a single version of a service remains the only one.
	soleUntil event.Time
	// isRecording has the services whose streams are recorded.
	isRecording map[string]bool
	streams     *affinity.Table
	running     map[event.RequestID]*runningStream
	// unresolved are resumed streams that wait for an owner.
	unresolved map[event.RequestID]bool
	unreported []affinity.Binding // to the owner
}

// runningStream is a granted request whose stream may be resumed.
type runningStream struct {
	request    *StreamRequest
	version    string
	hasVersion bool
	begun      bool
	// link is that to the owner that granted the stream by its key; 0 if there is none.
	link    LinkID
	expires event.Time
}

func newVersionState() versionState {
	return versionState{
		isRecording: make(map[string]bool), streams: affinity.NewTable(affinity.MaxEntryStreams),
		running: make(map[event.RequestID]*runningStream), unresolved: make(map[event.RequestID]bool),
	}
}

// sole returns the version that all streams of a service have; false if they may have several.
func (v *versionState) sole(now event.Time, service string) (string, bool) {
	versions := v.services[service]
	if len(versions) != 1 || versions[0] == affinity.Unknown || now >= v.soleUntil {
		return "", false
	}
	return versions[0], true
}

// applyVersions applies the versions that the owner sent. They count from the next pong that confirms them.
func (a *OwnerClient) applyVersions(now event.Time, m *message.Versions) {
	if m == nil {
		return
	}
	services := make(map[string][]string, len(m.List))
	for _, s := range m.List {
		services[s.Service] = s.Versions
	}
	a.versions.revision = m.Revision
	if !maps.EqualFunc(services, a.versions.services, slices.Equal) {
		a.versions.services, a.versions.soleUntil = services, 0
		a.log.Info("versions of streams changed", zap.Any("services", services))
	}
	a.updateRecording(now)
	a.sendPing(now) // the owner may wait until all entries have this
}

// confirmVersions applies the owner's confirmation of the versions that it sent.
func (a *OwnerClient) confirmVersions(now event.Time, p *message.Pong) {
	if p.Versions == 0 || p.Versions != a.versions.revision {
		return
	}
	a.versions.soleUntil = max(a.versions.soleUntil, p.Sent.Add(affinity.LeaseTerm))
	a.updateRecording(now)
}

// updateRecording begins to record the streams of services that may have several versions from now on.
func (a *OwnerClient) updateRecording(now event.Time) {
	v := &a.versions
	for service := range v.services {
		_, isSole := v.sole(now, service)
		if was := v.isRecording[service]; was == !isSole {
			continue
		}
		v.isRecording[service] = !isSole
		if isSole {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(v.running)) {
			if r := v.running[id]; r.request.Service == service {
				a.recordStream(now, r)
				a.reportStream(now, r)
			}
		}
	}
}

// recordStream records the version of a granted stream, unless its service has one version.
func (a *OwnerClient) recordStream(now event.Time, r *runningStream) {
	if _, isSole := a.versions.sole(now, r.request.Service); isSole || !r.hasVersion {
		return
	}
	left := r.expires.Sub(now)
	if r.begun {
		a.versions.streams.Begin(now, r.request.key(), r.version, left)
	} else {
		a.versions.streams.Grant(now, r.request.key(), r.version, left)
	}
}

// reportStream reports a stream whose version the owner may not know.
func (a *OwnerClient) reportStream(now event.Time, r *runningStream) {
	if _, isSole := a.versions.sole(now, r.request.Service); isSole || !r.hasVersion || !r.begun || !a.hasOwner {
		return
	}
	a.versions.unreported = append(a.versions.unreported, affinity.Binding{Key: r.request.key(), Version: r.version, Left: r.expires.Sub(now)})
}

// streamGranted records a grant to a request whose stream may be resumed. It returns false if the grant must not be
// used since its endpoint's version may differ from that of the stream.
func (a *OwnerClient) streamGranted(now event.Time, w *waiter, g *event.Granted, degraded bool) (r *runningStream, ok bool) {
	r = &runningStream{request: w.stream, version: g.Version, hasVersion: g.HasVersion, expires: now.Add(affinity.TimeLeft(&w.submission.Ticket))}
	if !degraded && w.sent.Stream != "" {
		r.link = a.link
	}
	if e, known := a.endpoints[g.Endpoint]; known && !r.hasVersion && a.versions.services != nil {
		r.version, r.hasVersion = e.Version, true
	}
	switch t := &w.sent.Ticket; {
	case t.Bound:
		ok = r.hasVersion && r.version == t.Version
	case w.sent.Resumes != "":
		ok = g.HasVersion // the owner has bound it
	default:
		ok = true
	}
	if ok {
		a.versions.running[g.ID] = r
		a.recordStream(now, r)
	}
	return r, ok
}

// streamBegun records that the first event of a granted stream arrived.
func (a *OwnerClient) streamBegun(now event.Time, id event.RequestID) {
	r, ok := a.versions.running[id]
	if !ok || r.begun {
		return
	}
	r.begun = true
	a.recordStream(now, r)
	if r.link != a.link {
		a.reportStream(now, r) // the owner has not granted it
	}
}

// prepare returns a submission as it is sent to whoever decides. It reports whether it can be decided: the version of a
// stream that is resumed may be unknown without an owner.
func (a *OwnerClient) prepare(now event.Time, w *waiter, m message.Submission) (message.Submission, bool) {
	ok := true
	if s := w.stream; s != nil {
		sole, isSole := a.versions.sole(now, s.Service)
		if !isSole {
			m.Stream = s.key()
		}
		if s.IsResumption && !m.Ticket.Bound {
			m.Resumes = s.resumedKey()
			version, known := a.versions.streams.Version(now, m.Resumes)
			if !known && isSole {
				version, known = sole, true
			}
			if known {
				a.versions.streams.Extend(now, m.Resumes, affinity.TimeLeft(&m.Ticket))
				m.Resumes, m.Ticket.Bound, m.Ticket.Version = "", true, version
			}
			ok = known || a.hasOwner
		}
	}
	w.sent = m
	return m, ok
}

// submitDegraded submits a request to the entry's own scheduler. A resumed stream of unknown version waits for an owner.
func (a *OwnerClient) submitDegraded(now event.Time, w *waiter, m message.Submission) {
	m, ok := a.prepare(now, w, m)
	if !ok {
		a.versions.unresolved[m.Ticket.ID] = true
		return
	}
	a.degraded.Submit(now, a.config.Entry, &m, &a.effects)
}

// tickStreams refuses resumed streams that waited for an owner for too long, and removes expired streams.
func (a *OwnerClient) tickStreams(now event.Time) {
	a.versions.streams.Sweep(now)
	a.updateRecording(now)
	if a.hasOwner {
		clear(a.versions.unresolved)
		return
	}
	for _, id := range slices.Sorted(maps.Keys(a.versions.unresolved)) {
		w, ok := a.waiting[id]
		switch {
		case !ok:
			delete(a.versions.unresolved, id)
		case now.Sub(w.arrived) >= resumeTimeout:
			delete(a.versions.unresolved, id)
			delete(a.waiting, id)
			w.decision <- Decision{Reason: event.ReasonStreamUnknown, RetryAfter: retryAfterNotRun, Degraded: true}
		}
	}
}

// reportStreams reports to a new owner all streams whose versions are known.
func (a *OwnerClient) reportStreams(now event.Time) {
	a.versions.unreported = a.versions.streams.Bindings(now)
	a.flushStreams()
}

// flushStreams adds unreported streams to the next message.
func (a *OwnerClient) flushStreams() {
	if !a.hasOwner || len(a.versions.unreported) == 0 {
		return
	}
	n := min(len(a.versions.unreported), maxReportedStreams)
	a.batch.Streams = append(a.batch.Streams, a.versions.unreported[:n]...)
	a.versions.unreported = a.versions.unreported[n:]
}
