// SPDX-License-Identifier: MIT

package control

import (
	"lynxramp.org/catalog"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/machine"
	"lynxramp.org/sched"
)

// compactEvery is the number of log entries applied between snapshots.
const compactEvery = 4096

// entryStatus is the last reported state of an entry box.
type entryStatus struct {
	version       uint64
	lastHeartbeat event.Time
}

// State is the root reducer of a control box. It is not safe for concurrent
// use.
type State struct {
	seed           uint64
	node           *consensus.Node
	machine        machine.State
	initialCatalog catalog.Catalog // proposed if the group has none
	wallMillis     int64           // Unix milliseconds, updated once a tick

	// Only valid while this box is the owner. The leader owns all pools; its term is
	// their epoch.
	epoch           event.Epoch
	pools           map[string]*sched.State
	poolNames       []string // sorted
	entries         map[event.BoxID]entryStatus
	keys            keyTable
	changeTokens    map[string][]uint64 // tokens by command id
	compacted       consensus.Index
	catalogProposed bool // the initial catalog
	version         uint64
	deferred        bool                    // committed entries are not passed to the schedulers yet
	drainList       *event.DrainListUpdated // the last one, for pools created later
}

// NewState returns the state of a member of the group. initialCatalog is proposed if
// the group has no catalog.
func NewState(now event.Time, id consensus.ID, r consensus.PersistentState, initialCatalog catalog.Catalog, seed uint64) (*State, error) {
	s := &State{
		seed:           seed,
		node:           consensus.New(now, id, r, seed),
		initialCatalog: initialCatalog,
		changeTokens:   make(map[string][]uint64),
		compacted:      r.Snapshot.Index,
	}
	return s, s.machine.Restore(r.Snapshot.Data)
}

// Step applies one event and appends its effects to out.
func (s *State) Step(now event.Time, e event.Event, out *Effects) {
	switch e := e.(type) {
	case *event.Tick:
		s.node.Tick(now, &out.Ready)
	case *MessageReceived:
		s.node.Step(now, e.Message, &out.Ready)
	case *LogSaved:
		s.node.Saved(now, e.Index, e.Term, &out.Ready)
	case *WallClock:
		s.wallMillis = e.Millis
	case *JoinRequested:
		done, err := s.node.Join(now, e.Member, &out.Ready)
		out.Answers = append(out.Answers, Answer{Token: e.Token, IsLeader: err == nil, IsVoter: done})
	case *ChangeRequested:
		s.proposeChange(now, e, out)
	case *event.DrainListUpdated:
		s.drainList = e
		if s.shouldTransferLeadership(e.Draining) {
			s.node.TransferLeadership(now, nil, &out.Ready)
		}
	case *StopRequested:
		s.node.TransferLeadership(now, nil, &out.Ready)
	}
	s.applyReady(now, out)
	if s.isOwner(now) {
		s.stepPools(now, e, out)
		s.applyReady(now, out)
	}
	out.Epoch = s.epoch
}

// Status returns the current status.
func (s *State) Status(now event.Time) Status {
	_, version := s.machine.Catalog()
	return Status{IsOwner: s.isOwner(now), Epoch: s.epoch, Leader: s.leaderAddress(), Version: version}
}

// Node returns the box's consensus node.
func (s *State) Node() *consensus.Node { return s.node }

// Machine returns the replicated state as applied on this box.
func (s *State) Machine() *machine.State { return &s.machine }

func (s *State) leaderAddress() string { return s.address(s.node.Leader()) }

func (s *State) selfAddress() string { return s.address(s.node.ID()) }

// shouldTransferLeadership reports whether this box is draining and another voter isn't.
func (s *State) shouldTransferLeadership(draining map[string]bool) bool {
	if !draining[event.Host(s.selfAddress())] {
		return false
	}
	for _, v := range s.node.Members().Voters {
		if !draining[event.Host(v.Address)] {
			return true
		}
	}
	return false
}

// address returns the address of a voter; empty if id isn't one.
func (s *State) address(id consensus.ID) string {
	for _, v := range s.node.Members().Voters {
		if v.ID == id {
			return v.Address
		}
	}
	return ""
}

// isOwner reports whether this box owns the pools. Its lease excludes any other owner.
func (s *State) isOwner(now event.Time) bool {
	return s.epoch != 0 && s.node.HasLease(now) && event.Epoch(s.node.Term()) == s.epoch
}

// applyReady applies snapshots and committed entries, and begins or ends ownership.
func (s *State) applyReady(now event.Time, out *Effects) {
	if snap := out.Ready.Snapshot; snap != nil && snap.Index > s.compacted {
		s.compacted = snap.Index
		// The snapshot came from the leader: our own are never newer than compacted.
		if err := s.machine.Restore(snap.Data); err != nil {
			panic(err) // can't fail: checked when it was taken
		}
	}
	for len(out.Ready.Committed) > 0 {
		committed := out.Ready.Committed
		out.Ready.Committed = nil
		for _, entry := range committed {
			s.apply(now, entry, out)
		}
	}
	s.updateOwnership(now, out)
	s.passCommitted(now, out)
	if applied := s.node.Applied(); applied >= s.compacted+compactEvery {
		s.compacted = applied
		s.node.Compact(applied, s.machine.Snapshot(), &out.Ready)
	}
}

func (s *State) apply(now event.Time, entry consensus.Entry, out *Effects) {
	if entry.Kind != consensus.EntryCommand {
		return
	}
	if err := s.machine.Apply(entry.Data); err != nil {
		// An unreadable command is skipped on every box alike.
		return
	}
	s.answerChanges(out)
	s.deferred = true
	s.passCommitted(now, out)
}

// passCommitted passes what was committed to the schedulers. While the lease has lapsed it waits:
// the lease may be renewed in the same epoch, and grants made before that are not delivered.
func (s *State) passCommitted(now event.Time, out *Effects) {
	if !s.deferred || !s.isOwner(now) {
		return
	}
	s.deferred = false
	s.changePools(now, out)
	s.resumeClaimed(now, out)
}

// updateOwnership begins a new epoch when this box has become the leader, and ends
// the epoch when it no longer leads in that term.
func (s *State) updateOwnership(now event.Time, out *Effects) {
	leads := s.node.IsLeader()
	if s.epoch != 0 && (!leads || event.Epoch(s.node.Term()) != s.epoch) {
		s.endEpoch(out)
	}
	if s.epoch != 0 || !leads || !s.node.HasLease(now) {
		return
	}
	s.epoch = event.Epoch(s.node.Term())
	s.pools = make(map[string]*sched.State)
	s.poolNames = nil
	s.entries = make(map[event.BoxID]entryStatus)
	s.keys = newKeyTable()
	s.version = 0
	s.catalogProposed = false
	out.NewEpoch = true
	s.changePools(now, out)
	if s.drainList != nil {
		s.stepAll(now, s.drainList, out)
	}
	s.proposeInitialCatalog(now, out)
}

// endEpoch drops the owner's state. Entries and slots report theirs to the next owner.
func (s *State) endEpoch(out *Effects) {
	s.epoch = 0
	s.pools = nil
	s.poolNames = nil
	for id, tokens := range s.changeTokens {
		for _, t := range tokens {
			out.Answers = append(out.Answers, Answer{Token: t})
		}
		delete(s.changeTokens, id)
	}
}

// initialCatalogID is the ID of the command that sets a group's initial catalog.
const initialCatalogID = "first-catalog"

// proposeInitialCatalog proposes the catalog from the settings to a group that has none.
func (s *State) proposeInitialCatalog(now event.Time, out *Effects) {
	if _, version := s.machine.Catalog(); version > 0 || s.catalogProposed {
		return
	}
	s.catalogProposed = true
	change := machine.CatalogChange{
		ID: initialCatalogID, Operator: "settings", Changes: []catalog.Change{{Whole: &s.initialCatalog}},
	}
	// If the lease is lost, the next leader proposes it.
	_, _ = s.node.Propose(now, machine.Command{Time: s.wallMillis, Catalog: &change}.Encode(), &out.Ready)
}

// proposeChange proposes an operator's command, or answers with its known result.
func (s *State) proposeChange(now event.Time, e *ChangeRequested, out *Effects) {
	if !s.isOwner(now) {
		out.Answers = append(out.Answers, Answer{Token: e.Token})
		return
	}
	if r, ok := s.machine.Result(e.Change.ID); ok {
		out.Answers = append(out.Answers, Answer{Token: e.Token, IsLeader: true, Result: r, Duplicate: true})
		return
	}
	first := len(s.changeTokens[e.Change.ID]) == 0
	s.changeTokens[e.Change.ID] = append(s.changeTokens[e.Change.ID], e.Token)
	if !first {
		return
	}
	command := machine.Command{Time: e.Wall, Catalog: &e.Change}
	if _, err := s.node.Propose(now, command.Encode(), &out.Ready); err != nil {
		delete(s.changeTokens, e.Change.ID)
		out.Answers = append(out.Answers, Answer{Token: e.Token})
	}
}

// answerChanges answers the commands whose results are known.
func (s *State) answerChanges(out *Effects) {
	for id, tokens := range s.changeTokens {
		r, ok := s.machine.Result(id)
		if !ok {
			continue
		}
		for i, t := range tokens {
			out.Answers = append(out.Answers, Answer{Token: t, IsLeader: true, Result: r, Duplicate: i > 0})
		}
		delete(s.changeTokens, id)
	}
}
