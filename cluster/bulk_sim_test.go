// SPDX-License-Identifier: MIT

package cluster

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/message"
)

// Speed of the links and disks of slow boxes.
const (
	slowStep    = 2 * event.Millisecond
	slowLatency = event.Millisecond
	slowTick    = 50 * event.Millisecond // same as tickInterval
	// slowLink is the bandwidth of a box to all others together, in bytes per second: 10 Mbit/s.
	slowLink = 10e6 / 8
	// slowSync is the latency of a save, slowDisk the throughput of a disk in bytes per second.
	slowSync = 100 * event.Millisecond
	slowDisk = 4 << 20
)

// manyRoutes is the number of routes of a large configuration; each takes about 205 bytes.
const manyRoutes = 14000

// routesDocument returns a configuration with a number of routes.
func routesDocument(version uint64, routes int) Document {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version": %d, "routes": [`, version)
	for i := range routes {
		h := fnv.New64a()
		fmt.Fprint(h, i, version)
		fmt.Fprintf(&b, `{"name": "route-%06d", "prefix": "/%016x/v1/completions", "team": "team-%04d", "service": "model-%02d", `+
			`"tier": "standard", "hedge_after_ms": %d, "retry": {"most": 2, "ratio": 0.2}, "weight": %d},`, i, h.Sum64(), i%1200, i%4, 100+i%700, i%97)
		b.WriteString("\n")
	}
	b.WriteString("{}]}")
	return Document{Version: version, Data: b.Bytes()}
}

// noiseDocument returns a configuration that can't be compressed.
func noiseDocument(version uint64, size int) Document {
	random := rand.New(rand.NewPCG(version, 5))
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return Document{Version: version, Data: data}
}

// inFlightMessage is a message that arrives at a time.
type inFlightMessage struct {
	message consensus.Message
	at      event.Time
}

// slowBox is the network link and the disk of a box.
type slowBox struct {
	linkFreeAt event.Time        // when all messages sent so far have left
	saving     []consensus.Ready // being saved, until savedAt
	savedAt    event.Time
	codecs     map[consensus.ID]*byteCounter // by receiver
}

// byteCounter counts the encoded bytes of a connection.
type byteCounter struct {
	bytes int
	out   *gob.Encoder
}

func (c *byteCounter) Write(data []byte) (int, error) {
	c.bytes += len(data)
	return len(data), nil
}

// slowSim is a sim of boxes with slow links and disks.
type slowSim struct {
	*sim
	slowBoxes map[string]*slowBox
	inFlight  []inFlightMessage
	sent      int // bytes sent by all boxes
}

func newSlowSim(t testing.TB, initialMembers, joining int) *slowSim {
	s := &slowSim{sim: newSim(t, initialMembers, joining), slowBoxes: make(map[string]*slowBox)}
	return s
}

// box returns the link and disk of a box, and takes over the box's saves.
func (s *slowSim) box(name string) *slowBox {
	b, ok := s.slowBoxes[name]
	if !ok {
		b = &slowBox{codecs: make(map[consensus.ID]*byteCounter)}
		s.slowBoxes[name] = b
	}
	s.boxes[name].isDiskStalled = true
	return b
}

// size returns the encoded size of a message on its connection.
func (b *slowBox) size(m consensus.Message) int {
	c, ok := b.codecs[m.To]
	if !ok {
		c = &byteCounter{}
		c.out = gob.NewEncoder(c)
		b.codecs[m.To] = c
	}
	before := c.bytes
	if err := c.out.Encode(message.Envelope{Consensus: &m}); err != nil {
		panic(err)
	}
	return c.bytes - before
}

// send queues new messages on the links of their senders.
func (s *slowSim) send() {
	for _, m := range s.messages {
		from := s.box(string(m.From.Box()))
		size := from.size(m)
		s.sent += size
		from.linkFreeAt = max(from.linkFreeAt, s.now).Add(event.Duration(float64(event.Second) * float64(size) / slowLink))
		s.inFlight = append(s.inFlight, inFlightMessage{m, from.linkFreeAt.Add(slowLatency)})
	}
	s.messages = nil
}

func (s *slowSim) deliver() {
	var pending []inFlightMessage
	due := s.inFlight
	s.inFlight = nil
	for _, f := range due {
		to := s.boxes[string(f.message.To.Box())]
		switch {
		case f.at > s.now:
			pending = append(pending, f)
		case to == nil || to.disk.member.ID != f.message.To || s.isCut(string(f.message.From.Box()), to.name):
		default:
			s.connectPeer(s.boxes[string(f.message.From.Box())], to)
			s.step(to, &MessageReceived{Message: f.message})
		}
	}
	s.inFlight = append(pending, s.inFlight...)
}

// save advances the disk of a box: all pending saves are done together.
func (s *slowSim) save(b *simBox) {
	slow := s.box(b.name)
	if b.state == nil {
		slow.saving = nil
		return
	}
	if len(slow.saving) > 0 && s.now >= slow.savedAt {
		saved := slow.saving
		slow.saving = nil
		for _, r := range saved {
			b.disk.save(&r)
			s.messages = append(s.messages, r.Messages...)
		}
		s.reportSaved(b, saved)
	}
	if len(slow.saving) > 0 || len(b.unsaved) == 0 {
		return
	}
	slow.saving = b.unsaved
	b.unsaved = nil
	size, must := 0, false
	for _, r := range slow.saving {
		must = must || r.MustSave()
		for _, e := range r.Entries {
			size += len(e.Data)
		}
		if r.Snapshot != nil {
			size += len(r.Snapshot.Data)
		}
	}
	slow.savedAt = s.now
	if must {
		slow.savedAt = s.now.Add(slowSync + event.Duration(float64(event.Second)*float64(size)/slowDisk))
	}
}

// reportSaved reports the last saved entry to a box.
func (s *slowSim) reportSaved(b *simBox, saved []consensus.Ready) {
	for _, r := range slices.Backward(saved) {
		if n := len(r.Entries); n > 0 {
			s.step(b, &LogSaved{Index: r.Entries[n-1].Index, Term: r.Entries[n-1].Term})
			return
		}
		if r.Snapshot != nil {
			s.step(b, &LogSaved{Index: r.Snapshot.Index, Term: r.Snapshot.Term})
			return
		}
	}
}

// run advances simulated time.
func (s *slowSim) run(span event.Duration) {
	for end := s.now.Add(span); s.now < end; {
		s.now = s.now.Add(slowStep)
		s.deliver()
		for i, name := range s.order {
			b := s.boxes[name]
			if int64(s.now)%int64(slowTick) == int64(i)*int64(slowStep) {
				s.step(b, &Tick{})
			}
			s.finishDecoding(b)
			if b.state != nil && b.wantsToJoin {
				s.join(b)
			}
			s.save(b)
		}
		s.send()
	}
}

// kill stops a box; what it had not saved or sent is lost.
func (s *slowSim) kill(name string) {
	s.stop(name)
	s.box(name).saving = nil
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightMessage) bool { return string(f.message.From.Box()) == name })
	s.box(name).linkFreeAt = 0
}

// operator submits a configuration each second until it is acknowledged.
type operator struct {
	s        *slowSim
	document Document
	sent     event.Time
	callIDs  []CallID
}

func (s *slowSim) operator(d Document) *operator {
	return &operator{s: s, document: d, sent: -event.Time(second)}
}

// done submits the configuration when it is due, and reports whether a call was acknowledged.
func (o *operator) done() bool {
	s := o.s
	if owner := s.owner(); owner != nil && s.now.Sub(o.sent) >= second {
		if n := len(o.callIDs); n > 0 {
			s.step(owner, &CallCancelled{CallID: o.callIDs[n-1]})
		}
		o.sent = s.now
		s.lastCall++
		o.callIDs = append(o.callIDs, s.lastCall)
		s.step(owner, &DocumentSubmitted{CallID: s.lastCall, Document: o.document})
	}
	return slices.ContainsFunc(o.callIDs, func(t CallID) bool { return s.answers[t].Status == StatusDone })
}

// checkOwner fails the test if there is no owner or the term has changed.
func (s *slowSim) checkOwner(term consensus.Term) {
	s.t.Helper()
	if got := s.mustOwner().state.Node().Term(); got != term {
		s.t.Fatalf("term %d at %v, want %d", got, event.Duration(s.now), term)
	}
}

// TestLargeConfigurationOverSlowLinks: a large configuration must be acknowledged without a change of
// leader. As one log entry it would delay the heartbeats behind it, so that the leader loses its lease.
func TestLargeConfigurationOverSlowLinks(t *testing.T) { testLargeConfiguration(t, 2) }

// TestLargeConfigurationForManyBoxes is the same with 24 boxes, 19 of them learners, that all receive the
// log over the leader's link.
func TestLargeConfigurationForManyBoxes(t *testing.T) { testLargeConfiguration(t, 21) }

// testLargeConfiguration submits a large configuration to three initial members and a number of boxes that join.
func testLargeConfiguration(t *testing.T, joining int) {
	s := newSlowSim(t, 3, joining)
	s.run(event.Duration(6+joining) * second)
	term := s.mustOwner().state.Node().Term()
	d := routesDocument(1, manyRoutes)
	o := s.operator(d)
	began := s.now
	for !o.done() {
		s.run(slowStep)
		s.checkOwner(term)
		if s.now.Sub(began) > 30*second {
			t.Fatal("the configuration was not acknowledged within 30 s")
		}
	}
	t.Logf("%d bytes acknowledged after %v, %d bytes sent", len(d.Data), s.now.Sub(began), s.sent)
	for s.now.Sub(began) < 30*second {
		s.run(slowStep)
		s.checkOwner(term)
	}
	for _, name := range s.order {
		s.wantDocument(name, d)
	}
}

// TestLargeConfigurationSurvivesLeaderChanges kills each leader before the replication of a large
// configuration is complete. Replicated parts must be kept by the next leader, or the upload would never
// complete.
func TestLargeConfigurationSurvivesLeaderChanges(t *testing.T) {
	const lifetime = 1500 * event.Millisecond // until a leader is killed; the replication takes longer
	s := newSlowSim(t, 3, 2)
	s.run(8 * second)
	d := noiseDocument(1, 3<<20)
	o := s.operator(d)
	began := s.now
	killed := 0
	for !o.done() {
		owner := s.owner()
		if owner == nil {
			s.run(slowStep)
			continue
		}
		o.sent = s.now.Add(-second) // the operator submits to the new leader at once
		for until := s.now.Add(lifetime); s.now < until && !o.done(); {
			s.run(slowStep)
		}
		if !o.done() {
			killed++
			s.kill(owner.name)
			s.run(second)
			s.restart(owner.name)
		}
		if s.now.Sub(began) > 120*second {
			t.Fatalf("the configuration was not acknowledged within 120 s, after %d leaders were killed", killed)
		}
	}
	t.Logf("%d bytes acknowledged after %v; %d leaders were killed", len(d.Data), s.now.Sub(began), killed)
	if killed == 0 {
		t.Error("no leader was killed before the acknowledgement")
	}
	s.run(10 * second)
	for _, name := range s.order {
		s.wantDocument(name, d)
	}
}

// TestReplacedBoxCatchesUpOverSlowLink: a box with a lost disk must become a voter while changes continue,
// and the leader must keep its lease. A snapshot sent as one message, and sent again before it arrived,
// would prevent both.
func TestReplacedBoxCatchesUpOverSlowLink(t *testing.T) {
	s := newSlowSim(t, 3, 0)
	s.run(4 * second)
	large := s.operator(noiseDocument(1, 3<<20))
	for began := s.now; !large.done(); s.run(slowStep) {
		if s.now.Sub(began) > 60*second {
			t.Fatal("the large configuration was not acknowledged within 60 s")
		}
	}
	for i := range 2 * minCompactBytes / entryOverhead { // enough for a compaction of the log
		s.heartbeat(s.mustOwner(), manyEndpoint(i, 1))
		s.run(slowStep)
	}
	s.run(5 * second)
	term := s.mustOwner().state.Node().Term()
	lost := s.order[slices.IndexFunc(s.order, func(name string) bool { return name != s.mustOwner().name })]
	s.kill(lost)
	s.run(second)
	s.addEmpty(lost)
	began := s.now
	isVoter := func() bool { return slices.Contains(s.voters(), string(s.boxes[lost].disk.member.ID)) }
	for n := 0; !isVoter(); n++ {
		changed := manyEndpoint(n%900, uint64(2+n))
		changed.Slots = 9 + n/900
		s.heartbeat(s.mustOwner(), changed)
		s.run(50 * slowStep)
		s.checkOwner(term)
		if s.now.Sub(began) > 60*second {
			t.Fatal("the box is not a voter after 60 s")
		}
	}
	t.Logf("voter again after %v", s.now.Sub(began))
	s.run(2 * second)
	s.wantDocument(lost, s.mustOwner().state.Document())
}

// logBound is the most memory that the log of a box may take when its state is 1 MB, in bytes: twice the
// least size between two snapshots, and a configuration that is not committed.
const logBound = 2*minCompactBytes + 2<<20

// TestLogSizeIsBounded submits large changes faster than they are replicated: pending ones must not
// accumulate in the log.
func TestLogSizeIsBounded(t *testing.T) {
	s := newSlowSim(t, 3, 0)
	s.run(4 * second)
	most := 0
	var callIDs []CallID
	for version := range uint64(60) {
		s.lastCall++
		callIDs = append(callIDs, s.lastCall)
		s.step(s.mustOwner(), &DocumentSubmitted{CallID: s.lastCall, Document: noiseDocument(version+1, 1<<20)})
		s.run(100 * event.Millisecond)
		most = max(most, s.logBytes())
	}
	s.wantLogWithin(most)
	s.run(20 * second)
	for i, callID := range callIDs {
		if s.answers[callID].Status != StatusDone {
			t.Errorf("change %d was not acknowledged: %+v", i+1, s.answers[callID])
		}
	}
	for _, name := range s.order {
		s.wantDocument(name, noiseDocument(60, 1<<20))
	}
}

// TestLogSizeOfCommittedChangesIsBounded is the same where each change is committed before the next one:
// the log must be compacted by size, not by its number of entries.
func TestLogSizeOfCommittedChangesIsBounded(t *testing.T) {
	s := newSlowSim(t, 3, 0)
	s.run(4 * second)
	most := 0
	for version := range uint64(60) {
		for o := s.operator(noiseDocument(version+1, 1<<20)); !o.done(); s.run(slowStep) {
			most = max(most, s.logBytes())
		}
	}
	s.wantLogWithin(most)
}

// logBytes returns the size of the largest log in memory.
func (s *slowSim) logBytes() int {
	most := 0
	for _, name := range s.order {
		most = max(most, s.boxes[name].state.Node().LogBytes())
	}
	return most
}

func (s *slowSim) wantLogWithin(most int) {
	s.t.Helper()
	s.t.Logf("largest size of the log: %d bytes", most)
	if most > logBound {
		s.t.Errorf("the log took %d bytes, want at most %d", most, logBound)
	}
}
