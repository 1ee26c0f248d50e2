// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"slices"
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/gateway"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

// This file simulates streams that break off and are resumed while endpoints of several versions serve, and faults
// are injected into entries, control boxes and endpoints.

// versionSim has the endpoints and the callers' streams.
type versionSim struct {
	endpoints  []*versionEndpoint
	streams    []*simStream
	started    int
	slots      int // of each endpoint; few, so that all of them are used
	perSecond  float64
	breakOften float64 // the share of events after which a stream breaks off
	violations []string
	// Since the counts were reset: attempts to begin streams and to resume them, and those that succeeded.
	attempted, begun, resumed, continued int
	refused                              map[event.Reason]int
}

// versionEndpoint is an instance of an endpoint.
type versionEndpoint struct {
	id, version        string
	isAlive, isLeaving bool
}

// simStream is a caller's stream over its attempts.
type simStream struct {
	name     string
	attempts int
	first    string // attempt that received the first event
	version  string // that brought it
	deadline event.Time
	retryAt  event.Time // of the next attempt, if none is in progress
	run      *streamRun
}

// streamRun is an attempt of a caller at an entry.
type streamRun struct {
	entry      *fleetEntry
	client     *gateway.OwnerClient
	request    *gateway.StreamRequest
	id         event.RequestID
	sends      int // to endpoints
	decision   chan gateway.Decision
	granted    gateway.Decision
	dispatchAt event.Time       // 0 until a grant is received
	endpoint   *versionEndpoint // nil until it is dispatched
	eventAt    event.Time       // when the next event arrives
	left       int              // events until the stream ends
	hasBegun   bool             // an event arrived in this attempt
	isBound    bool             // and the version that brought it is known
	version    string
}

func newVersionSim(t testing.TB, entries int, seed uint64) *fleetSim {
	f := newFleetSim(t, entries, seed)
	f.versions = &versionSim{slots: 8, perSecond: 30, breakOften: 1.0 / 60, refused: make(map[event.Reason]int)}
	f.versions.start("v1", 4)
	f.runFleet(4 * event.Second)
	return f
}

// start starts endpoints of a version.
func (v *versionSim) start(version string, n int) {
	for range n {
		v.endpoints = append(v.endpoints, &versionEndpoint{id: fmt.Sprint("e", len(v.endpoints)), version: version, isAlive: true})
	}
}

func (v *versionSim) sendHeartbeats(f *fleetSim) {
	for i, e := range v.endpoints {
		if !e.isAlive {
			continue
		}
		for _, name := range f.order {
			if b := f.boxes[name]; b.state != nil {
				f.heartbeat(b, registry.Endpoint{
					ID: e.id, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Slots: v.slots, Sequence: f.sequence, Version: e.version, Leaving: e.isLeaving,
				})
			}
		}
	}
}

// crash terminates a random endpoint; another one of its version takes its place.
func (v *versionSim) crash(f *fleetSim) {
	alive := slices.DeleteFunc(slices.Clone(v.endpoints), func(e *versionEndpoint) bool { return !e.isAlive || e.isLeaving })
	e := alive[f.random.IntN(len(alive))]
	e.isAlive = false
	v.start(e.version, 1)
}

// drain makes the endpoints of a version leave.
func (v *versionSim) drain(version string) {
	for _, e := range v.endpoints {
		e.isLeaving = e.isLeaving || e.version == version
	}
}

// step advances all streams.
func (v *versionSim) step(f *fleetSim) {
	for range int(v.perSecond*simStep.Seconds() + f.random.Float64()) {
		v.started++
		v.streams = append(v.streams, &simStream{name: fmt.Sprint("stream", v.started), deadline: f.now.Add(6 * event.Second), retryAt: f.now})
	}
	v.streams = slices.DeleteFunc(v.streams, func(s *simStream) bool { return v.stepStream(f, s) })
}

// stepStream advances a stream and reports whether it ended.
func (v *versionSim) stepStream(f *fleetSim, s *simStream) bool {
	switch {
	case f.now >= s.deadline:
		v.giveUp(f, s)
		return true
	case s.run == nil && f.now >= s.retryAt:
		v.attempt(f, s)
	case s.run == nil:
	case s.run.client != s.run.entry.client:
		v.lose(f, s) // its entry was killed
	case f.now < s.run.entry.suspendedUntil:
	case s.run.dispatchAt == 0:
		v.receiveDecision(f, s)
	case s.run.endpoint == nil && f.now >= s.run.dispatchAt:
		v.dispatch(f, s)
	case s.run.endpoint != nil:
		return v.receiveEvents(f, s)
	}
	return false
}

// attempt sends the next attempt of a caller to a random entry.
func (v *versionSim) attempt(f *fleetSim, s *simStream) {
	e := f.entries[f.random.IntN(len(f.entries))]
	if e.client == nil || f.now < e.suspendedUntil || e.client.Table(e.now(f.now)) == nil {
		return
	}
	s.attempts++
	f.requests++
	s.run = &streamRun{
		entry: e, client: e.client, id: event.RequestID(fmt.Sprintf("%s-%d", e.name, f.requests)), left: 5 + f.random.IntN(20),
		request: &gateway.StreamRequest{Service: "s", Attempt: fmt.Sprintf("%s-%d", s.name, s.attempts), IsResumption: s.first != "", Resumes: s.first},
	}
	if s.first != "" {
		v.resumed++
	} else {
		v.attempted++
	}
	v.submit(f, s)
}

func (v *versionSim) submit(f *fleetSim, s *simStream) {
	r := s.run
	r.decision, r.dispatchAt, r.endpoint = make(chan gateway.Decision, 1), 0, nil
	left := s.deadline.Sub(f.now)
	r.client.SubmitStream(r.entry.now(f.now), message.Submission{Ticket: event.Ticket{
		ID: r.id, Service: "s", Pool: "s", Deadline: left, CallerTime: left, Target: event.Second, OutputTokens: 10, Attempt: r.sends,
		Bound: r.isBound, Version: r.version, Placed: r.sends > 0,
	}, Repeat: r.sends > 0}, r.request, r.decision)
}

// receiveDecision receives the decision on a request. Some are used late, as if the entry was suspended meanwhile.
func (v *versionSim) receiveDecision(f *fleetSim, s *simStream) {
	select {
	case d := <-s.run.decision:
		if !d.Granted {
			v.refused[d.Reason]++
			v.lose(f, s)
			return
		}
		s.run.granted, s.run.dispatchAt = d, f.now
		if f.random.IntN(50) == 0 {
			s.run.dispatchAt = f.now.Add(event.Duration(f.random.IntN(3000)) * event.Millisecond)
		}
	default:
	}
}

func (v *versionSim) dispatch(f *fleetSim, s *simStream) {
	r := s.run
	i := slices.IndexFunc(v.endpoints, func(e *versionEndpoint) bool { return e.id == string(r.granted.Endpoint) })
	r.sends++
	if r.client.CheckRestriction(r.granted) != nil || !v.endpoints[i].isAlive {
		v.finish(f, r, true)
		v.lose(f, s)
		return
	}
	r.endpoint = v.endpoints[i]
	if s.version != "" && s.version != r.endpoint.version {
		v.violations = append(v.violations, fmt.Sprintf("%v: %s began at %s and goes on at %s of %s; degraded %v, resumed by its entry %v",
			f.now.Sub(0), s.name, s.version, r.endpoint.id, r.endpoint.version, r.granted.Degraded, r.hasBegun))
	}
	r.eventAt = f.now.Add(event.Duration(50+f.random.IntN(300)) * event.Millisecond)
}

// receiveEvents receives a stream from its endpoint and reports whether it ended.
func (v *versionSim) receiveEvents(f *fleetSim, s *simStream) bool {
	r := s.run
	switch {
	case !r.endpoint.isAlive:
		v.finish(f, r, false)
		v.breakOff(f, s)
		return false
	case f.now < r.eventAt:
		return false
	case !r.hasBegun:
		v.begin(f, s)
	}
	r.eventAt = f.now.Add(event.Duration(20+f.random.IntN(80)) * event.Millisecond)
	if r.left--; r.left <= 0 {
		v.finish(f, r, false)
		return true
	}
	if f.random.Float64() < v.breakOften {
		v.finish(f, r, false)
		v.breakOff(f, s)
	}
	return false
}

// begin receives the first event of an attempt.
func (v *versionSim) begin(f *fleetSim, s *simStream) {
	r := s.run
	r.client.Begin(r.entry.now(f.now), event.Begun{ID: r.id, Pool: "s", After: 50 * event.Millisecond})
	r.hasBegun, r.isBound, r.version = true, r.granted.HasVersion, r.granted.Version
	if s.first != "" {
		v.continued++
		return
	}
	s.first, s.version = r.request.Attempt, r.endpoint.version
	v.begun++
}

func (v *versionSim) finish(f *fleetSim, r *streamRun, unsent bool) {
	isAlive := slices.ContainsFunc(v.endpoints, func(e *versionEndpoint) bool { return e.id == string(r.granted.Endpoint) && e.isAlive })
	r.client.Finish(r.entry.now(f.now), message.Finish{
		Finished: event.Finished{ID: r.id, Pool: "s", Failed: true, Void: unsent, Unused: unsent}, Endpoint: r.granted.Endpoint, Unsent: unsent, Suspect: !isAlive,
	})
}

// breakOff ends a run early. Its entry resumes the stream, if it may, or leaves that to the caller.
func (v *versionSim) breakOff(f *fleetSim, s *simStream) {
	r := s.run
	if r.sends < 3 && f.random.IntN(2) == 0 && (!r.hasBegun || r.isBound) {
		v.submit(f, s)
		return
	}
	v.lose(f, s)
}

// lose ends an attempt; its caller makes another one.
func (v *versionSim) lose(f *fleetSim, s *simStream) {
	s.run = nil
	s.retryAt = f.now.Add(event.Duration(10+f.random.IntN(100)) * event.Millisecond)
}

// giveUp ends a stream whose caller no longer waits.
func (v *versionSim) giveUp(f *fleetSim, s *simStream) {
	r := s.run
	switch {
	case r == nil || r.client != r.entry.client:
	case r.dispatchAt == 0:
		r.client.Withdraw(r.entry.now(f.now), r.id)
	default:
		v.finish(f, r, r.endpoint == nil)
	}
}

func (v *versionSim) resetCounts() {
	v.attempted, v.begun, v.resumed, v.continued = 0, 0, 0, 0
	clear(v.refused)
}

// checkVersions checks that no stream has events of two versions.
func (v *versionSim) checkVersions(t *testing.T) {
	t.Helper()
	for _, violation := range v.violations {
		t.Error(violation)
	}
}

// crashInCalm crashes endpoints while nothing else fails.
func (v *versionSim) crashInCalm(f *fleetSim) {
	v.resetCounts()
	for range 12 {
		v.crash(f)
		f.runFleet(500 * event.Millisecond)
	}
}

// TestStreamsKeepTheirVersionUnderFaults: while versions come and go and endpoints, entries and owners are killed, cut off
// and suspended, no stream goes on at another version than that of its first event; afterwards streams are resumed.
func TestStreamsKeepTheirVersionUnderFaults(t *testing.T) {
	for entries, seeds := range map[int]uint64{1: 4, 4: 12, 20: 4} {
		for seed := range seeds * seedFactor(t) {
			t.Run(fmt.Sprintf("entries=%d/seed=%d", entries, seed), func(t *testing.T) {
				f := newVersionSim(t, entries, seed)
				v := f.versions
				faults := func(n int) {
					for range n {
						f.injectFault()
						if f.random.IntN(2) == 0 {
							v.crash(f)
						}
						f.runFleet(event.Duration(100+f.random.IntN(900)) * event.Millisecond)
					}
				}
				faults(4)
				v.start("v2", 4)
				faults(12)
				v.start("v3", 2)
				faults(4)
				v.drain("v1")
				faults(4)
				v.start("v1", 2)
				faults(4)
				f.runFleet(8 * event.Second)
				v.crashInCalm(f)
				v.checkVersions(t)
				began := float64(v.begun) / float64(max(1, v.attempted))
				if v.resumed < 12 || float64(v.continued) < 0.5*began*float64(v.resumed) {
					t.Errorf("%d of %d resumed streams went on, %d of %d new ones began; refusals %v", v.continued, v.resumed, v.begun, v.attempted, v.refused)
				}
			})
		}
	}
}

// TestSecondVersionStartsUnderFaults: endpoints of a second version start while entries are cut off, or the owner was
// lost, so that entries rely on what an owner told them before. No stream goes on at another version.
func TestSecondVersionStartsUnderFaults(t *testing.T) {
	for entries, seeds := range map[int]uint64{2: 8, 6: 8} {
		for seed := range seeds * seedFactor(t) {
			t.Run(fmt.Sprintf("entries=%d/seed=%d", entries, seed), func(t *testing.T) {
				f := newVersionSim(t, entries, seed)
				v := f.versions
				v.perSecond, v.breakOften = 150, 0.2
				before := event.Duration(f.random.IntN(500)) * event.Millisecond
				switch seed % 4 {
				case 0, 1:
					for _, e := range f.entries[:entries/2] {
						e.cutUntil = f.now.Add(5 * event.Second)
					}
				case 2:
					for _, e := range f.entries[:entries/2] {
						f.killEntry(e, 300*event.Millisecond)
					}
					f.killBox(f.mustOwner().name, event.Second)
				case 3:
					for _, e := range f.entries[:entries/2] {
						e.cutUntil = f.now.Add(5 * event.Second)
					}
					f.runFleet(before / 2)
					f.killBox(f.mustOwner().name, event.Second)
				}
				f.runFleet(before)
				v.start("v2", 8)
				for _, e := range v.endpoints[:3] {
					e.isLeaving = true
				}
				f.runFleet(5 * event.Second)
				v.checkVersions(t)
			})
		}
	}
}

// TestSoleVersionCostsNothing: while a service has one version, no stream is recorded and none is refused for its
// version. A second version is used soon after its first endpoint registered, and streams are recorded from then on.
func TestSoleVersionCostsNothing(t *testing.T) {
	f := newVersionSim(t, 4, 1)
	v := f.versions
	v.slots = 40
	f.runFleet(2 * event.Second)
	v.crashInCalm(f)
	if n := f.mustOwner().state.owner.admission.StreamCount(); n != 0 {
		t.Errorf("the owner has recorded %d streams", n)
	}
	began := float64(v.begun) / float64(max(1, v.attempted))
	if n := v.refused[event.ReasonStreamUnknown] + v.refused[event.ReasonVersionGone]; n > 0 || v.resumed < 12 || float64(v.continued) < 0.9*began*float64(v.resumed) {
		t.Errorf("%d of %d resumed streams went on, %d of %d new ones began; refusals %v", v.continued, v.resumed, v.begun, v.attempted, v.refused)
	}
	v.start("v2", 4)
	machine := &f.mustOwner().state.machine
	isRegistered := func() bool {
		return slices.ContainsFunc(machine.registry.List(), func(e registry.Endpoint) bool { return e.Version == "v2" })
	}
	for !isRegistered() {
		f.runFleet(simStep)
	}
	registeredAt := f.now
	for !slices.Equal(machine.versions.Versions("s"), []string{"v1", "v2"}) && f.now.Sub(registeredAt) < 5*event.Second {
		f.runFleet(simStep)
	}
	t.Logf("the second version is used %v after its first endpoint registered", f.now.Sub(registeredAt))
	if f.now.Sub(registeredAt) > event.Second {
		t.Errorf("the second version is used %v after its first endpoint registered", f.now.Sub(registeredAt))
	}
	f.runFleet(event.Second)
	if n := f.mustOwner().state.owner.admission.StreamCount(); n == 0 {
		t.Error("the owner records no streams")
	}
}
