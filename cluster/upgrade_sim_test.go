// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
	"lynxramp.org/rollout"
)

// upgradeSim is a group whose boxes are replaced one after the other by a later build, with random faults.
type upgradeSim struct {
	*sim
	from      level.Level
	states    map[uint64]string // state of the members by the index of the last applied entry
	applied   map[*State]uint64 // index of the last entry that check has seen
	submitted map[CallID]uint64 // versions by call
	stopped   *simBox
	isolated  string
	sequence  uint64
	session   SessionID
	number    uint64
	commands  map[byte]int // applied, by kind
}

func newUpgradeSim(t *testing.T, from level.Level, boxes int, seed uint64) *upgradeSim {
	u := &upgradeSim{
		sim: newSim(t, boxes, 0), from: from, states: make(map[uint64]string), applied: make(map[*State]uint64),
		submitted: make(map[CallID]uint64), commands: make(map[byte]int),
	}
	u.random = rand.New(rand.NewPCG(seed, 5))
	u.settings = simRolloutSettings
	u.compactThreshold = 1
	for _, name := range u.order {
		b := u.boxes[name]
		u.stop(name)
		b.formatVersion = from
		b.disk.restored.Snapshot.Data = nil // as in a group bootstrapped by a build before level.Negotiated
		u.restart(name)
	}
	u.isCut = func(one, other string) bool { return one == u.isolated || other == u.isolated }
	return u
}

// randomAction runs a random change or fault and advances time.
func (u *upgradeSim) randomAction() {
	owner := u.owner()
	switch n := u.random.IntN(100); {
	case n < 12 && owner != nil:
		callID := u.put(owner, uint64(len(u.submitted)+1))
		u.submitted[callID] = uint64(len(u.submitted) + 1)
	case n < 40 && owner != nil:
		u.sequence++
		u.heartbeat(owner, registry.Endpoint{
			ID: fmt.Sprint("e", u.random.IntN(9)), Service: "s", Address: fmt.Sprint("a", u.random.IntN(9)), Slots: int(u.sequence), Sequence: u.sequence,
			Born: u.random.Uint64N(4), Version: fmt.Sprint("v", u.random.IntN(3)),
		})
	case n < 45 && owner != nil:
		u.lastCall++
		u.step(owner, &EndpointRemoved{CallID: u.lastCall, Name: fmt.Sprint("e", u.random.IntN(9)), Born: u.random.Uint64N(3)})
	case n < 50 && owner != nil:
		u.submitOrder(owner, rollout.Order{Service: "s", Version: fmt.Sprint("v", u.random.IntN(3)), Duration: event.Second * event.Duration(1+u.random.IntN(20))})
	case n < 60 && owner != nil:
		u.reportCrash(owner)
	case n < 70 && u.stopped == nil:
		u.stopped = u.boxes[u.order[u.random.IntN(len(u.order))]]
		u.stop(u.stopped.name)
	case n < 85 && u.stopped != nil:
		u.restart(u.stopped.name)
		u.stopped = nil
	case n < 89 && u.stopped == nil:
		u.isolated = u.order[u.random.IntN(len(u.order))]
	case n < 97:
		u.isolated = ""
	}
	for range 1 + u.random.IntN(20) {
		u.run(simStep)
		u.check()
	}
}

// reportCrash has an entry report that an endpoint crashed while it ran a request.
func (u *upgradeSim) reportCrash(owner *simBox) {
	u.session++
	u.number++
	u.step(owner, &SessionOpened{Session: u.session, Hello: message.Hello{Entry: "entry", Life: 1}, FormatVersion: level.Newest})
	u.step(owner, &BatchReceived{Session: u.session, Batch: &message.Batch{Ends: []poison.Termination{{
		Number: u.number, Print: poison.Fingerprint(fmt.Sprintf("%016x", u.random.IntN(5))),
		Endpoint: event.EndpointID(fmt.Sprint("e", u.random.IntN(99))), Request: event.RequestID(fmt.Sprint(u.number)),
	}}}})
}

// check fails the test if two members that have applied the same entries have different states.
func (u *upgradeSim) check() {
	for _, name := range u.order {
		b := u.boxes[name]
		if b.state == nil {
			continue
		}
		index := uint64(b.state.node.Applied())
		if u.applied[b.state] == index {
			continue
		}
		u.applied[b.state] = index
		got := b.state.machine.contents(u.t.(*testing.T))
		if other, ok := u.states[index]; ok && other != got {
			u.t.Fatalf("%s differs from the others at entry %d:\n%s\nothers:\n%s", name, index, got, other)
		}
		u.states[index] = got
	}
}

// replace stops a box gracefully and restarts it with another build.
func (u *upgradeSim) replace(name string, to level.Level) {
	b := u.boxes[name]
	if b.state != nil {
		u.step(b, &StopRequested{})
		u.run(200 * event.Millisecond)
		u.stop(name)
	}
	if u.stopped == b {
		u.stopped = nil
	}
	b.formatVersion = to
	u.run(simStep * event.Duration(u.random.IntN(100)))
	u.restart(name)
}

// mustConverge ends all faults, and checks that no acknowledged configuration is lost, that all members
// have applied the same entries and that the group's format version is the wanted one.
func (u *upgradeSim) mustConverge(want level.Level) {
	u.isolated = ""
	if u.stopped != nil {
		u.restart(u.stopped.name)
		u.stopped = nil
	}
	for range 1800 { // an owner waits 13 s for entries that may still connect
		u.run(simStep)
		u.check()
	}
	acknowledged := uint64(0)
	for callID, version := range u.submitted {
		if u.answers[callID].Status == StatusDone {
			acknowledged = max(acknowledged, version)
		}
	}
	owner := u.mustOwner()
	if got := owner.state.Document().Version; got < acknowledged {
		u.t.Fatalf("version %d is in force, %d was acknowledged", got, acknowledged)
	}
	for _, name := range u.order {
		state := u.boxes[name].state
		if got, all := state.node.Applied(), owner.state.node.Applied(); got != all {
			u.t.Fatalf("%s has applied %d entries, the owner %d", name, got, all)
		}
		if want >= level.Negotiated && state.machine.formatVersion != want {
			u.t.Fatalf("%s: the group has format version %d, want %d", name, state.machine.formatVersion, want)
		}
		if want < level.Negotiated && state.machine.formatVersion > want {
			u.t.Fatalf("%s: the log has format version %d while a member supports %d", name, state.machine.formatVersion, want)
		}
	}
}

// TestRollingUpgrade replaces the boxes of a group by a later build, in any order, with random faults,
// snapshots and changes. A build must not fail on the data of an earlier one, and no member may skip
// commands that others apply.
func TestRollingUpgrade(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		from := rapid.SampledFrom([]level.Level{level.Listed, level.Compressed, level.Chunked, level.Suspects, level.Negotiated, level.Feedback, level.Rollouts, level.Versions}).Draw(rt, "from")
		u := newUpgradeSim(t, from, rapid.SampledFrom([]int{3, 5}).Draw(rt, "boxes"), rapid.Uint64().Draw(rt, "seed"))
		defer func() {
			if t.Failed() {
				t.Logf("from format version %d, %d boxes", from, len(u.order))
			}
		}()
		u.run(2 * event.Second)
		order := rapid.Permutation(u.order).Draw(rt, "order")
		// wiped is the index of the box that loses its disk, negative for none; at stopsAt the upgrade stops.
		wiped := rapid.IntRange(-len(order), len(order)-1).Draw(rt, "wiped")
		stopsAt := rapid.IntRange(0, len(order)).Draw(rt, "stops")
		for i, name := range order {
			for range rapid.IntRange(1, 15).Draw(rt, "steps") {
				u.randomAction()
			}
			if i == stopsAt {
				break
			}
			u.replace(name, level.Newest)
			if i == wiped && u.stopped == nil {
				u.stop(name)
				u.addEmpty(name)
			}
		}
		for range 10 {
			u.randomAction()
		}
		if stopsAt < len(order) {
			u.mustConverge(from)
			return
		}
		u.mustConverge(level.Newest)
	})
}

// TestRollback: as long as not all boxes have the new build, it can be replaced by the previous one on the
// same folders.
func TestRollback(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		from := rapid.SampledFrom([]level.Level{level.Listed, level.Compressed, level.Chunked, level.Suspects, level.Negotiated, level.Feedback, level.Rollouts, level.Versions}).Draw(rt, "from")
		u := newUpgradeSim(t, from, 3, rapid.Uint64().Draw(rt, "seed"))
		u.run(2 * event.Second)
		for _, to := range []level.Level{level.Newest, from} {
			for _, name := range u.order[:2] {
				for range rapid.IntRange(1, 10).Draw(rt, "steps") {
					u.randomAction()
				}
				u.replace(name, to)
			}
		}
		for range 5 {
			u.randomAction()
		}
		u.mustConverge(from)
	})
}

// TestMemberBelowGroupVersionGetsNothing: a box with a build below the group's format version must receive
// no log entries, and must not join with an empty disk: it would skip commands that it does not know.
func TestMemberBelowGroupVersionGetsNothing(t *testing.T) {
	s := newSim(t, 3, 0)
	s.run(2 * event.Second)
	if got := s.mustOwner().state.machine.formatVersion; got != level.Newest {
		t.Fatalf("a new group has format version %d", got)
	}
	var rolledBack *simBox
	for _, name := range s.order {
		if b := s.boxes[name]; b != s.mustOwner() {
			rolledBack = b
		}
	}
	s.stop(rolledBack.name)
	before := simDisk{member: rolledBack.disk.member, restored: rolledBack.disk.restored}
	rolledBack.formatVersion = level.Suspects
	if _, err := NewState(s.now, rolledBack.disk.member.ID, rolledBack.disk.restored, Settings{FormatVersion: level.Suspects}); !level.IsUnsupported(err) {
		t.Errorf("opening the folder of a later build: error %v, want an UnsupportedError", err)
	}
	rolledBack.disk.restored.Snapshot.Data = nil // a build before level.Negotiated does not check it
	s.restart(rolledBack.name)
	callID := s.put(s.mustOwner(), 5)
	s.run(2 * event.Second)
	if s.answers[callID].Status != StatusDone {
		t.Error("a change was not acknowledged while one box of three has an earlier build")
	}
	if got := rolledBack.state.Document().Version; got != 0 {
		t.Errorf("the box of an earlier build has version %d", got)
	}
	s.stop(rolledBack.name)
	s.addEmpty(rolledBack.name)
	s.boxes[rolledBack.name].formatVersion = level.Suspects
	s.stop(rolledBack.name)
	s.restart(rolledBack.name)
	s.run(3 * event.Second)
	if got := s.mustOwner().state.node.Members(); len(got.Voters) != 3 || got.Has(s.boxes[rolledBack.name].disk.member.ID) {
		t.Errorf("members are %+v, want the previous ones", got)
	}
	s.stop(rolledBack.name)
	s.boxes[rolledBack.name].formatVersion = 0
	s.boxes[rolledBack.name].disk = &before
	s.restart(rolledBack.name)
	s.run(3 * event.Second)
	if got := s.boxes[rolledBack.name].state.Document().Version; got != 5 {
		t.Errorf("with the later build again, the box has version %d, want 5", got)
	}
}

// TestRollingRestartTransfersLeadershipTwiceAtMost: leadership must be transferred to a box that was
// already restarted, or it would be transferred at each restart.
func TestRollingRestartTransfersLeadershipTwiceAtMost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(t, rapid.SampledFrom([]int{3, 5}).Draw(rt, "boxes"), 0)
		s.run(2 * event.Second)
		order := rapid.Permutation(s.order).Draw(rt, "order")
		leader, transfers := s.mustOwner().name, 0
		for _, name := range order {
			s.step(s.boxes[name], &StopRequested{})
			s.run(600 * event.Millisecond)
			s.stop(name)
			s.run(event.Duration(rapid.IntRange(1, 100).Draw(rt, "off")) * simStep)
			s.restart(name)
			s.run(event.Duration(rapid.IntRange(50, 300).Draw(rt, "gap")) * simStep)
			if now := s.mustOwner().name; now != leader {
				leader = now
				transfers++
			}
		}
		if transfers > 2 {
			rt.Fatalf("leadership was transferred %d times while %v were restarted in this order", transfers, order)
		}
	})
}
