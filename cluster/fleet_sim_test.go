// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"go.uber.org/zap"

	"lynxramp.org/admission"
	"lynxramp.org/event"
	"lynxramp.org/gateway"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
	"lynxramp.org/routing"
)

// This file simulates entries, with their real reducers, together with the control boxes, and injects
// faults into both. The tests check the requests that arrive at endpoints.

// fleetTick is the tick interval of an entry's event loop.
const fleetTick = 50 * event.Millisecond

// fleetLimits are the admission limits of the simulated deployment.
var fleetLimits = admission.Limits{
	QuotaWindow: 8 * event.Second, QuotaOvershoot: 0.1, QuotaSlack: 10000,
	RetryWindow: 10 * event.Second, RetryRatio: 0.2, RetryMin: 50,
}

// fleetTeam is the team whose quota is checked.
var fleetTeam = routing.Team{Name: "t", Rate: 16000, Burst: 16000}

// fleetQuotaBound is the most that the team may use in a window, in tokens.
const fleetQuotaBound = (16000*8+16000)*1.1 + 10000

// fleetArrival is a request that an endpoint ran.
type fleetArrival struct {
	sent, arrived event.Time
	amount        int
	repeat        bool
}

// fleetMessage is a message in transit between an entry and a control box.
type fleetMessage struct {
	at       event.Time
	envelope *message.Envelope
}

// fleetLink is the connection of an entry to a control box.
type fleetLink struct {
	id        gateway.LinkID
	session   SessionID
	box       string
	toControl []fleetMessage
	toEntry   []fleetMessage
	size      *wireSize
	received  int // messages of sim.sends taken so far
}

// fleetCall is a request of a caller.
type fleetCall struct {
	id          event.RequestID
	sent        event.Time
	amount      int
	repeat      bool
	decision    chan gateway.Decision
	cancelAt    event.Time // when its caller cancels it; 0 means never
	fingerprint poison.Fingerprint
	attempt     int // number of earlier attempts
	parts       []poison.Fingerprint
	poison      *poisonRequest // nil for a request that crashes no endpoint
}

// fleetFinish is the pending end of a running request, and of its endpoint if that crashes.
type fleetFinish struct {
	at     event.Time
	finish message.Finish
	crash  *poison.Termination
}

// fleetEntry is a simulated entry.
type fleetEntry struct {
	name           event.BoxID
	clockOrigin    event.Time // start of its process's clock
	client         *gateway.OwnerClient
	link           *fleetLink
	calls          []*fleetCall
	finishes       []fleetFinish // not reported yet
	dialAt         event.Time    // when the pending dial completes; 0 if there is none
	dialAddress    string
	suspendedUntil event.Time // its process is suspended until then
	downUntil      event.Time // its process is not running until then
	cutUntil       event.Time // it can't reach control boxes until then
	weight         float64    // relative share of the callers
	// linkRate is the bandwidth of the entry's link in bytes per second, cpuShare the fraction of a core
	// that its process gets; 0 lets messages or work take no time.
	linkRate, cpuShare float64
	busyUntil          event.Time // it takes no message before
	linkFreeAt         event.Time // when all messages on the link have arrived
}

// fleetSim is a simulated deployment of control boxes, entries and endpoints.
type fleetSim struct {
	*sim
	entries         []*fleetEntry
	arrivals        []fleetArrival
	firstAttempts   []event.Time // when callers sent requests, without retries
	entryInstances  uint64
	requests        int
	sessions        SessionID
	sequence        uint64
	demand          float64 // tokens per second
	restartAt       map[string]event.Time
	suspendedStates map[string]*State
	decode          func([]byte) (*routing.Table, error)
	crashing        *crashSim        // endpoints that crash; nil for a single one that does not
	limited         *limitedEndpoint // state of the single endpoint's rate limit; nil if it has none
	rollout         *rolloutSim      // endpoints of two versions; nil for a single one without a version
	versions        *versionSim      // endpoints of several versions with streams; nil if there are none
}

func newFleetSim(t testing.TB, n int, seed uint64) *fleetSim {
	return newFleetSimOf(t, n, seed, decodeFleet)
}

// newFleetSimOf returns a deployment that decodes configurations with decode.
func newFleetSimOf(t testing.TB, n int, seed uint64, decode func([]byte) (*routing.Table, error)) *fleetSim {
	f := &fleetSim{
		sim: newSim(t, 3, 2), restartAt: make(map[string]event.Time), suspendedStates: make(map[string]*State),
		demand: 3 * fleetTeam.Rate, decode: decode,
	}
	f.random = rand.New(rand.NewPCG(seed, uint64(n)))
	f.settings = func(seed uint64) Settings {
		s := simSettings(seed)
		s.Limits = fleetLimits
		s.Decode = decode
		return s
	}
	for _, name := range f.order {
		f.stop(name)
		f.restart(name)
	}
	f.run(4 * event.Second)
	f.put(f.mustOwner(), 1)
	for i := range n {
		e := &fleetEntry{name: event.BoxID(fmt.Sprintf("entry%d", i+1)), weight: f.random.Float64()}
		f.entries = append(f.entries, e)
		f.startEntry(e)
	}
	return f
}

func decodeFleet([]byte) (*routing.Table, error) {
	t := &routing.Table{Version: 1, Services: []routing.Service{{Name: "s"}}, Teams: []routing.Team{fleetTeam}}
	t.Index()
	return t, nil
}

func (f *fleetSim) startEntry(e *fleetEntry) {
	f.entryInstances++
	e.clockOrigin = f.now
	e.client = gateway.NewOwnerClient(gateway.ClientConfig{
		Entry: e.name, Instance: f.entryInstances, ControlAddresses: slices.Clone(f.order), Limits: fleetLimits,
		ConfigValidity: 5 * event.Second, Log: zap.NewNop(),
	})
	e.calls, e.finishes, e.dialAt = nil, nil, 0
}

// killEntry kills an entry's process; its requests keep running on the endpoints.
func (f *fleetSim) killEntry(e *fleetEntry, off event.Duration) {
	f.dropLink(e)
	e.client = nil
	e.downUntil = f.now.Add(off)
}

// dropLink closes an entry's connection on both sides.
func (f *fleetSim) dropLink(e *fleetEntry) {
	if e.link == nil {
		return
	}
	l := e.link
	e.link = nil
	if e.client != nil {
		e.client.Disconnected(e.now(f.now), l.id, nil)
	}
	if b := f.boxes[l.box]; b.state != nil {
		f.step(b, &SessionClosed{Session: l.session})
	}
}

// now returns the time by the entry's own clock.
func (e *fleetEntry) now(now event.Time) event.Time { return event.Time(now.Sub(e.clockOrigin)) }

// runFleet advances the time of all control boxes, entries and endpoints.
func (f *fleetSim) runFleet(span event.Duration) {
	for end := f.now.Add(span); f.now < end; {
		f.run(simStep)
		f.restoreBoxes()
		if int64(f.now)%int64(event.Second) == 0 {
			f.sendHeartbeats()
		}
		if f.crashing != nil {
			f.crashing.step(f)
		}
		for _, e := range f.entries {
			f.stepEntry(e)
		}
		if f.versions != nil {
			f.versions.step(f)
		}
	}
}

// sendHeartbeats sends the heartbeat of the endpoint to all control boxes.
func (f *fleetSim) sendHeartbeats() {
	f.sequence++
	if f.crashing != nil {
		f.crashing.sendHeartbeats(f)
		return
	}
	if f.rollout != nil {
		f.rollout.sendHeartbeats(f)
		return
	}
	if f.versions != nil {
		f.versions.sendHeartbeats(f)
		return
	}
	for _, name := range f.order {
		if b := f.boxes[name]; b.state != nil {
			f.heartbeat(b, registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 1 << 20, Sequence: f.sequence})
		}
	}
}

// restoreBoxes restarts and resumes the control boxes that are due.
func (f *fleetSim) restoreBoxes() {
	for _, name := range slices.Clone(f.order) {
		at, ok := f.restartAt[name]
		if !ok || f.now < at {
			continue
		}
		delete(f.restartAt, name)
		if state := f.suspendedStates[name]; state != nil {
			delete(f.suspendedStates, name)
			f.boxes[name].state = state
			continue
		}
		f.restart(name)
	}
}

func (f *fleetSim) stepEntry(e *fleetEntry) {
	switch {
	case e.client == nil && f.now >= e.downUntil:
		f.startEntry(e)
	case e.client == nil || f.now < e.suspendedUntil || e.busyUntil > f.now.Add(simStep):
		return
	}
	now := e.now(f.now)
	f.deliver(e)
	f.stepCallers(e, now)
	if int64(now)%int64(fleetTick) == 0 {
		e.client.Tick(now)
	}
	f.connect(e, now)
	f.applyEffects(e)
	f.receiveDecisions(e, now)
	f.applyEffects(e)
}

// connect completes a pending dial.
func (f *fleetSim) connect(e *fleetEntry, now event.Time) {
	if e.dialAt == 0 || f.now < e.dialAt {
		return
	}
	e.dialAt = 0
	b := f.boxes[e.dialAddress]
	if b == nil || b.state == nil || f.now < e.cutUntil {
		e.client.DialFailed(now, e.dialAddress, nil)
		return
	}
	f.sessions++
	e.link = &fleetLink{id: gateway.LinkID(f.sessions), session: f.sessions, box: e.dialAddress, size: newWireSize()}
	e.linkFreeAt = f.now // messages of the previous connection are lost
	e.client.Connected(now, e.link.id, e.dialAddress)
	e.client.SetPeerFormatVersion(e.link.id, level.Newest)
}

// applyEffects applies the effects of an entry's owner client.
func (f *fleetSim) applyEffects(e *fleetEntry) {
	out := e.client.TakeEffects()
	for _, s := range out.Sends {
		if e.link != nil && s.Link == e.link.id {
			e.link.toControl = append(e.link.toControl, fleetMessage{f.drawArrival(), s.Message})
		}
	}
	for _, id := range out.Closes {
		if e.link != nil && id == e.link.id {
			l := e.link
			e.link = nil
			if b := f.boxes[l.box]; b.state != nil {
				f.step(b, &SessionClosed{Session: l.session})
			}
		}
	}
	if out.Dial != "" {
		e.dialAddress, e.dialAt = out.Dial, f.now.Add(simStep)
		if f.now < e.cutUntil {
			e.dialAt = f.now.Add(400 * event.Millisecond)
		}
	}
}

// drawArrival draws when a message arrives: now, or rarely much later.
func (f *fleetSim) drawArrival() event.Time {
	if f.random.IntN(200) == 0 {
		return f.now.Add(event.Duration(f.random.IntN(400)) * event.Millisecond)
	}
	return f.now
}

// deliver delivers the messages on an entry's connection in order, unless it is cut off.
func (f *fleetSim) deliver(e *fleetEntry) {
	if e.link == nil || f.now < e.cutUntil {
		return
	}
	l := e.link
	b := f.boxes[l.box]
	if b.state == nil && f.suspendedStates[l.box] == nil {
		f.dropLink(e)
		return
	}
	for len(l.toControl) > 0 && l.toControl[0].at <= f.now && b.state != nil && !f.isBusy(b) {
		m := l.toControl[0].envelope
		l.toControl = l.toControl[1:]
		switch {
		case m.Hello != nil:
			f.step(b, &SessionOpened{FormatVersion: level.Newest, Session: l.session, Hello: *m.Hello})
		case m.Ping != nil:
			f.step(b, &PingReceived{Session: l.session, Ping: *m.Ping})
		case m.Batch != nil:
			f.step(b, &BatchReceived{Session: l.session, Batch: m.Batch})
		case m.Want != nil:
			f.step(b, &NodesRequested{Session: l.session, Want: m.Want})
		}
	}
	for _, m := range f.sends[l.session][l.received:] {
		l.toEntry = append(l.toEntry, fleetMessage{max(f.drawArrival(), e.arrivalTime(f.now, l, m)), m})
		l.received++
	}
	for len(l.toEntry) > 0 && l.toEntry[0].at <= f.now && e.busyUntil <= f.now.Add(simStep) {
		m := l.toEntry[0].envelope
		l.toEntry = l.toEntry[1:]
		e.runCharged(f.now, func() { e.client.Received(e.now(f.now), l.id, m) })
	}
	if f.closed[l.session] && len(l.toEntry) == 0 && e.link == l {
		f.dropLink(e)
	}
}

// stepCallers sends requests of callers to an entry, cancels some, and finishes those that are due.
func (f *fleetSim) stepCallers(e *fleetEntry, now event.Time) {
	total := 0.0
	for _, one := range f.entries {
		total += one.weight
	}
	const mean = 1000
	rate := f.demand / mean * e.weight / total * simStep.Seconds()
	if f.crashing != nil {
		f.crashing.stepCallers(f, e, now)
		rate = 0
	}
	if f.versions != nil {
		rate = 0
	}
	for ; rate > 0; rate-- {
		if f.random.Float64() < rate && e.client.Table(now) != nil {
			f.sendRequest(e, now, f.random.IntN(2*mean), false)
			if f.random.IntN(3) == 0 {
				f.sendRequest(e, now, 0, true) // the quota counted its first attempt
			}
		}
	}
	for _, c := range e.calls {
		if c.cancelAt != 0 && f.now >= c.cancelAt {
			e.client.Withdraw(now, c.id)
		}
	}
	e.calls = slices.DeleteFunc(e.calls, func(c *fleetCall) bool { return c.cancelAt != 0 && f.now >= c.cancelAt })
	if f.limited != nil {
		f.limited.deliverResponses(f, e, now)
	}
	e.finishes = slices.DeleteFunc(e.finishes, func(end fleetFinish) bool {
		if f.now < end.at {
			return false
		}
		if end.crash != nil {
			e.client.RecordTermination(now, *end.crash)
		}
		e.client.Finish(now, end.finish)
		return true
	})
}

func (f *fleetSim) sendRequest(e *fleetEntry, now event.Time, amount int, repeat bool) {
	f.requests++
	if f.limited != nil || f.rollout != nil {
		amount, repeat = 1, false // only the endpoint's rate limit, or the exposure, is checked
	}
	c := &fleetCall{
		id: event.RequestID(fmt.Sprintf("%s-%d", e.name, f.requests)), sent: f.now, amount: amount, repeat: repeat,
		decision: make(chan gateway.Decision, 1),
	}
	if f.random.IntN(30) == 0 {
		c.cancelAt = f.now.Add(event.Duration(f.random.IntN(60)) * event.Millisecond)
	}
	if !repeat {
		f.firstAttempts = append(f.firstAttempts, f.now)
	}
	e.calls = append(e.calls, c)
	e.client.Submit(now, message.Submission{
		Ticket: event.Ticket{
			ID: c.id, Team: "t", Service: "s", Pool: "s", Deadline: 5 * event.Second, Target: event.Second, OutputTokens: 10,
		},
		Quota: amount, Repeat: repeat,
	}, c.decision)
}

// receiveDecisions sends granted requests to the endpoint, some of them late: their entry was suspended
// between the grant and the dispatch.
func (f *fleetSim) receiveDecisions(e *fleetEntry, now event.Time) {
	e.calls = slices.DeleteFunc(e.calls, func(c *fleetCall) bool {
		select {
		case d := <-c.decision:
			switch {
			case f.crashing != nil:
				f.crashing.applyDecision(f, e, now, c, d)
			case d.Granted:
				f.dispatch(e, now, c, d)
			}
			return true
		default:
			return false
		}
	})
}

func (f *fleetSim) dispatch(e *fleetEntry, now event.Time, c *fleetCall, d gateway.Decision) {
	result := message.Finish{Finished: event.Finished{ID: c.id, Pool: "s"}, Endpoint: "e"}
	if f.limited != nil {
		f.limited.dispatch(f, e, now, c, d)
		return
	}
	if f.rollout != nil {
		f.rollout.dispatch(f, e, now, c, d)
		return
	}
	if f.random.IntN(40) == 0 || e.client.Table(now) == nil {
		result.Void, result.Unused, result.Unsent = true, true, true
		e.client.Finish(now, result)
		return
	}
	arrived := f.now
	if f.random.IntN(50) == 0 {
		arrived = arrived.Add(event.Duration(f.random.IntN(3000)) * event.Millisecond)
	}
	if c.repeat && arrived.Sub(c.sent) > message.MaxRetryAge {
		result.Void, result.Unused, result.Unsent = true, true, true
		e.client.Finish(now, result)
		return
	}
	f.arrivals = append(f.arrivals, fleetArrival{sent: c.sent, arrived: arrived, amount: c.amount, repeat: c.repeat})
	e.finishes = append(e.finishes, fleetFinish{at: arrived.Add(event.Duration(f.random.IntN(800)) * event.Millisecond), finish: result})
}
