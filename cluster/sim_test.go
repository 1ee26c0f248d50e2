// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"lynxramp.org/admission"
	"lynxramp.org/budget"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/internal/cputime"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/registry"
	"lynxramp.org/routing"
)

// simQuota is the quota of the simulated team per window, in tokens.
const simQuota = 10000

// simStep is the resolution of simulated time.
const simStep = 10 * event.Millisecond

// simDisk is the persistent state of a simulated box.
type simDisk struct {
	member   consensus.Member
	restored consensus.PersistentState
}

// save applies a Ready to the disk, as package store does.
func (d *simDisk) save(r *consensus.Ready) {
	if r.HardState != nil {
		d.restored.HardState = *r.HardState
	}
	if r.Snapshot != nil {
		d.restored.Snapshot = *r.Snapshot
		d.restored.Entries = slices.Clone(r.Entries)
		return
	}
	for _, e := range r.Entries {
		keep := int(e.Index - d.restored.Snapshot.Index - 1)
		d.restored.Entries = append(slices.Clone(d.restored.Entries[:keep]), e)
	}
}

// simBox is a simulated control box.
type simBox struct {
	name          string
	disk          *simDisk
	state         *State // nil while it is stopped
	tree          *hashtree.Tree
	wantsToJoin   bool        // it requests to join while it is not a voter or has no contact with a leader
	formatVersion level.Level // 0 means level.Newest
	// instance identifies the running process; peerInstances has the instances of other boxes that have
	// connected to it.
	instance      uint64
	peerInstances map[string]uint64
	// isDiskStalled keeps the disk from saving anything; unsaved holds what waits for it.
	isDiskStalled bool
	unsaved       []consensus.Ready
	// decoding is a document that is decoded outside the event loop; it is done at decodedAt.
	decoding  DocumentDecoded
	decodedAt event.Time
	// busyUntil is when the box is done with the events it has received; it takes no others before.
	busyUntil event.Time
}

// sim runs control boxes in simulated time.
type sim struct {
	t          testing.TB
	now        event.Time
	boxes      map[string]*simBox
	order      []string
	messages   []consensus.Message
	isCut      func(from, to string) bool
	answers    map[CallID]Answer
	sends      map[SessionID][]*message.Envelope
	closed     map[SessionID]bool
	lastCall   CallID
	random     *rand.Rand
	emptyBoxes int
	instances  uint64 // processes of boxes started so far
	settings   func(seed uint64) Settings
	// compactThreshold replaces that of the boxes' states unless it is 0.
	compactThreshold int
	// cpuTimeScale converts the CPU time of an event on a control box to simulated time; 0 lets events take
	// no time.
	cpuTimeScale float64
}

var simAdmissionLimits = admission.Limits{QuotaWindow: 8 * event.Second, RetryWindow: 10 * event.Second, RetryRatio: 0.2, RetryMin: 20}

func simSettings(seed uint64) Settings {
	return Settings{
		Limits:            simAdmissionLimits,
		MembershipLimits:  consensus.MembershipLimits{MaxVoters: 5, ReplaceAfter: 1800 * event.Millisecond},
		HeartbeatInterval: event.Second,
		ConfigValidity:    5 * event.Second,
		Seed:              seed,
		Decode: func(data []byte) (*routing.Table, error) {
			t := &routing.Table{
				Services: []routing.Service{{Name: "s"}},
				Teams:    []routing.Team{{Name: "t", Rate: simQuota / 10, Burst: simQuota / 5}},
			}
			t.Index()
			return t, nil
		},
	}
}

// newSim starts a group of initial members, and boxes with empty disks that join it.
func newSim(t testing.TB, initialMembers, joining int) *sim {
	s := &sim{
		t: t, boxes: make(map[string]*simBox), answers: make(map[CallID]Answer), closed: make(map[SessionID]bool),
		sends: make(map[SessionID][]*message.Envelope), random: rand.New(rand.NewPCG(1, 2)),
		isCut: func(string, string) bool { return false }, settings: simSettings,
	}
	var members []consensus.Member
	for i := range initialMembers {
		name := fmt.Sprintf("box%d", i+1)
		members = append(members, consensus.Member{ID: consensus.MakeID(event.BoxID(name), initialIncarnation), Address: name + ":operators"})
	}
	for _, m := range members {
		disk := &simDisk{member: m, restored: consensus.PersistentState{Snapshot: consensus.Snapshot{
			Index: 1, Members: consensus.Membership{Voters: members}, Data: bootstrapState(),
		}}}
		s.add(string(m.ID.Box()), disk)
	}
	for i := range joining {
		s.addEmpty(fmt.Sprintf("box%d", initialMembers+i+1))
	}
	return s
}

func (s *sim) add(name string, disk *simDisk) {
	b := &simBox{name: name, disk: disk, wantsToJoin: true}
	s.boxes[name] = b
	if !slices.Contains(s.order, name) {
		s.order = append(s.order, name)
	}
	s.start(b)
}

// addEmpty starts a box with an empty disk.
func (s *sim) addEmpty(name string) {
	s.emptyBoxes++
	s.add(name, newEmptyDisk(name, s.emptyBoxes))
}

// newEmptyDisk returns an empty disk of a box; number differs from that of every other empty disk.
func newEmptyDisk(name string, number int) *simDisk {
	return &simDisk{member: consensus.Member{
		ID: consensus.MakeID(event.BoxID(name), event.Incarnation(100+number)), Address: name + ":operators",
	}}
}

// start starts a box from the content of its disk.
func (s *sim) start(b *simBox) {
	settings := s.settings(s.random.Uint64())
	settings.FormatVersion = b.formatVersion
	state, err := NewState(s.now, b.disk.member.ID, b.disk.restored, settings)
	if err != nil {
		s.t.Fatal(err)
	}
	if s.compactThreshold > 0 {
		state.compactThreshold = s.compactThreshold
	}
	b.state = state
	s.instances++
	b.instance = s.instances
	b.peerInstances = make(map[string]uint64)
}

func (s *sim) stop(name string) {
	for _, other := range s.order {
		b := s.boxes[other]
		if last := b.peerInstances[name]; last > 0 {
			delete(b.peerInstances, name)
			s.step(b, &PeerDisconnected{Box: event.BoxID(name), Connection: last})
		}
	}
	s.boxes[name].state = nil
	s.boxes[name].unsaved = nil
	s.boxes[name].decoding = DocumentDecoded{}
}

func (s *sim) restart(name string) { s.start(s.boxes[name]) }

// step applies an event to a box and applies the effects.
func (s *sim) step(b *simBox, e Event) {
	if b.state == nil {
		return
	}
	var out Effects
	work := s.cpuTimeOf(func() { b.state.Step(s.now, e, &out) })
	if out.Fatal != nil {
		s.t.Fatalf("%s, which supports format version %d, stops: %v", b.name, b.formatVersion, out.Fatal)
	}
	b.busyUntil = max(b.busyUntil, s.now).Add(work)
	s.messages = append(s.messages, out.Ready.Immediate...)
	b.unsaved = append(b.unsaved, out.Ready)
	for _, a := range out.Answers {
		s.answers[a.CallID] = a
	}
	if to := s.boxes[string(out.Leader.Box())]; len(out.Heartbeats) > 0 && to != nil && !s.isCut(b.name, to.name) {
		defer s.step(to, &HeartbeatsForwarded{IDs: out.Heartbeats})
	}
	for _, one := range out.Sends {
		s.sends[one.Session] = append(s.sends[one.Session], one.Message)
	}
	for _, id := range out.Closes {
		s.closed[id] = true
	}
	s.decode(b, out.Decode)
	s.saveAll(b)
}

// cpuTimeOf runs a function and returns the simulated time that it takes.
func (s *sim) cpuTimeOf(do func()) event.Duration {
	if s.cpuTimeScale == 0 {
		do()
		return 0
	}
	return event.Duration(s.cpuTimeScale * float64(cputime.Of(do)))
}

// decode decodes a document outside the event loop, as a Server's decoder does.
func (s *sim) decode(b *simBox, d Document) {
	if d.Version == 0 {
		return
	}
	b.decoding = DocumentDecoded{Version: d.Version}
	work := s.cpuTimeOf(func() {
		if b.decoding.Table, b.decoding.Err = s.settings(0).Decode(d.Data); b.decoding.Err == nil {
			b.tree = hashtree.Build(b.decoding.Table, b.tree)
			b.decoding.Tree = b.tree
		}
	})
	b.decodedAt = max(b.decodedAt, s.now).Add(work)
	s.finishDecoding(b)
}

// finishDecoding sends a box the decoded document once its decoding time has passed.
func (s *sim) finishDecoding(b *simBox) {
	if b.state == nil || b.decoding.Version == 0 || b.decodedAt > s.now {
		return
	}
	e := b.decoding
	b.decoding = DocumentDecoded{}
	s.step(b, &e)
}

func (s *sim) saveAll(b *simBox) {
	if b.isDiskStalled {
		return
	}
	for len(b.unsaved) > 0 {
		r := b.unsaved[0]
		b.unsaved = b.unsaved[1:]
		b.disk.save(&r)
		s.messages = append(s.messages, r.Messages...)
		if n := len(r.Entries); n > 0 {
			s.step(b, &LogSaved{Index: r.Entries[n-1].Index, Term: r.Entries[n-1].Term})
		} else if r.Snapshot != nil {
			s.step(b, &LogSaved{Index: r.Snapshot.Index, Term: r.Snapshot.Term})
		}
	}
}

// run advances simulated time.
func (s *sim) run(span event.Duration) {
	for end := s.now.Add(span); s.now < end; {
		s.now = s.now.Add(simStep)
		sent := s.messages
		s.messages = nil
		for _, m := range sent {
			to := s.boxes[string(m.To.Box())]
			if to == nil || to.disk.member.ID != m.To || s.isCut(string(m.From.Box()), to.name) {
				continue
			}
			if s.isBusy(to) {
				s.messages = append(s.messages, m)
				continue
			}
			from := s.boxes[string(m.From.Box())]
			s.connectPeer(from, to)
			s.step(to, &MessageReceived{Message: inSenderFormat(from, m)})
		}
		for _, name := range s.order {
			b := s.boxes[name]
			if s.isBusy(b) {
				continue
			}
			s.finishDecoding(b)
			s.step(b, &Tick{})
			if b.state != nil && b.wantsToJoin {
				s.join(b)
			}
		}
	}
}

// connectPeer reports a peer's format version to a box when the peer's connection opens. Builds before
// level.Negotiated ignore such reports; those before level.Chunked send the same encoding to all peers.
func (s *sim) connectPeer(from, to *simBox) {
	formatVersion := cmp.Or(from.formatVersion, level.Newest)
	switch {
	case to.state == nil || to.peerInstances[from.name] == from.instance || (to.formatVersion >= level.Chunked && to.formatVersion < level.Negotiated):
		return
	case to.formatVersion > 0 && to.formatVersion < level.Chunked:
		formatVersion = to.formatVersion
	}
	to.peerInstances[from.name] = from.instance
	s.step(to, &PeerConnected{Box: event.BoxID(from.name), Connection: from.instance, FormatVersion: formatVersion})
}

// inSenderFormat returns a message as a build of the sender's format version sends it.
func inSenderFormat(from *simBox, m consensus.Message) consensus.Message {
	if from.formatVersion > 0 && from.formatVersion < level.Chunked {
		m.Seq, m.Offset, m.Size, m.Sum = 0, 0, 0, 0
	}
	return m
}

// isBusy reports whether a box is still working on earlier events.
func (s *sim) isBusy(b *simBox) bool { return s.cpuTimeScale > 0 && b.busyUntil > s.now.Add(simStep) }

// join sends join requests, as Server.maintainMembership does.
func (s *sim) join(b *simBox) {
	node := b.state.Node()
	isLeaderless := s.now.Sub(node.LastLeaderContact()) > leaderTimeout && node.Leader() != node.ID()
	if int64(s.now)%int64(300*event.Millisecond) != 0 || (node.IsVoter() && !isLeaderless) {
		return
	}
	for _, name := range s.order {
		if name != b.name && !s.isCut(b.name, name) {
			s.step(s.boxes[name], &JoinRequested{Member: b.disk.member})
		}
	}
}

// owner returns the box that owns the pools; nil if none does.
func (s *sim) owner() *simBox {
	var found *simBox
	for _, name := range s.order {
		b := s.boxes[name]
		if b.state == nil || !b.state.owns(s.now) {
			continue
		}
		if found != nil {
			s.t.Fatalf("%s and %s both own the pools at %v", found.name, name, event.Duration(s.now))
		}
		found = b
	}
	return found
}

func (s *sim) mustOwner() *simBox {
	s.t.Helper()
	b := s.owner()
	if b == nil {
		s.t.Fatalf("no box owns the pools at %v", event.Duration(s.now))
	}
	return b
}

// put submits a configuration to a box and returns the id of the call.
func (s *sim) put(b *simBox, version uint64) CallID {
	s.lastCall++
	s.step(b, &DocumentSubmitted{CallID: s.lastCall, Document: Document{Version: version, Data: fmt.Appendf(nil, "v%d", version)}})
	return s.lastCall
}

// heartbeat sends a box a heartbeat of an endpoint and returns the id of the call.
func (s *sim) heartbeat(b *simBox, e registry.Endpoint) CallID {
	s.lastCall++
	s.step(b, &HeartbeatReceived{CallID: s.lastCall, Endpoint: e})
	return s.lastCall
}

// read requests the configuration from a box.
func (s *sim) read(b *simBox) Answer {
	s.lastCall++
	s.step(b, &DocumentRequested{CallID: s.lastCall})
	return s.answers[s.lastCall]
}

func (s *sim) voters() []string {
	var names []string
	for _, v := range s.mustOwner().state.Node().Members().Voters {
		names = append(names, string(v.ID))
	}
	slices.Sort(names)
	return names
}

// ping sends the owner a ping of an entry and returns the budget leases in the pong.
func (s *sim) ping(session SessionID, p message.Ping) budget.LeaseUpdate {
	s.step(s.mustOwner(), &PingReceived{Session: session, Ping: p})
	sent := s.sends[session]
	return sent[len(sent)-1].Pong.Lent
}
