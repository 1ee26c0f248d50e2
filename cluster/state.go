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
	"lynxramp.org/rollout"
	"lynxramp.org/routing"
)

// Bounds of the log and of missed heartbeats.
const (
	// A snapshot is due when the log since the last one exceeds both minCompactBytes bytes
	// and compactGrowth times the size of the last snapshot, so that the cost of snapshots
	// stays proportional to the log traffic.
	minCompactBytes = 4 << 20
	compactGrowth   = 2
	// entryOverhead is what an entry counts besides its command, in bytes, so that a log of
	// small entries has a snapshot after 512 of them.
	entryOverhead = minCompactBytes / 512
	// downAfterHeartbeats is the number of heartbeat intervals without a heartbeat after
	// which an endpoint is marked down.
	downAfterHeartbeats = 4
)

// Settings are the deployment settings of a State.
type Settings struct {
	Limits            admission.Limits
	MembershipLimits  consensus.MembershipLimits
	HeartbeatInterval event.Duration
	// ConfigValidity is how long an entry serves requests without an owner.
	ConfigValidity event.Duration
	Seed           uint64
	// Decode parses and validates a configuration. It is slow for a large one and runs
	// outside the event loop.
	Decode func([]byte) (*routing.Table, error)
	// Rollouts bounds the exposure of unproved versions; nil turns roll-outs off.
	Rollouts *rollout.Limits
	// FormatVersion is the newest format version that the box supports; 0 means the newest.
	// Only tests set it.
	FormatVersion level.Level
}

// State is the reducer of a control box. It is not safe for concurrent use.
type State struct {
	settings          Settings
	node              *consensus.Node
	machine           stateMachine
	config            decodedConfig
	pendingCalls      map[consensus.Index]pendingCall
	pendingHeartbeats map[string]bool // endpoints with heartbeats not yet forwarded to the leader
	uploads           uploadQueue
	snapshotIndex     consensus.Index // of the last snapshot
	// snapshotBytes is the size of the last snapshot, loggedBytes the size of the log since.
	snapshotBytes, loggedBytes int
	// compactThreshold is minCompactBytes, except in tests.
	compactThreshold int
	owner            *owner // nil while this box does not own the pools
	// pendingSessions are sessions of entries that were opened while no leader was known.
	pendingSessions map[SessionID]*pendingSession
	leader          consensus.ID
	members         consensus.Membership // as last written to the log file
	formats         formatVersions
}

// pendingCall is a call whose command is not committed yet.
type pendingCall struct {
	call CallID
	term consensus.Term
}

// NewState returns the state of a member, restored from its disk.
func NewState(now event.Time, id consensus.ID, r consensus.PersistentState, settings Settings) (*State, error) {
	s := &State{
		settings:          settings,
		node:              consensus.New(now, id, r, settings.Seed),
		pendingCalls:      make(map[consensus.Index]pendingCall),
		pendingHeartbeats: make(map[string]bool),
		pendingSessions:   make(map[SessionID]*pendingSession),
		snapshotIndex:     r.Snapshot.Index,

		snapshotBytes:    len(r.Snapshot.Data),
		compactThreshold: minCompactBytes,
		formats:          newFormatVersions(settings.FormatVersion),
	}
	for _, e := range r.Entries {
		if e.Kind != consensus.EntryCommand {
			continue
		}
		if err := s.checkReadable(e.Data); err != nil {
			return nil, err
		}
	}
	s.node.SetLimits(settings.MembershipLimits)
	if s.formats.own >= level.Negotiated {
		s.node.SetDefaultPeerMode(consensus.PeerMode{HeartbeatsOnly: true}) // until the peer has reported its format version
	}
	if err := s.restore(r.Snapshot.Data); err != nil {
		return nil, err
	}
	s.markReceived(now)
	return s, nil
}

// markReceived sets the time at which records of a snapshot were received.
func (s *State) markReceived(now event.Time) {
	s.machine.budgets.MarkReceived(now)
	s.machine.rollouts.MarkReceived(now)
}

// Node returns the box's member of the replicated log.
func (s *State) Node() *consensus.Node { return s.node }

// Document returns the newest configuration applied on this box.
func (s *State) Document() Document { return s.machine.document }

// Step applies one event and appends its effects to out.
func (s *State) Step(now event.Time, e Event, out *Effects) {
	if read, ok := e.(inspect); ok {
		read(now, s)
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
			// Only the leader can add a member; the joining box retries.
			_, _ = s.node.Join(now, e.Member, &out.Ready)
		}
	case *PeerConnected:
		s.peerConnected(e, out)
	case *PeerDisconnected:
		s.peerDisconnected(e, out)
	case *StopRequested:
		s.node.TransferLeadership(now, s.transferRank, &out.Ready)
	}
}

// owns reports whether this box owns the pools at now. The lease excludes any other owner.
func (s *State) owns(now event.Time) bool { return s.node.HasLease(now) }

// stepCalls applies the calls of operators and endpoints.
func (s *State) stepCalls(now event.Time, e Event, out *Effects) {
	switch e := e.(type) {
	case *DocumentSubmitted:
		s.submitDocument(now, e, out)
	case *DocumentRequested:
		if !s.owns(now) {
			s.answerNotLeader(e.CallID, out)
			return
		}
		out.Answers = append(out.Answers, Answer{
			CallID: e.CallID, Status: StatusDone, Document: s.machine.document, ValidUntil: s.node.LeaseEnd(now),
		})
	case *HeartbeatReceived:
		s.receiveHeartbeat(now, e, out)
	case *EndpointRemoved:
		s.removeEndpoint(now, e, out)
	case *RolloutSubmitted:
		s.submitRollout(now, e, out)
	case *RolloutRequested:
		s.readRollout(now, e, out)
	case *CallCancelled:
		s.uploads.cancelCall(e.CallID)
		for i, p := range s.pendingCalls {
			if p.call == e.CallID {
				delete(s.pendingCalls, i)
			}
		}
	}
}

// propose appends a command to the log, unless isNoop says that it changes nothing. The call is
// answered once the command is committed.
func (s *State) propose(now event.Time, call CallID, command []byte, isNoop bool, out *Effects) {
	if !s.owns(now) {
		s.answerNotLeader(call, out)
		return
	}
	if isNoop {
		out.Answers = append(out.Answers, Answer{CallID: call, Status: StatusDone, HeartbeatAddress: s.ownAddress()})
		return
	}
	index, err := s.node.Propose(now, command, &out.Ready)
	if err != nil {
		s.answerNotLeader(call, out)
		return
	}
	s.pendingCalls[index] = pendingCall{call: call, term: s.node.Term()}
}

// isLeaderActive reports whether another box leads and was in contact within the election timeout.
func (s *State) isLeaderActive(now event.Time) bool {
	leader := s.node.Leader()
	return leader != "" && leader != s.node.ID() && now.Sub(s.node.LastLeaderContact()) < consensus.MinElectionTimeout
}

// leaderGracePeriod is how long a box without a leader continues to accept heartbeats that change
// nothing. It covers an election, which takes 0.4 to 0.65 s, as a rejected endpoint would retry at all boxes in turn, and is
// shorter than the time after which an owner marks an endpoint down.
const leaderGracePeriod = 2 * event.Second

// hadLeaderRecently reports whether another box leads, or did within leaderGracePeriod.
func (s *State) hadLeaderRecently(now event.Time) bool {
	return s.node.Leader() != s.node.ID() && now.Sub(s.node.LastLeaderContact()) < leaderGracePeriod
}

// forwardHeartbeats sends the leader, once there is one, the endpoints with heartbeats at this box.
func (s *State) forwardHeartbeats(now event.Time, out *Effects) {
	switch {
	case len(s.pendingHeartbeats) == 0:
	case s.isLeaderActive(now):
		out.Leader = s.node.Leader()
		out.Heartbeats = slices.Sorted(maps.Keys(s.pendingHeartbeats))
		clear(s.pendingHeartbeats)
	case !s.hadLeaderRecently(now):
		clear(s.pendingHeartbeats)
	}
}

// answerNotLeader answers a call that only the leader can serve.
func (s *State) answerNotLeader(call CallID, out *Effects) {
	out.Answers = append(out.Answers, Answer{CallID: call, Status: StatusNotLeader, LeaderAddress: s.leaderAddress()})
}

// leaderAddress returns the operator address of the leader; empty if it is unknown or this box.
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

// applyCommitted applies committed entries and updates the ownership of the pools.
func (s *State) applyCommitted(now event.Time, out *Effects) {
	if snap := out.Ready.Snapshot; snap != nil && snap.Index > s.snapshotIndex {
		s.recordSnapshot(snap.Index, snap.Data)
		if err := s.restore(snap.Data); err != nil {
			out.Fatal = err
			return
		}
		s.markReceived(now)
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

// compactIfDue takes a snapshot at the entry just applied, if one is due. All boxes take it at the
// same entries, however entries are batched: see consensus.Node.Compact.
func (s *State) compactIfDue(index consensus.Index, out *Effects) {
	if s.loggedBytes < max(s.compactThreshold, compactGrowth*s.snapshotBytes) || s.machine.formatVersion == 0 {
		return // the log does not say yet which snapshot format all members support
	}
	data := s.machine.snapshot()
	s.recordSnapshot(index, data)
	s.node.Compact(index, data, &out.Ready)
}

// recordSnapshot records the newest snapshot.
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
		s.owner.entryCommitted(now, entry.Index, s, out)
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
	out.Answers = append(out.Answers, Answer{CallID: p.call, Status: status})
}

func (s *State) applyCommand(now event.Time, entry consensus.Entry, out *Effects) {
	if err := s.checkReadable(entry.Data); err != nil {
		out.Fatal = err
		return
	}
	s.machine.now = now
	c, err := s.machine.apply(entry.Index, entry.Data)
	if err != nil {
		// A command that no build can decode is skipped on all boxes alike.
		out.logInfo("skipped a command that can't be decoded", Field{"error", err.Error()})
		return
	}
	if c.budgets != nil {
		s.machine.budgets.MarkReceived(now)
		if s.owner != nil && s.owner.budgetIndex != entry.Index {
			s.owner.budgets.ApplyForeign(now, *c.budgets)
		}
	}
	if c.poison != nil && s.owner != nil && s.owner.poisonIndex != entry.Index {
		s.owner.poison.ApplyForeign(now, *c.poison)
	}
	if c.rollout != nil && s.owner != nil {
		s.owner.rolloutCommitted(now, *c.rollout, s, out)
	}
	if c.versions != nil && s.owner != nil {
		s.owner.versionsCommitted(now, *c.versions, s, out)
	}
	if c.formatVersion {
		s.formatVersionRaised(now, out)
	}
	if c.document {
		out.logInfo("configuration applied", Field{"version", s.machine.document.Version}, Field{"bytes", len(s.machine.document.Data)})
	}
	if s.owner != nil {
		s.owner.applyChange(now, c, s, out)
	}
}

// updateOwnership makes this box the owner when it becomes leader, and ends that when leadership is
// lost. A short lapse of the lease within a term does not end it: a quorum that replies again in this
// term has followed no other leader. Restarting on each lapse would make all entries reconnect, which
// could make the lease lapse again.
func (s *State) updateOwnership(now event.Time, out *Effects) {
	owns := s.owns(now)
	if s.owner != nil && !s.owner.remainsOwner(now, s.node) {
		s.owner.closeSessions(s, out)
		s.owner = nil
		out.logInfo("no longer owns the pools", Field{"term", uint64(s.node.Term())})
	}
	if !owns && s.owner == nil {
		s.config.requiredVersion = 0
	}
	if owns && s.owner == nil && s.isConfigReady() {
		s.owner = newOwner(now, s)
		out.logInfo("owns the pools", Field{"term", uint64(s.node.Term())}, Field{"waiting_entries", len(s.pendingSessions)})
		s.openPendingSessions(now, out)
	}
	if !s.node.IsLeader() {
		s.failPendingCalls(out)
	}
}

// failPendingCalls answers the calls whose commands may or may not be committed.
func (s *State) failPendingCalls(out *Effects) {
	s.uploads.fail(out)
	for index, p := range s.pendingCalls {
		out.Answers = append(out.Answers, Answer{CallID: p.call, Status: StatusUnknown})
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

// logMembership logs changes of the leader and of the members.
func (s *State) logMembership(out *Effects) {
	if id := s.node.Leader(); id != s.leader {
		s.leader = id
		out.logInfo("leader changed", Field{"leader", string(id)}, Field{"term", uint64(s.node.Term())})
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
