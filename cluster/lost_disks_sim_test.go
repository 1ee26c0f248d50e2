// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/poison"
)

const (
	lostDisksSeeds = 200
	// lostDisks is how many disks are lost at once; there are 2*lostDisks+1 voters.
	lostDisks = 2
	// diskToggle is the probability in a step that a disk stalls or goes on.
	diskToggle = 0.2
	// ackLimit is the time within which a change is acknowledged beside stalls of disks.
	ackLimit = 10 * event.Second
)

// lostDisksSim is a deployment of 5 voters and 2 boxes that are none, where power is lost on all right after an
// acknowledgement and some disks are lost with it. Their disks stall at random, so that they have saved different parts of the
// log, and lose what they have not saved.
type lostDisksSim struct {
	*sim
	session SessionID // of an entry at the owner
	owner   *simBox   // of that session
	version uint64    // of the acknowledged configuration
	isCrash bool      // a crash of an endpoint was acknowledged twice
	isOrder bool      // an order was acknowledged
}

// advance runs a step with disks that stall and go on at random, lostDisks of them at most.
func (s *lostDisksSim) advance() {
	stalled := 0
	for _, name := range s.order {
		b := s.boxes[name]
		if s.random.Float64() < diskToggle {
			b.isDiskStalled = !b.isDiskStalled
		}
		if b.isDiskStalled {
			stalled++
		}
		if stalled > lostDisks {
			b.isDiskStalled = false
		}
		s.saveAll(b)
	}
	s.run(simStep)
}

// await calls done after each step until it returns true. It fails the test after ackLimit.
func (s *lostDisksSim) await(what string, done func(owner *simBox) bool) {
	s.t.Helper()
	for end := s.now.Add(ackLimit); s.now < end; {
		if b := s.sim.owner(); b != nil && done(b) {
			return
		}
		s.advance()
	}
	s.t.Fatalf("%s is not acknowledged within %v", what, ackLimit)
}

// change has a configuration, an order or crashes acknowledged.
func (s *lostDisksSim) change(kind int) {
	var call CallID
	var to *simBox
	submit := func(send func(b *simBox) CallID) func(*simBox) bool {
		return func(b *simBox) bool {
			if b != to {
				to, call = b, send(b)
			}
			return s.answers[call].Status == StatusDone
		}
	}
	switch kind {
	case 0:
		s.await("a configuration", submit(func(b *simBox) CallID { return s.put(b, s.version+1) }))
		s.version++
	case 1:
		s.await("an order", submit(func(b *simBox) CallID { return s.submitOrder(b, simOrder) }))
		s.isOrder = true
	case 2:
		s.await("a crash", s.reportCrashes)
		s.isCrash = true
	}
}

// reportCrashes reports crashes to the owner as an entry does and returns whether they are acknowledged.
func (s *lostDisksSim) reportCrashes(b *simBox) bool {
	if b != s.owner {
		s.owner = b
		s.session++
		s.step(b, &SessionOpened{FormatVersion: level.Newest, Session: s.session, Hello: message.Hello{Entry: "entry", Life: 1}})
		s.step(b, &BatchReceived{Session: s.session, Batch: &message.Batch{Ends: []poison.Termination{
			{Number: 1, Print: "p", Endpoint: "e1"}, {Number: 2, Print: "p", Endpoint: "e2"},
		}}})
	}
	s.step(b, &PingReceived{Session: s.session, Ping: message.Ping{Sent: s.now}})
	for _, m := range s.sends[s.session] {
		if m.Pong != nil && m.Pong.Ends == 2 {
			return true
		}
	}
	return false
}

// losePower stops all boxes; those with the given positions lose their disks, the others what they have not saved. It returns
// the names of the boxes that start empty.
func (s *lostDisksSim) losePower(lost map[int]bool) (empty []string) {
	for _, name := range s.order {
		s.stop(name)
		s.boxes[name].isDiskStalled = false
	}
	s.messages, s.owner = nil, nil
	for i, name := range s.order {
		if lost[i] {
			empty = append(empty, name)
			s.addEmpty(name)
			s.stop(name)
		}
	}
	return empty
}

// check checks that nothing that was acknowledged is lost.
func (s *lostDisksSim) check(what string) {
	s.t.Helper()
	b := s.mustOwner()
	if got := s.read(b).Document.Version; got != s.version {
		s.t.Errorf("%s: configuration %d, acknowledged is %d", what, got, s.version)
	}
	if _, ok := b.state.machine.rollouts.Get("s"); ok != s.isOrder {
		s.t.Errorf("%s: an order is there: %t, want %t", what, ok, s.isOrder)
	}
	if s.isCrash {
		if v, _ := b.state.owner.poison.Check(s.now, &poison.Call{Fingerprint: "p", Request: "1", Remaining: event.Second}); v == poison.Allow {
			s.t.Errorf("%s: a request that crashed two endpoints is allowed", what)
		}
	}
	if got := len(s.voters()); got != 2*lostDisks+1 {
		s.t.Errorf("%s: %d voters, want %d", what, got, 2*lostDisks+1)
	}
}

// TestLostDisksWhileAllLosePower guards against acknowledgements that rest on fewer synced disks than may be lost, and against
// empty boxes that elect a leader which doesn't know what was acknowledged.
func TestLostDisksWhileAllLosePower(t *testing.T) {
	for seed := range lostDisksSeeds * seedFactor(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &lostDisksSim{sim: newRolloutSim(t, 3)}
			s.random = rand.New(rand.NewPCG(seed, 3))
			s.version = 1
			for i := range 4 {
				s.addEmpty(fmt.Sprintf("box%d", 4+i))
			}
			s.run(4 * event.Second)
			for _, kind := range s.random.Perm(3) {
				s.change(kind)
				voters := make(map[string]bool)
				if b := s.sim.owner(); b != nil {
					for _, v := range b.state.Node().Members().Voters {
						voters[string(v.ID.Box())] = true
					}
				}
				lost := make(map[int]bool)
				for _, i := range s.random.Perm(len(s.order)) {
					if len(lost) < lostDisks && voters[s.order[i]] {
						lost[i] = true
					}
				}
				empty := s.losePower(lost)
				s.startMinority(empty, voters)
				for _, name := range s.order {
					if s.boxes[name].state == nil {
						s.restart(name)
					}
				}
				s.run(10 * event.Second)
				s.check(fmt.Sprintf("change %d, disks of %v lost", kind, empty))
			}
		})
	}
}

// startMinority starts the empty boxes and a minority of the voters that have their disks, and checks that they elect no leader.
func (s *lostDisksSim) startMinority(empty []string, voters map[string]bool) {
	s.t.Helper()
	for _, name := range empty {
		s.restart(name)
	}
	started := 0
	for _, name := range s.order {
		if s.boxes[name].state == nil && voters[name] && started < lostDisks {
			s.restart(name)
			started++
		}
	}
	for range 30 {
		s.run(100 * event.Millisecond)
		if b := s.sim.owner(); b != nil {
			s.t.Fatalf("%s leads with %d of %d voters and the empty boxes %v", b.name, started, 2*lostDisks+1, empty)
		}
	}
}
