// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/admission"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// Bounds of the log and of endpoints' silence.
const (
	// compactBytes is the least that is logged between snapshots, in bytes, and compactGrowth how
	// many times the last snapshot: making one, and writing and sending it, must stay a part of
	// the work that the log itself makes.
	compactBytes  = 4 << 20
	compactGrowth = 2
	// entryBytes is what an entry counts besides its command, so that a log of small entries
	// has a snapshot after 512 of them.
	entryBytes = compactBytes / 512
	// downBeats is how many times its own rhythm an endpoint may be silent before
	// it is taken for down.
	downBeats = 4
)

// Settings are what a State must know of its deployment.
type Settings struct {
	Limits    admission.Limits
	Members   consensus.Limits
	BeatEvery event.Span
	// Fresh is how long an entry serves without an owner.
	Fresh event.Span
	Seed  uint64
	// Decode reads a configuration and checks it. It takes long for a large one, and is called
	// beside the loop.
	Decode func([]byte) (*routing.Table, error)
	// Reads is the level that the box reads; 0 is the newest. Tests set it.
	Reads level.Level
}

// State is the reducer of a control box. It is not safe for concurrent use.
type State struct {
	settings Settings
	node     *consensus.Node
	machine  machine
	config   config
	pending  map[consensus.Index]pending
	heard    map[string]bool // endpoints that the leader is not yet told of
	uploads  uploads
	compact  consensus.Index // of the last snapshot
	// snapshotBytes is the length of the last snapshot, logged what was logged since.
	snapshotBytes, logged int
	// compactLeast is compactBytes, but for tests.
	compactLeast int
	owner        *owner // nil while this box does not own the pools
	// early are sessions of entries that came while no leader was known.
	early   map[SessionID]*earlySession
	leader  consensus.ID
	members consensus.Membership // as last told in the log
	levels  levels
}

// pending is a call that waits for its command to be committed.
type pending struct {
	token Token
	term  consensus.Term
}

// NewState returns the state of a member with what its disk holds.
func NewState(now event.Time, id consensus.ID, r consensus.Restored, settings Settings) (*State, error) {
	s := &State{
		settings: settings,
		node:     consensus.New(now, id, r, settings.Seed),
		pending:  make(map[consensus.Index]pending),
		heard:    make(map[string]bool),
		early:    make(map[SessionID]*earlySession),
		compact:  r.Snapshot.Index,

		snapshotBytes: len(r.Snapshot.Data),
		compactLeast:  compactBytes,
		levels:        newLevels(settings.Reads),
	}
	for _, e := range r.Entries {
		if e.Kind != consensus.EntryCommand {
			continue
		}
		if err := s.readable(e.Data); err != nil {
			return nil, err
		}
	}
	s.node.SetLimits(settings.Members)
	if s.levels.own >= level.Told {
		s.node.SetUsualForms(consensus.Forms{Held: true}) // until a box has said what it reads
	}
	if err := s.restore(r.Snapshot.Data); err != nil {
		return nil, err
	}
	s.machine.spending.Heard(now)
	return s, nil
}

// Node returns the box's part in the replicated log.
func (s *State) Node() *consensus.Node { return s.node }

// Document returns the configuration as far as it is applied here.
func (s *State) Document() Document { return s.machine.document }

// Step takes one event and adds to out what follows from it.
func (s *State) Step(now event.Time, e Event, out *Effects) {
	if look, ok := e.(inspect); ok {
		look(now, s)
		return
	}
	s.stepNode(now, e, out)
	if d, ok := e.(*Decoded); ok {
		s.takeDecoded(now, d, out)
	}
	s.settle(now, out)
	s.stepCalls(now, e, out)
	if s.owner != nil {
		s.owner.step(now, e, s, out)
	} else {
		s.stepSession(now, e, out)
	}
	s.settle(now, out)
	s.sendEarlyOn(now, out)
	s.askDecode(out)
	s.tellLeader(out)
}

func (s *State) stepNode(now event.Time, e Event, out *Effects) {
	switch e := e.(type) {
	case *Ticked:
		s.node.Tick(now, &out.Ready)
		s.tellHeard(now, out)
	case *Received:
		s.node.Step(now, e.Message, &out.Ready)
	case *Saved:
		s.node.Saved(now, e.Index, e.Term, &out.Ready)
	case *JoinAsked:
		if s.mayJoin(e, out) {
			// A box that does not lead has no say; the joining box asks on.
			_, _ = s.node.Join(now, e.Member, &out.Ready)
		}
	case *PeerTold:
		s.hearPeer(e, out)
	case *PeerLost:
		s.losePeer(e, out)
	case *StopAsked:
		s.node.Transfer(now, s.handOverTo, &out.Ready)
	}
}

// owns reports whether this box owns the pools at now: no other can.
func (s *State) owns(now event.Time) bool { return s.node.HasLease(now) }

// stepCalls takes the calls of operators and endpoints.
func (s *State) stepCalls(now event.Time, e Event, out *Effects) {
	switch e := e.(type) {
	case *DocumentSent:
		s.sendDocument(now, e, out)
	case *DocumentRead:
		if !s.owns(now) {
			s.elsewhere(e.Token, out)
			return
		}
		out.Answers = append(out.Answers, Answer{
			Token: e.Token, Status: StatusDone, Document: s.machine.document, Until: s.node.LeaseEnd(now),
		})
	case *EndpointTold:
		s.hearEndpoint(now, e, out)
	case *EndpointLeft:
		s.removeEndpoint(now, e, out)
	case *CallGone:
		s.uploads.forget(e.Token)
		for i, p := range s.pending {
			if p.token == e.Token {
				delete(s.pending, i)
			}
		}
	}
}

// propose puts a command into the log, unless it is known to change nothing; the
// call is answered when it is committed.
func (s *State) propose(now event.Time, token Token, command []byte, known bool, out *Effects) {
	if !s.owns(now) {
		s.elsewhere(token, out)
		return
	}
	if known {
		out.Answers = append(out.Answers, Answer{Token: token, Status: StatusDone, Next: s.address()})
		return
	}
	index, err := s.node.Propose(now, command, &out.Ready)
	if err != nil {
		s.elsewhere(token, out)
		return
	}
	s.pending[index] = pending{token: token, term: s.node.Term()}
}

// hearsLeader reports whether another box leads and was heard a moment ago.
func (s *State) hearsLeader(now event.Time) bool {
	leader := s.node.Leader()
	return leader != "" && leader != s.node.ID() && now.Sub(s.node.HeardLeader()) < consensus.ElectionMin
}

// leaderless is how long a box goes on taking word of endpoints without news while it hears
// no leader: an election takes 0.4 to 0.65 s, and each endpoint that is turned away tries
// all boxes in turn. It is below the time after which an owner takes an endpoint for down.
const leaderless = 2 * event.Second

// heardLeaderLately reports whether another box leads, or did a moment ago.
func (s *State) heardLeaderLately(now event.Time) bool {
	return s.node.Leader() != s.node.ID() && now.Sub(s.node.HeardLeader()) < leaderless
}

// tellHeard tells the leader which endpoints were heard here, once there is one.
func (s *State) tellHeard(now event.Time, out *Effects) {
	switch {
	case len(s.heard) == 0:
	case s.hearsLeader(now):
		out.Leader = s.node.Leader()
		out.Heard = slices.Sorted(maps.Keys(s.heard))
		clear(s.heard)
	case !s.heardLeaderLately(now):
		clear(s.heard)
	}
}

// elsewhere answers a call that this box can't serve.
func (s *State) elsewhere(token Token, out *Effects) {
	out.Answers = append(out.Answers, Answer{Token: token, Status: StatusElsewhere, Leader: s.leaderAddress()})
}

// leaderAddress returns the operators' address of another box that leads; empty
// if none is known.
func (s *State) leaderAddress() string {
	id := s.node.Leader()
	if id == "" || id == s.node.ID() {
		return ""
	}
	for _, m := range s.allMembers() {
		if m.ID == id {
			return m.Address
		}
	}
	return ""
}

func (s *State) allMembers() []consensus.Member {
	m := s.node.Members()
	return append(slices.Clone(m.Voters), m.Learners...)
}

// memberLinks returns the link addresses of all members.
func (s *State) memberLinks() []string {
	var list []string
	for _, m := range s.allMembers() {
		list = append(list, string(m.ID.Box()))
	}
	return list
}

// settle applies what was committed and takes up or lays down the ownership.
func (s *State) settle(now event.Time, out *Effects) {
	if snap := out.Ready.Snapshot; snap != nil && snap.Index > s.compact {
		s.compacted(snap.Index, snap.Data)
		if err := s.restore(snap.Data); err != nil {
			out.Stop = err
			return
		}
		s.machine.spending.Heard(now)
	}
	for len(out.Ready.Committed) > 0 {
		committed := out.Ready.Committed
		out.Ready.Committed = nil
		for _, entry := range committed {
			s.applyEntry(now, entry, out)
			if out.Stop != nil {
				return
			}
			s.compactAt(entry.Index, out)
		}
	}
	s.settleOwnership(now, out)
	s.logNext(now, out)
}

// compactAt takes a snapshot at the entry that was just applied, if one is due. It is due at the
// same entries on all boxes, whatever they apply together: see consensus.Node.Compact.
func (s *State) compactAt(index consensus.Index, out *Effects) {
	if s.logged < max(s.compactLeast, compactGrowth*s.snapshotBytes) || s.machine.level == 0 {
		return // a log that does not tell which snapshots its members read has none yet
	}
	data := s.machine.snapshot()
	s.compacted(index, data)
	s.node.Compact(index, data, &out.Ready)
}

// compacted takes note of the newest snapshot.
func (s *State) compacted(index consensus.Index, data []byte) {
	s.compact = index
	s.snapshotBytes = len(data)
	s.logged = 0
}

func (s *State) applyEntry(now event.Time, entry consensus.Entry, out *Effects) {
	s.logged += entryBytes + len(entry.Data)
	if entry.Kind == consensus.EntryCommand {
		s.applyCommand(now, entry, out)
	}
	if s.owner != nil && entry.Term == s.owner.term {
		s.owner.recorded(now, entry.Index, s, out)
	}
	s.uploaded(entry, out)
	p, ok := s.pending[entry.Index]
	if !ok {
		return
	}
	delete(s.pending, entry.Index)
	status := StatusDone
	if p.term != entry.Term {
		status = StatusUnclear
	}
	out.Answers = append(out.Answers, Answer{Token: p.token, Status: status})
}

func (s *State) applyCommand(now event.Time, entry consensus.Entry, out *Effects) {
	if err := s.readable(entry.Data); err != nil {
		out.Stop = err
		return
	}
	c, err := s.machine.apply(entry.Index, entry.Data)
	if err != nil {
		// A command that no version of this program can read does nothing, on
		// every box alike.
		out.note("command not applied", Field{"error", err.Error()})
		return
	}
	if c.spending != nil {
		s.machine.spending.Heard(now)
		if s.owner != nil && s.owner.record != entry.Index {
			s.owner.book.Foreign(now, *c.spending)
		}
	}
	if c.poison != nil && s.owner != nil && s.owner.poisonRecord != entry.Index {
		s.owner.poison.Foreign(now, *c.poison)
	}
	if c.level {
		s.levelRaised(out)
	}
	if c.document {
		out.note("configuration applied", Field{"version", s.machine.document.Version}, Field{"bytes", len(s.machine.document.Data)})
	}
	if s.owner != nil {
		s.owner.applied(now, c, s, out)
	}
}

// settleOwnership begins to own when this box has come to lead, and ends when it leads no
// more. A short lapse of the lease within a term is no end: a quorum that answers again in
// this term has followed nobody else since. To end and begin anew at each lapse would send
// all entries away and back, and the work of that can let the lease lapse again.
func (s *State) settleOwnership(now event.Time, out *Effects) {
	owns := s.owns(now)
	if s.owner != nil && !s.owner.remains(now, s.node) {
		s.owner.end(s, out)
		s.owner = nil
		out.note("owns the pools no more", Field{"term", uint64(s.node.Term())})
	}
	if !owns && s.owner == nil {
		s.config.wanted = 0
	}
	if owns && s.owner == nil && s.wantTable() {
		s.owner = newOwner(now, s)
		out.note("owns the pools", Field{"term", uint64(s.node.Term())}, Field{"waiting_entries", len(s.early)})
		s.takeEarly(now, out)
	}
	if !s.node.Leads() {
		s.failPending(out)
	}
}

// failPending answers the calls whose commands may or may not be committed.
func (s *State) failPending(out *Effects) {
	s.uploads.fail(out)
	for index, p := range s.pending {
		out.Answers = append(out.Answers, Answer{Token: p.token, Status: StatusUnclear})
		delete(s.pending, index)
	}
}

func (s *State) redirect(session SessionID, out *Effects) {
	leader := ""
	if id := s.node.Leader(); id != s.node.ID() {
		leader = string(id.Box())
	}
	out.Sends = append(out.Sends, Send{session, &message.Envelope{Redirect: &message.Redirect{
		Leader: leader, Members: s.memberLinks(),
	}}})
	out.Closes = append(out.Closes, session)
}

// tellLeader notes changes of the leader and of the members.
func (s *State) tellLeader(out *Effects) {
	if id := s.node.Leader(); id != s.leader {
		s.leader = id
		out.note("leader", Field{"leader", string(id)}, Field{"term", uint64(s.node.Term())})
	}
	m := s.node.Members()
	if !slices.Equal(m.Voters, s.members.Voters) || !slices.Equal(m.Learners, s.members.Learners) {
		s.members = consensus.Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
		out.note("members", Field{"voters", ids(m.Voters)}, Field{"learners", ids(m.Learners)})
	}
}

func ids(list []consensus.Member) []string {
	var names []string
	for _, m := range list {
		names = append(names, string(m.ID))
	}
	return names
}
