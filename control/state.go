// SPDX-License-Identifier: MIT

package control

import (
	"lynxramp.org/catalog"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/machine"
	"lynxramp.org/sched"
)

// compactEvery is how many entries are applied between snapshots.
const compactEvery = 4096

// boxSeen is what is known of an entry box.
type boxSeen struct {
	version uint64
	at      event.Time
}

// State is the root reducer of a control box. It is not safe for concurrent
// use.
type State struct {
	seed    uint64
	node    *consensus.Node
	machine machine.State
	first   catalog.Catalog // proposed while there is none
	wall    int64           // milliseconds since 1970, about

	// Of the owner: all pools are the leader's, its term is their epoch.
	epoch    event.Epoch
	pools    map[string]*sched.State
	names    []string // of the pools, in order
	seen     map[event.BoxID]boxSeen
	keys     keyTable
	waiting  map[string][]uint64 // tokens by command id
	compact  consensus.Index
	proposed bool // the first catalog
	version  uint64
	listed   *event.DrainListUpdated // the last one, for pools that begin later
}

// NewState returns the state of a member of the group. first is the catalog that
// a group without one begins with.
func NewState(now event.Time, id consensus.ID, r consensus.PersistentState, first catalog.Catalog, seed uint64) (*State, error) {
	s := &State{
		seed:    seed,
		node:    consensus.New(now, id, r, seed),
		first:   first,
		waiting: make(map[string][]uint64),
		compact: r.Snapshot.Index,
	}
	return s, s.machine.Restore(r.Snapshot.Data)
}

// Step takes one event and adds to out what follows from it.
func (s *State) Step(now event.Time, e event.Event, out *Effects) {
	switch e := e.(type) {
	case *event.Tick:
		s.node.Tick(now, &out.Ready)
	case *MessageReceived:
		s.node.Step(now, e.Message, &out.Ready)
	case *LogSaved:
		s.node.Saved(now, e.Index, e.Term, &out.Ready)
	case *WallClock:
		s.wall = e.Millis
	case *JoinAsked:
		done, err := s.node.Join(now, e.Member, &out.Ready)
		out.Answers = append(out.Answers, Answer{Token: e.Token, Leads: err == nil, Done: done})
	case *ChangeAsked:
		s.ask(now, e, out)
	case *event.DrainListUpdated:
		s.listed = e
		if s.leavesAlone(e.Draining) {
			s.node.TransferLeadership(now, nil, &out.Ready)
		}
	case *StopAsked:
		s.node.TransferLeadership(now, nil, &out.Ready)
	}
	s.settle(now, out)
	if s.owns(now) {
		s.stepPools(now, e, out)
		s.settle(now, out)
	}
	out.Epoch = s.epoch
}

// Status returns what callers need to know.
func (s *State) Status(now event.Time) Status {
	_, version := s.machine.Catalog()
	return Status{Owner: s.owns(now), Epoch: s.epoch, Leader: s.leaderAddress(), Version: version}
}

// Node returns the box's part in the replicated log.
func (s *State) Node() *consensus.Node { return s.node }

// Machine returns the replicated state as far as it is applied here.
func (s *State) Machine() *machine.State { return &s.machine }

func (s *State) leaderAddress() string { return s.address(s.node.Leader()) }

func (s *State) selfAddress() string { return s.address(s.node.ID()) }

// leavesAlone reports whether this box is leaving and another voter is not.
func (s *State) leavesAlone(leaving map[string]bool) bool {
	if !leaving[event.Host(s.selfAddress())] {
		return false
	}
	for _, v := range s.node.Members().Voters {
		if !leaving[event.Host(v.Address)] {
			return true
		}
	}
	return false
}

// address returns where a voter is reached; empty if it is none.
func (s *State) address(id consensus.ID) string {
	for _, v := range s.node.Members().Voters {
		if v.ID == id {
			return v.Address
		}
	}
	return ""
}

// owns reports whether this box owns the pools: no other can.
func (s *State) owns(now event.Time) bool {
	return s.epoch != 0 && s.node.HasLease(now) && event.Epoch(s.node.Term()) == s.epoch
}

// settle applies what was committed and takes up or lays down the ownership.
func (s *State) settle(now event.Time, out *Effects) {
	if snap := out.Ready.Snapshot; snap != nil && snap.Index > s.compact {
		s.compact = snap.Index
		// A snapshot of ours is what is applied here; one of the leader's is news.
		if err := s.machine.Restore(snap.Data); err != nil {
			panic(err) // it was checked when it was taken
		}
	}
	for len(out.Ready.Committed) > 0 {
		committed := out.Ready.Committed
		out.Ready.Committed = nil
		for _, entry := range committed {
			s.apply(now, entry, out)
		}
	}
	s.takeOwnership(now, out)
	if applied := s.node.Applied(); applied >= s.compact+compactEvery {
		s.compact = applied
		s.node.Compact(applied, s.machine.Snapshot(), &out.Ready)
	}
}

func (s *State) apply(now event.Time, entry consensus.Entry, out *Effects) {
	if entry.Kind != consensus.EntryCommand {
		return
	}
	if err := s.machine.Apply(entry.Data); err != nil {
		// A command that no version of this program can read does nothing,
		// on every box alike.
		return
	}
	s.answerChanges(out)
	if s.owns(now) {
		s.changePools(now, out)
		s.settleClaims(now, out)
	}
}

// takeOwnership begins a new epoch when this box has come to lead, and ends one
// that is over.
func (s *State) takeOwnership(now event.Time, out *Effects) {
	leads := s.node.IsLeader()
	if s.epoch != 0 && (!leads || event.Epoch(s.node.Term()) != s.epoch) {
		s.endEpoch(out)
	}
	if s.epoch != 0 || !leads || !s.node.HasLease(now) {
		return
	}
	s.epoch = event.Epoch(s.node.Term())
	s.pools = make(map[string]*sched.State)
	s.names = nil
	s.seen = make(map[event.BoxID]boxSeen)
	s.keys = newKeyTable()
	s.version = 0
	s.proposed = false
	out.NewEpoch = true
	s.changePools(now, out)
	if s.listed != nil {
		s.stepAll(now, s.listed, out)
	}
	s.proposeFirst(now, out)
}

// endEpoch forgets all that an owner knows. Entries and slots tell the next one.
func (s *State) endEpoch(out *Effects) {
	s.epoch = 0
	s.pools = nil
	s.names = nil
	for id, tokens := range s.waiting {
		for _, t := range tokens {
			out.Answers = append(out.Answers, Answer{Token: t})
		}
		delete(s.waiting, id)
	}
}

// firstCatalog is the id of the command that brings a group's first catalog.
const firstCatalog = "first-catalog"

// proposeFirst proposes the settings' catalog to a group that has none.
func (s *State) proposeFirst(now event.Time, out *Effects) {
	if _, version := s.machine.Catalog(); version > 0 || s.proposed {
		return
	}
	s.proposed = true
	change := machine.CatalogChange{
		ID: firstCatalog, Operator: "settings", Changes: []catalog.Change{{Whole: &s.first}},
	}
	// A lease lost in this instant leaves it to the next leader.
	_, _ = s.node.Propose(now, machine.Command{Time: s.wall, Catalog: &change}.Encode(), &out.Ready)
}

// ask proposes an operator's command, or gives the result that is known.
func (s *State) ask(now event.Time, e *ChangeAsked, out *Effects) {
	if !s.owns(now) {
		out.Answers = append(out.Answers, Answer{Token: e.Token})
		return
	}
	if r, ok := s.machine.Result(e.Change.ID); ok {
		out.Answers = append(out.Answers, Answer{Token: e.Token, Leads: true, Result: r, Again: true})
		return
	}
	first := len(s.waiting[e.Change.ID]) == 0
	s.waiting[e.Change.ID] = append(s.waiting[e.Change.ID], e.Token)
	if !first {
		return
	}
	command := machine.Command{Time: e.Wall, Catalog: &e.Change}
	if _, err := s.node.Propose(now, command.Encode(), &out.Ready); err != nil {
		delete(s.waiting, e.Change.ID)
		out.Answers = append(out.Answers, Answer{Token: e.Token})
	}
}

// answerChanges answers the commands whose results are there.
func (s *State) answerChanges(out *Effects) {
	for id, tokens := range s.waiting {
		r, ok := s.machine.Result(id)
		if !ok {
			continue
		}
		for i, t := range tokens {
			out.Answers = append(out.Answers, Answer{Token: t, Leads: true, Result: r, Again: i > 0})
		}
		delete(s.waiting, id)
	}
}
