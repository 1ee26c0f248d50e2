// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"maps"
	"slices"

	"lynxramp.org/affinity"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
)

// This file tells entries which versions the streams of a service may have, and keeps endpoints of a second version out
// of use until no entry relies on the first one. See package affinity.

// proposeInterval is how long a record of versions that is not committed yet is not proposed again.
const proposeInterval = event.Second

// versionOwner is the owner's state of the versions of services.
type versionOwner struct {
	ledger *affinity.Ledger
	// revision is that of published, unique among all owners.
	revision  uint64
	published []message.ServiceVersions
	// present has the versions of registered endpoints.
	present map[versionKey]bool
	isStale bool // the registry or the ledger changed since present was determined
	// pending are versions whose endpoints are not used yet, with the time from which no entry is told that the first
	// version is the only one.
	pending map[versionKey]event.Time
	// absent are versions in the ledger without endpoints.
	absent     map[versionKey]absence
	proposedAt map[affinity.Record]event.Time
}

// absence is the time since when no endpoint has a version, and the log index then.
type absence struct {
	since event.Time
	index consensus.Index
}

// revisionBits is the part of a revision that counts the changes of one owner.
const revisionBits = 24

// startVersions begins to bind streams to versions, once all members support it.
func (o *owner) startVersions(now event.Time, s *State) {
	if o.versions != nil || s.machine.formatVersion < level.Versions {
		return
	}
	o.versions = &versionOwner{
		ledger: &s.machine.versions, revision: uint64(o.term) << revisionBits, isStale: true,
		pending: make(map[versionKey]event.Time), absent: make(map[versionKey]absence), proposedAt: make(map[affinity.Record]event.Time),
	}
	o.admission.TrackStreams(now, &s.machine.versions)
}

// refreshVersions determines what entries are told and which versions are not used, and sends entries the changes.
func (o *owner) refreshVersions(now event.Time, s *State, out *Effects) {
	v := o.versions
	if v == nil || !v.isStale {
		return
	}
	v.isStale = false
	v.present = make(map[versionKey]bool)
	for _, e := range s.machine.registry.Endpoints {
		v.present[versionKey{e.Service, e.Version}] = true
	}
	before := maps.Clone(v.pending)
	v.updatePending(now)
	v.updateAbsent(now, s.node.Applied())
	if !maps.Equal(before, v.pending) {
		o.applyPending(now, before, s, out)
	}
	if list := v.list(); v.revision == uint64(o.term)<<revisionBits || !slices.EqualFunc(list, v.published, equalVersions) {
		v.revision++
		v.published = list
		o.sendVersions(out)
	}
}

func equalVersions(a, b message.ServiceVersions) bool {
	return a.Service == b.Service && slices.Equal(a.Versions, b.Versions)
}

// updatePending determines the versions whose endpoints are not used yet.
func (v *versionOwner) updatePending(now event.Time) {
	maps.DeleteFunc(v.pending, func(key versionKey, _ event.Time) bool {
		return !v.present[key] || v.ledger.IsAdmitted(key.service, key.version)
	})
	for key := range v.present {
		if _, ok := v.pending[key]; !ok && !v.ledger.IsAdmitted(key.service, key.version) {
			v.pending[key] = now
		}
	}
}

// updateAbsent determines the versions that streams may have and no endpoint has.
func (v *versionOwner) updateAbsent(now event.Time, index consensus.Index) {
	absent := make(map[versionKey]absence)
	for _, service := range v.ledger.Services() {
		for _, version := range v.ledger.Versions(service) {
			key := versionKey{service, version}
			if v.present[key] {
				continue
			}
			absent[key] = absence{since: now, index: index}
			if before, ok := v.absent[key]; ok {
				absent[key] = before
			}
		}
	}
	v.absent = absent
}

// list returns the versions that streams may have, those that are about to be used included, sorted by service.
func (v *versionOwner) list() []message.ServiceVersions {
	var list []message.ServiceVersions
	for _, service := range v.ledger.Services() {
		versions := slices.Clone(v.ledger.Versions(service))
		for key := range v.pending {
			if key.service == service {
				versions = append(versions, key.version)
			}
		}
		slices.Sort(versions)
		list = append(list, message.ServiceVersions{Service: service, Versions: versions})
	}
	return list
}

// isPending reports whether the endpoints of a version are not used yet.
func (v *versionOwner) isPending(key versionKey) bool {
	return v != nil && !v.ledger.IsAdmitted(key.service, key.version)
}

// applyPending applies a change of the pending versions to their endpoints, here and at entries.
func (o *owner) applyPending(now event.Time, before map[versionKey]event.Time, s *State, out *Effects) {
	markChanged := o.hasEntriesBelow(level.Rollouts) // they are sent the mode with the endpoint
	for _, id := range slices.Sorted(maps.Keys(s.machine.registry.Endpoints)) {
		e := s.machine.registry.Endpoints[id]
		key := versionKey{e.Service, e.Version}
		_, was := before[key]
		if _, is := o.versions.pending[key]; is == was {
			continue
		}
		o.admission.SetEndpoint(now, o.messageEndpoint(e), &o.effects)
		if markChanged {
			o.changedEndpoints[id] = true
		}
	}
	o.broadcastRestrictions(out)
	for _, key := range slices.SortedFunc(maps.Keys(o.versions.pending), compareVersionKeys) {
		if _, ok := before[key]; !ok {
			out.logInfo("endpoints of a further version are not used yet", Field{"service", key.service}, Field{"version", key.version}, Field{"streams_have", o.versions.ledger.Versions(key.service)})
		}
	}
}

func compareVersionKeys(a, b versionKey) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.version, b.version))
}

// message returns what entries are told.
func (v *versionOwner) message() *message.Versions {
	if v == nil {
		return nil
	}
	return &message.Versions{Revision: v.revision, List: v.published}
}

// sendVersions tells all entries the versions that streams may have.
func (o *owner) sendVersions(out *Effects) {
	m := &message.Envelope{View: &message.View{Versions: o.versions.message()}}
	for _, id := range o.sessionIDs() {
		if o.sessions[id].formatVersion >= level.Versions {
			out.Sends = append(out.Sends, Send{id, m})
		}
	}
}

// versionsRevision returns the revision that a pong confirms; 0 if it confirms none.
func (o *owner) versionsRevision(sess *session) uint64 {
	if o.versions == nil || sess.formatVersion < level.Versions {
		return 0
	}
	return o.versions.revision
}

// tickVersions proposes versions that can be used, and those that streams no longer have.
func (o *owner) tickVersions(now event.Time, s *State, out *Effects) {
	if o.versions == nil {
		return
	}
	o.refreshVersions(now, s, out)
	if !s.owns(now) {
		return
	}
	for _, r := range o.versions.due(now, o.noEntryRelies(now)) {
		if _, err := s.node.Propose(now, encodeVersions(r), &out.Ready); err != nil {
			return // no longer the leader; the next owner proposes it
		}
	}
}

// noEntryRelies reports whether no entry relies on what earlier revisions said: each one that was connected within
// affinity.LeaseTerm has confirmed the newest.
func (o *owner) noEntryRelies(now event.Time) bool {
	if now.Sub(o.startedAt) < affinity.AdmissionDelay {
		return false
	}
	for _, e := range o.entries {
		if e.session == 0 {
			if now.Sub(e.disconnectedAt) < affinity.AdmissionDelay {
				return false
			}
			continue
		}
		sess := o.sessions[e.session]
		if sess.formatVersion >= level.Versions && sess.versionsRevision < o.versions.revision {
			return false
		}
	}
	return true
}

// due returns the records to propose.
func (v *versionOwner) due(now event.Time, noEntryRelies bool) []affinity.Record {
	var records []affinity.Record
	add := func(r affinity.Record) {
		if at, ok := v.proposedAt[r]; !ok || now.Sub(at) >= proposeInterval {
			v.proposedAt[r] = now
			records = append(records, r)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(v.pending), compareVersionKeys) {
		if noEntryRelies || now.Sub(v.pending[key]) >= affinity.AdmissionDelay {
			add(affinity.Record{Service: key.service, Version: key.version})
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(v.absent), compareVersionKeys) {
		if now.Sub(v.absent[key].since) < affinity.StreamLifetime || len(v.ledger.Versions(key.service)) < 2 && key.version != affinity.Unknown {
			continue
		}
		if unlisted := v.unlisted(key.service); key.version == affinity.Unknown && len(unlisted) > 0 {
			for _, version := range unlisted {
				add(affinity.Record{Service: key.service, Version: version})
			}
			continue
		}
		add(affinity.Record{Service: key.service, Version: key.version, Retired: uint64(v.absent[key].index)})
	}
	return records
}

// unlisted returns the versions of a service's endpoints that the ledger does not have, sorted.
func (v *versionOwner) unlisted(service string) []string {
	var list []string
	for key := range v.present {
		if key.service == service && !slices.Contains(v.ledger.Versions(service), key.version) {
			list = append(list, key.version)
		}
	}
	slices.Sort(list)
	return list
}

// versionsCommitted applies a committed record.
func (o *owner) versionsCommitted(now event.Time, r affinity.Record, s *State, out *Effects) {
	if o.versions == nil {
		return
	}
	delete(o.versions.proposedAt, r)
	o.versions.isStale = true
	out.logInfo("versions of streams changed", Field{"service", r.Service}, Field{"version", r.Version}, Field{"retired", r.Retired > 0},
		Field{"streams_have", o.versions.ledger.Versions(r.Service)}, Field{"streams", o.admission.StreamCount()})
	o.refreshVersions(now, s, out)
}
