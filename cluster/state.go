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
	// minCompactBytes is the least that is logged between snapshots, in bytes, and compactGrowth how
	// many times the last snapshot: making one, and writing and sending it, must stay a part of
	// the work that the log itself makes.
	minCompactBytes  = 4 << 20
	compactGrowth = 2
	// entryOverhead is what an entry counts besides its command, so that a log of small entries
	// has a snapshot after 512 of them.
	entryOverhead = minCompactBytes / 512
	// downAfterHeartbeats is how many times its own rhythm an endpoint may be silent before
	// it is taken for down.
	downAfterHeartbeats = 4
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
	// FormatVersion is the level that the box reads; 0 is the newest. Tests set it.
	FormatVersion level.Level
}

// State is the reducer of a control box. It is not safe for concurrent use.
type State struct {
	settings Settings
	node     *consensus.Node
	machine  stateMachine
	config   decodedConfig
	pendingCalls  map[consensus.Index]pendingCall
	pendingHeartbeats    map[string]bool // endpoints that the leader is not yet told of
	uploads  uploadQueue
	snapshotIndex  consensus.Index // of the last snapshot
	// snapshotBytes is the length of the last snapshot, loggedBytes what was loggedBytes since.
	snapshotBytes, loggedBytes int
	// compactThreshold is compactBytes, but for tests.
	compactThreshold int
	owner        *owner // nil while this box does not own the pools
	// pendingSessions are sessions of entries that came while no leader was known.
	pendingSessions   map[SessionID]*pendingSession
	leader  consensus.ID
	members consensus.Membership // as last told in the log
	formats  formatVersions
}

// pendingCall is a call that waits for its command to be committed.
type pendingCall struct {
	call CallID
	term  consensus.Term
}

// NewState returns the state of a member with what its disk holds.
func NewState(now event.Time, id consensus.ID, r consensus.Restored, settings Settings) (*State, error) {
	s := &State{
		settings: settings,
		node:     consensus.New(now, id, r, settings.Seed),
		pendingCalls:  make(map[consensus.Index]pendingCall),
		pendingHeartbeats:    make(map[string]bool),
		pendingSessions:    make(map[SessionID]*pendingSession),
		snapshotIndex:  r.Snapshot.Index,

		snapshotBytes: len(r.Snapshot.Data),
		compactThreshold:  minCompactBytes,
		formats:        newFormatVersions(settings.FormatVersion),
	}
	for _, e := range r.Entries {
		if e.Kind != consensus.EntryCommand {
			continue
		}
		if err := s.checkReadable(e.Data); err != nil {
			return nil, err
		}
	}
	s.node.SetLimits(settings.Members)
	if s.formats.own >= level.Told {
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
	if d, ok := e.(*DocumentDecoded); ok {
		s.applyDecoded(now, d, out)
	}
	s.applyCommitted(now, out)
	s.stepCalls(now, e, out)
	if s.owner != nil {
		s.owner.step(now, e, s, out)
	} else {
		s.stepSession(now, e, out)
	}
	s.applyCommitted(now, out)
	s.redirectPendingSessions(now, out)
	s.requestDecode(out)
	s.logMembership(out)
}

func (s *State) stepNode(now event.Time, e Event, out *Effects) {
	switch e := e.(type) {
	case *Tick:
		s.node.Tick(now, &out.Ready)
		s.forwardHeartbeats(now, out)
	case *MessageReceived:
		s.node.Step(now, e.Message, &out.Ready)
	case *LogSaved:
		s.node.Saved(now, e.Index, e.Term, &out.Ready)
	case *JoinRequested:
		if s.canJoin(e, out) {
			// A box that does not lead has no say; the joining box asks on.
			_, _ = s.node.Join(now, e.Member, &out.Ready)
		}
	case *PeerConnected:
		s.peerConnected(e, out)
	case *PeerDisconnected:
		s.peerDisconnected(e, out)
	case *StopRequested:
		s.node.Transfer(now, s.transferRank, &out.Ready)
	}
}

// owns reports whether this box owns the pools at now: no other can.
func (s *State) owns(now event.Time) bool { return s.node.HasLease(now) }

// stepCalls takes the calls of operators and endpoints.
func (s *State) stepCalls(now event.Time, e Event, out *Effects) {
	switch e := e.(type) {
	case *DocumentSubmitted:
		s.submitDocument(now, e, out)
	case *DocumentRequested:
		if !s.owns(now) {
			s.answerNotLeader(e.Call, out)
			return
		}
		out.Answers = append(out.Answers, Answer{
			Call: e.Call, Status: StatusDone, Document: s.machine.document, ValidUntil: s.node.LeaseEnd(now),
		})
	case *HeartbeatReceived:
		s.receiveHeartbeat(now, e, out)
	case *EndpointRemoved:
		s.removeEndpoint(now, e, out)
	case *CallCancelled:
		s.uploads.cancelCall(e.Call)
		for i, p := range s.pendingCalls {
			if p.call == e.Call {
				delete(s.pendingCalls, i)
			}
		}
	}
}

// propose puts a command into the log, unless it is known to change nothing; the
// call is answered when it is committed.
func (s *State) propose(now event.Time, token CallID, command []byte, known bool, out *Effects) {
	if !s.owns(now) {
		s.answerNotLeader(token, out)
		return
	}
	if known {
		out.Answers = append(out.Answers, Answer{Call: token, Status: StatusDone, Next: s.ownAddress()})
		return
	}
	index, err := s.node.Propose(now, command, &out.Ready)
	if err != nil {
		s.answerNotLeader(token, out)
		return
	}
	s.pendingCalls[index] = pendingCall{call: token, term: s.node.Term()}
}

// isLeaderActive reports whether another box leads and was heard a moment ago.
func (s *State) isLeaderActive(now event.Time) bool {
	leader := s.node.Leader()
	return leader != "" && leader != s.node.ID() && now.Sub(s.node.HeardLeader()) < consensus.ElectionMin
}

// leaderGracePeriod is how long a box goes on taking word of endpoints without news while it hears
// no leader: an election takes 0.4 to 0.65 s, and each endpoint that is turned away tries
// all boxes in turn. It is below the time after which an owner takes an endpoint for down.
const leaderGracePeriod = 2 * event.Second

// sawLeaderRecently reports whether another box leads, or did a moment ago.
func (s *State) sawLeaderRecently(now event.Time) bool {
	return s.node.Leader() != s.node.ID() && now.Sub(s.node.HeardLeader()) < leaderGracePeriod
}

// forwardHeartbeats tells the leader which endpoints were heard here, once there is one.
func (s *State) forwardHeartbeats(now event.Time, out *Effects) {
	switch {
	case len(s.pendingHeartbeats) == 0:
	case s.isLeaderActive(now):
		out.Leader = s.node.Leader()
		out.Heartbeats = slices.Sorted(maps.Keys(s.pendingHeartbeats))
		clear(s.pendingHeartbeats)
	case !s.sawLeaderRecently(now):
		clear(s.pendingHeartbeats)
	}
}

// answerNotLeader answers a call that this box can't serve.
func (s *State) answerNotLeader(token CallID, out *Effects) {
	out.Answers = append(out.Answers, Answer{Call: token, Status: StatusElsewhere, Leader: s.leaderAddress()})
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

// memberLinkAddresses returns the link addresses of all members.
func (s *State) memberLinkAddresses() []string {
	var list []string
	for _, m := range s.allMembers() {
		list = append(list, string(m.ID.Box()))
	}
	return list
}

// applyCommitted applies what was committed and takes up or lays down the ownership.
func (s *State) applyCommitted(now event.Time, out *Effects) {
	if snap := out.Ready.Snapshot; snap != nil && snap.Index > s.snapshotIndex {
		s.recordSnapshot(snap.Index, snap.Data)
		if err := s.restore(snap.Data); err != nil {
			out.Fatal = err
			return
		}
		s.machine.spending.Heard(now)
	}
	for len(out.Ready.Committed) > 0 {
		committed := out.Ready.Committed
		out.Ready.Committed = nil
		for _, entry := range committed {
			s.applyEntry(now, entry, out)
			if out.Fatal != nil {
				return
			}
			s.compactIfDue(entry.Index, out)
		}
	}
	s.updateOwnership(now, out)
	s.proposeNextUpload(now, out)
}

// compactIfDue takes a snapshot at the entry that was just applied, if one is due. It is due at the
// same entries on all boxes, whatever they apply together: see consensus.Node.Compact.
func (s *State) compactIfDue(index consensus.Index, out *Effects) {
	if s.loggedBytes < max(s.compactThreshold, compactGrowth*s.snapshotBytes) || s.machine.formatVersion == 0 {
		return // a log that does not tell which snapshots its members read has none yet
	}
	data := s.machine.snapshot()
	s.recordSnapshot(index, data)
	s.node.Compact(index, data, &out.Ready)
}

// recordSnapshot takes note of the newest snapshot.
func (s *State) recordSnapshot(index consensus.Index, data []byte) {
	s.snapshotIndex = index
	s.snapshotBytes = len(data)
	s.loggedBytes = 0
}

func (s *State) applyEntry(now event.Time, entry consensus.Entry, out *Effects) {
	s.loggedBytes += entryOverhead + len(entry.Data)
	if entry.Kind == consensus.EntryCommand {
		s.applyCommand(now, entry, out)
	}
	if s.owner != nil && entry.Term == s.owner.term {
		s.owner.recordCommitted(now, entry.Index, s, out)
	}
	s.uploadApplied(entry, out)
	p, ok := s.pendingCalls[entry.Index]
	if !ok {
		return
	}
	delete(s.pendingCalls, entry.Index)
	status := StatusDone
	if p.term != entry.Term {
		status = StatusUnknown
	}
	out.Answers = append(out.Answers, Answer{Call: p.call, Status: status})
}

func (s *State) applyCommand(now event.Time, entry consensus.Entry, out *Effects) {
	if err := s.checkReadable(entry.Data); err != nil {
		out.Fatal = err
		return
	}
	c, err := s.machine.apply(entry.Index, entry.Data)
	if err != nil {
		// A command that no version of this program can read does nothing, on
		// every box alike.
		out.logInfo("command not applied", Field{"error", err.Error()})
		return
	}
	if c.spending != nil {
		s.machine.spending.Heard(now)
		if s.owner != nil && s.owner.recordIndex != entry.Index {
			s.owner.budgets.Foreign(now, *c.spending)
		}
	}
	if c.poison != nil && s.owner != nil && s.owner.poisonIndex != entry.Index {
		s.owner.poison.Foreign(now, *c.poison)
	}
	if c.formatVersion {
		s.formatVersionRaised(out)
	}
	if c.document {
		out.logInfo("configuration applied", Field{"version", s.machine.document.Version}, Field{"bytes", len(s.machine.document.Data)})
	}
	if s.owner != nil {
		s.owner.applyChange(now, c, s, out)
	}
}

// updateOwnership begins to own when this box has come to lead, and ends when it leads no
// more. A short lapse of the lease within a term is no end: a quorum that answers again in
// this term has followed nobody else since. To end and begin anew at each lapse would send
// all entries away and back, and the work of that can let the lease lapse again.
func (s *State) updateOwnership(now event.Time, out *Effects) {
	owns := s.owns(now)
	if s.owner != nil && !s.owner.remainsOwner(now, s.node) {
		s.owner.closeSessions(s, out)
		s.owner = nil
		out.logInfo("owns the pools no more", Field{"term", uint64(s.node.Term())})
	}
	if !owns && s.owner == nil {
		s.config.requiredVersion = 0
	}
	if owns && s.owner == nil && s.isConfigReady() {
		s.owner = newOwner(now, s)
		out.logInfo("owns the pools", Field{"term", uint64(s.node.Term())}, Field{"waiting_entries", len(s.pendingSessions)})
		s.openPendingSessions(now, out)
	}
	if !s.node.Leads() {
		s.failPendingCalls(out)
	}
}

// failPendingCalls answers the calls whose commands may or may not be committed.
func (s *State) failPendingCalls(out *Effects) {
	s.uploads.fail(out)
	for index, p := range s.pendingCalls {
		out.Answers = append(out.Answers, Answer{Call: p.call, Status: StatusUnknown})
		delete(s.pendingCalls, index)
	}
}

func (s *State) redirect(session SessionID, out *Effects) {
	leader := ""
	if id := s.node.Leader(); id != s.node.ID() {
		leader = string(id.Box())
	}
	out.Sends = append(out.Sends, Send{session, &message.Envelope{Redirect: &message.Redirect{
		Leader: leader, Members: s.memberLinkAddresses(),
	}}})
	out.Closes = append(out.Closes, session)
}

// logMembership notes changes of the leader and of the members.
func (s *State) logMembership(out *Effects) {
	if id := s.node.Leader(); id != s.leader {
		s.leader = id
		out.logInfo("leader", Field{"leader", string(id)}, Field{"term", uint64(s.node.Term())})
	}
	m := s.node.Members()
	if !slices.Equal(m.Voters, s.members.Voters) || !slices.Equal(m.Learners, s.members.Learners) {
		s.members = consensus.Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
		out.logInfo("members", Field{"voters", memberIDs(m.Voters)}, Field{"learners", memberIDs(m.Learners)})
	}
}

func memberIDs(list []consensus.Member) []string {
	var names []string
	for _, m := range list {
		names = append(names, string(m.ID))
	}
	return names
}
