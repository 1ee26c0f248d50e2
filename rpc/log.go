// SPDX-License-Identifier: MIT

package rpc

import (
	"lynxramp.org/consensus"
	"lynxramp.org/event"
)

// MessageEnvelope returns a message of the replicated log of a group.
func MessageEnvelope(group string, m consensus.Message) *Envelope {
	e := &Envelope{
		Group:   group,
		Kind:    uint32(m.Kind),
		From:    string(m.From),
		To:      string(m.To),
		Term:    uint64(m.Term),
		Index:   uint64(m.Index),
		LogTerm: uint64(m.LogTerm),
		Commit:  uint64(m.Commit),
		SentAt:  int64(m.SentAt),
		Granted: m.Granted,
		Forced:  m.Forced,
		Seq:     m.Seq,
		Offset:  m.Offset,
		Size:    m.Size,
		Sum:     m.Sum,
	}
	for _, one := range m.Entries {
		e.Entries = append(e.Entries, &LogEntry{
			Index: uint64(one.Index), Term: uint64(one.Term), Kind: uint32(one.Kind), Data: one.Data,
		})
	}
	if s := m.Snapshot; s != nil {
		e.Snapshot = &LogSnapshot{
			Index: uint64(s.Index), Term: uint64(s.Term), Members: MembershipMessage(s.Members), Data: s.Data,
		}
	}
	return e
}

// Message returns the envelope's content.
func (e *Envelope) Message() consensus.Message {
	m := consensus.Message{
		Kind:    consensus.Kind(e.Kind),
		From:    consensus.ID(e.From),
		To:      consensus.ID(e.To),
		Term:    consensus.Term(e.Term),
		Index:   consensus.Index(e.Index),
		LogTerm: consensus.Term(e.LogTerm),
		Commit:  consensus.Index(e.Commit),
		SentAt:  event.Time(e.SentAt),
		Granted: e.Granted,
		Forced:  e.Forced,
		Seq:     e.Seq,
		Offset:  e.Offset,
		Size:    e.Size,
		Sum:     e.Sum,
	}
	for _, one := range e.Entries {
		m.Entries = append(m.Entries, consensus.Entry{
			Index: consensus.Index(one.Index), Term: consensus.Term(one.Term),
			Kind: consensus.EntryKind(one.Kind), Data: one.Data,
		})
	}
	if s := e.Snapshot; s != nil {
		m.Snapshot = &consensus.Snapshot{
			Index: consensus.Index(s.Index), Term: consensus.Term(s.Term),
			Members: s.Members.Membership(), Data: s.Data,
		}
	}
	return m
}

// MembershipMessage returns m as a message.
func MembershipMessage(m consensus.Membership) *Membership {
	return &Membership{Voters: MemberMessages(m.Voters), Learners: MemberMessages(m.Learners)}
}

// Membership returns the message's content.
func (m *Membership) Membership() consensus.Membership {
	if m == nil {
		return consensus.Membership{}
	}
	return consensus.Membership{Voters: Members(m.Voters), Learners: Members(m.Learners)}
}

// MemberMessages returns members as messages.
func MemberMessages(list []consensus.Member) []*Member {
	messages := make([]*Member, 0, len(list))
	for _, m := range list {
		messages = append(messages, &Member{Id: string(m.ID), Address: m.Address})
	}
	return messages
}

// Members returns the content of messages.
func Members(list []*Member) []consensus.Member {
	members := make([]consensus.Member, 0, len(list))
	for _, m := range list {
		members = append(members, consensus.Member{ID: consensus.ID(m.Id), Address: m.Address})
	}
	return members
}
