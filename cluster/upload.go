// SPDX-License-Identifier: MIT

package cluster

import (
	"slices"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
)

// uploadQueue are the documents that the leader was sent and has not committed. One is in the log;
// the newest of those that came meanwhile waits, for all of them: a call is answered when its
// document or a later one is committed. So no number of changes makes the log longer than
// the links can take.
type uploadQueue struct {
	inLog  *pendingUpload
	waiting *pendingUpload
}

// pendingUpload is a document and the calls that it is to answer.
type pendingUpload struct {
	document Document
	calls   []CallID
	lastIndex     consensus.Index // of its last part
	term     consensus.Term
}

// submitDocument takes an operator's call. A document that is on its way already is not put into
// the log again: operators send again each second what is not acknowledged, and each copy of
// a large one would hold up the first.
func (s *State) submitDocument(now event.Time, e *DocumentSubmitted, out *Effects) {
	u := &s.uploads
	version := e.Document.Version
	switch {
	case !s.owns(now):
		s.answerNotLeader(e.Call, out)
	case version <= s.machine.document.Version:
		out.Answers = append(out.Answers, Answer{Call: e.Call, Status: StatusDone})
	case u.inLog != nil && version <= u.inLog.document.Version:
		u.inLog.calls = append(u.inLog.calls, e.Call)
	case u.waiting != nil && version <= u.waiting.document.Version:
		u.waiting.calls = append(u.waiting.calls, e.Call)
	default:
		next := &pendingUpload{document: e.Document, calls: []CallID{e.Call}}
		if u.waiting != nil {
			next.calls = append(u.waiting.calls, e.Call)
		}
		u.waiting = next
		s.proposeNextUpload(now, out)
	}
}

// proposeNextUpload puts the document that waits into the log once there is no other: those of its parts
// that an earlier leader did not get committed.
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

// uploadCommands returns the commands that bring a document: its parts that an earlier leader did not get
// committed, or all of it at once where members read no parts.
func (s *State) uploadCommands(d *Document) [][]byte {
	if s.writeVersion() < level.Parts {
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

// uploadApplied takes note that an entry was applied.
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

// fail answers all calls: their documents may or may not be committed.
func (u *uploadQueue) fail(out *Effects) {
	for _, d := range []*pendingUpload{u.inLog, u.waiting} {
		if d != nil {
			d.answer(StatusUnknown, out)
		}
	}
	*u = uploadQueue{}
}

// cancelCall drops a call that does not wait any more. Its document goes on.
func (u *uploadQueue) cancelCall(t CallID) {
	for _, d := range []*pendingUpload{u.inLog, u.waiting} {
		if d != nil {
			d.calls = slices.DeleteFunc(d.calls, func(other CallID) bool { return other == t })
		}
	}
}

func (d *pendingUpload) answer(status Status, out *Effects) {
	for _, t := range d.calls {
		out.Answers = append(out.Answers, Answer{Call: t, Status: status})
	}
}
