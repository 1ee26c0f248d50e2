// SPDX-License-Identifier: MIT

package cluster

import (
	"slices"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
)

// uploadQueue has the documents that the leader received and has not committed: one in the log,
// and the newest of the others, which is proposed next and answers the calls of all of them. A call is
// answered when its document or a later one is committed. So a series of changes can't make the log
// grow without bound.
type uploadQueue struct {
	inLog   *pendingUpload
	waiting *pendingUpload
}

// pendingUpload is a document and the calls to answer when it is committed.
type pendingUpload struct {
	document  Document
	calls     []CallID
	lastIndex consensus.Index // of its last part
	term      consensus.Term
}

// submitDocument queues a document of an operator. A document in the queue already is not proposed
// again: clients retry until a document is acknowledged, and each copy of a large one would delay
// the first.
func (s *State) submitDocument(now event.Time, e *DocumentSubmitted, out *Effects) {
	u := &s.uploads
	version := e.Document.Version
	switch {
	case !s.owns(now):
		s.answerNotLeader(e.CallID, out)
	case version <= s.machine.document.Version:
		out.Answers = append(out.Answers, Answer{CallID: e.CallID, Status: StatusDone})
	case u.inLog != nil && version <= u.inLog.document.Version:
		u.inLog.calls = append(u.inLog.calls, e.CallID)
	case u.waiting != nil && version <= u.waiting.document.Version:
		u.waiting.calls = append(u.waiting.calls, e.CallID)
	default:
		next := &pendingUpload{document: e.Document, calls: []CallID{e.CallID}}
		if u.waiting != nil {
			next.calls = append(u.waiting.calls, e.CallID)
		}
		u.waiting = next
		s.proposeNextUpload(now, out)
	}
}

// proposeNextUpload proposes the waiting document once no other is in the log, without the parts that
// an earlier leader got committed.
func (s *State) proposeNextUpload(now event.Time, out *Effects) {
	u := &s.uploads
	if u.inLog != nil || u.waiting == nil || !s.owns(now) || s.writeVersion() == 0 {
		return
	}
	next := u.waiting
	u.waiting = nil
	for _, command := range s.uploadCommands(&next.document) {
		index, err := s.node.Propose(now, command, &out.Ready)
		if err != nil {
			next.answer(StatusUnknown, out)
			return
		}
		next.lastIndex = index
	}
	next.term = s.node.Term()
	u.inLog = next
}

// uploadCommands returns the commands for a document: the parts that are not committed yet, or the whole
// document where some members don't support parts.
func (s *State) uploadCommands(d *Document) [][]byte {
	if s.writeVersion() < level.Chunked {
		return [][]byte{d.encodeWhole()}
	}
	d.pack()
	first := 0
	if s.machine.upload.key == d.packed.key {
		first = len(s.machine.upload.parts)
	}
	var list [][]byte
	for number := first; number < len(d.packed.parts); number++ {
		list = append(list, d.packed.encodePart(number))
	}
	return list
}

// uploadApplied answers the calls of an upload whose last part was applied.
func (s *State) uploadApplied(entry consensus.Entry, out *Effects) {
	d := s.uploads.inLog
	if d == nil || d.lastIndex != entry.Index {
		return
	}
	s.uploads.inLog = nil
	status := StatusDone
	if d.term != entry.Term {
		status = StatusUnknown
	}
	d.answer(status, out)
}

// fail answers all calls with StatusUnknown: their documents may or may not be committed.
func (u *uploadQueue) fail(out *Effects) {
	for _, d := range []*pendingUpload{u.inLog, u.waiting} {
		if d != nil {
			d.answer(StatusUnknown, out)
		}
	}
	*u = uploadQueue{}
}

// cancelCall drops a call. Its document is still replicated.
func (u *uploadQueue) cancelCall(id CallID) {
	for _, d := range []*pendingUpload{u.inLog, u.waiting} {
		if d != nil {
			d.calls = slices.DeleteFunc(d.calls, func(other CallID) bool { return other == id })
		}
	}
}

func (d *pendingUpload) answer(status Status, out *Effects) {
	for _, id := range d.calls {
		out.Answers = append(out.Answers, Answer{CallID: id, Status: status})
	}
}
