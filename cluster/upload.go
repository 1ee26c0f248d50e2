// SPDX-License-Identifier: MIT

package cluster

import (
	"slices"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
)

// uploads are the documents that the leader was sent and has not committed. One is in the log;
// the newest of those that came meanwhile waits, for all of them: a call is answered when its
// document or a later one is committed. So no number of changes makes the log longer than
// the links can take.
type uploads struct {
	logged  *sending
	waiting *sending
}

// sending is a document and the calls that it is to answer.
type sending struct {
	document Document
	tokens   []Token
	last     consensus.Index // of its last part
	term     consensus.Term
}

// sendDocument takes an operator's call. A document that is on its way already is not put into
// the log again: operators send again each second what is not acknowledged, and each copy of
// a large one would hold up the first.
func (s *State) sendDocument(now event.Time, e *DocumentSent, out *Effects) {
	u := &s.uploads
	version := e.Document.Version
	switch {
	case !s.owns(now):
		s.elsewhere(e.Token, out)
	case version <= s.machine.document.Version:
		out.Answers = append(out.Answers, Answer{Token: e.Token, Status: StatusDone})
	case u.logged != nil && version <= u.logged.document.Version:
		u.logged.tokens = append(u.logged.tokens, e.Token)
	case u.waiting != nil && version <= u.waiting.document.Version:
		u.waiting.tokens = append(u.waiting.tokens, e.Token)
	default:
		next := &sending{document: e.Document, tokens: []Token{e.Token}}
		if u.waiting != nil {
			next.tokens = append(u.waiting.tokens, e.Token)
		}
		u.waiting = next
		s.logNext(now, out)
	}
}

// logNext puts the document that waits into the log once there is no other: those of its parts
// that an earlier leader did not get committed.
func (s *State) logNext(now event.Time, out *Effects) {
	u := &s.uploads
	if u.logged != nil || u.waiting == nil || !s.owns(now) || s.writes() == 0 {
		return
	}
	next := u.waiting
	u.waiting = nil
	for _, command := range s.commandsOf(&next.document) {
		index, err := s.node.Propose(now, command, &out.Ready)
		if err != nil {
			next.answer(StatusUnclear, out)
			return
		}
		next.last = index
	}
	next.term = s.node.Term()
	u.logged = next
}

// commandsOf returns the commands that bring a document: its parts that an earlier leader did not get
// committed, or all of it at once where members read no parts.
func (s *State) commandsOf(d *Document) [][]byte {
	if s.writes() < level.Parts {
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

// uploaded takes note that an entry was applied.
func (s *State) uploaded(entry consensus.Entry, out *Effects) {
	d := s.uploads.logged
	if d == nil || d.last != entry.Index {
		return
	}
	s.uploads.logged = nil
	status := StatusDone
	if d.term != entry.Term {
		status = StatusUnclear
	}
	d.answer(status, out)
}

// fail answers all calls: their documents may or may not be committed.
func (u *uploads) fail(out *Effects) {
	for _, d := range []*sending{u.logged, u.waiting} {
		if d != nil {
			d.answer(StatusUnclear, out)
		}
	}
	*u = uploads{}
}

// forget drops a call that does not wait any more. Its document goes on.
func (u *uploads) forget(t Token) {
	for _, d := range []*sending{u.logged, u.waiting} {
		if d != nil {
			d.tokens = slices.DeleteFunc(d.tokens, func(other Token) bool { return other == t })
		}
	}
}

func (d *sending) answer(status Status, out *Effects) {
	for _, t := range d.tokens {
		out.Answers = append(out.Answers, Answer{Token: t, Status: status})
	}
}
