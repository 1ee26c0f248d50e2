// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/registry"
	"lynxramp.org/routing"
)

// SessionID names a connection of an entry.
type SessionID uint64

// CallID names a call that waits for an answer.
type CallID uint64

// Event is something that happened to a control box.
type Event interface{ isEvent() }

// The events.
type (
	// Tick says that time passed.
	Tick struct{}
	// MessageReceived brings a message of the replicated log.
	MessageReceived struct{ Message consensus.Message }
	// LogSaved says that the log is on disk up to an entry.
	LogSaved struct {
		Index consensus.Index
		Term  consensus.Term
	}
	// JoinRequested says that a box wants to be a member.
	JoinRequested struct{ Member consensus.Member }
	// DocumentSubmitted brings a configuration that was found sound.
	DocumentSubmitted struct {
		Call    CallID
		Document Document
	}
	// DocumentRequested asks for the newest configuration.
	DocumentRequested struct{ Call CallID }
	// HeartbeatReceived brings an endpoint's word on itself; the ID in it is the endpoint's name.
	HeartbeatReceived struct {
		Call    CallID
		Endpoint registry.Endpoint
	}
	// EndpointRemoved says that an endpoint says that it ends.
	EndpointRemoved struct {
		Call CallID
		Name  string
		Born  uint64 // as in registry.Endpoint
	}
	// HeartbeatsForwarded says that other boxes have heard endpoints that had no news.
	HeartbeatsForwarded struct{ IDs []string }
	// CallCancelled says that a call does not wait any more.
	CallCancelled struct{ Call CallID }
	// SessionOpened says that an entry connected.
	SessionOpened struct {
		Session SessionID
		Hello   message.Hello
		// FormatVersion and Build are what the entry reads and is.
		FormatVersion level.Level
		Build string
	}
	// PingReceived brings an entry's question.
	PingReceived struct {
		Session SessionID
		Ping    message.Ping
	}
	// BatchReceived brings what an entry says.
	BatchReceived struct {
		Session SessionID
		Batch   *message.Batch
	}
	// SessionClosed says that an entry's connection is gone.
	SessionClosed struct{ Session SessionID }
	// NodesRequested brings an entry's question for nodes of the configuration.
	NodesRequested struct {
		Session SessionID
		Request    *message.Want
	}
	// DocumentDecoded brings a document that Effects asked to decode.
	DocumentDecoded struct {
		Version  uint64
		Document []byte
		Table    *routing.Table
		Tree     *hashtree.Tree
		Err      error
	}
	// PeerConnected says what another control box reads and is that has made a connection.
	PeerConnected struct {
		Box   event.BoxID
		Connection  uint64 // names the connection
		FormatVersion level.Level
		Build string
	}
	// PeerDisconnected says that such a connection has ended.
	PeerDisconnected struct {
		Box  event.BoxID
		Connection uint64
	}
	// StopRequested says that the process is to end.
	StopRequested struct{}
)

func (*Tick) isEvent()         {}
func (*MessageReceived) isEvent()       {}
func (*LogSaved) isEvent()          {}
func (*JoinRequested) isEvent()      {}
func (*DocumentSubmitted) isEvent()   {}
func (*DocumentRequested) isEvent()   {}
func (*HeartbeatReceived) isEvent()   {}
func (*EndpointRemoved) isEvent()   {}
func (*HeartbeatsForwarded) isEvent() {}
func (*CallCancelled) isEvent()       {}
func (*SessionOpened) isEvent()   {}
func (*PingReceived) isEvent()  {}
func (*BatchReceived) isEvent()    {}
func (*SessionClosed) isEvent()   {}
func (*NodesRequested) isEvent()  {}
func (*DocumentDecoded) isEvent()        {}
func (*PeerConnected) isEvent()       {}
func (*PeerDisconnected) isEvent()       {}
func (*StopRequested) isEvent()      {}

// Status says how a call ended.
type Status uint8

// The ends of a call.
const (
	// StatusDone: it was done, or had been done before.
	StatusDone Status = iota + 1
	// StatusElsewhere: another box leads; Answer.Leader says which, if known.
	StatusElsewhere
	// StatusUnknown: it may or may not have been done.
	StatusUnknown
	// StatusUnknownService: an endpoint is of a service that the configuration does not have.
	StatusUnknownService
)

// Answer ends a call.
type Answer struct {
	Call  CallID
	Status Status
	Leader string // operators' address of the leader
	// Next is the operators' address to which an endpoint is to send its next words; empty if it is to choose
	// a box by itself.
	Next     string
	Document Document
	// ValidUntil is when the lease ends on which the answer rests.
	ValidUntil event.Time
}

// Send is a message for a session.
type Send struct {
	Session SessionID
	Message *message.Envelope
}

// Effects is what the world is asked to do.
type Effects struct {
	Ready   consensus.Ready
	Answers []Answer
	Sends   []Send
	Closes  []SessionID
	// Heartbeats are endpoints of which Leader is to be told that they live.
	Heartbeats  []string
	Leader consensus.ID
	// Decode is a document that is to be decoded beside the loop; a Decoded answers. A later one
	// may take the place of one that is not begun. Version 0 is none.
	Decode Document
	// Fatal says why the process must end: it met what only a later build reads. Nothing else of
	// these effects is to be carried out then.
	Fatal  error
	LogRecords []LogRecord
}

// LogRecord is a line for the log: a belief that changed.
type LogRecord struct {
	Message   string
	Fields []Field
}

// Field is a named value of a Note.
type Field struct {
	Name  string
	Value any
}

func (e *Effects) logInfo(text string, fields ...Field) {
	e.LogRecords = append(e.LogRecords, LogRecord{Message: text, Fields: fields})
}

func (e *Effects) reset() {
	e.Ready.Reset()
	e.Answers = e.Answers[:0]
	e.Sends = e.Sends[:0]
	e.Closes = e.Closes[:0]
	e.Heartbeats = nil
	e.Decode = Document{}
	e.Fatal = nil
	e.LogRecords = e.LogRecords[:0]
}
