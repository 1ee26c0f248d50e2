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

// Token names a call that waits for an answer.
type Token uint64

// Event is something that happened to a control box.
type Event interface{ isEvent() }

// The events.
type (
	// Ticked says that time passed.
	Ticked struct{}
	// Received brings a message of the replicated log.
	Received struct{ Message consensus.Message }
	// Saved says that the log is on disk up to an entry.
	Saved struct {
		Index consensus.Index
		Term  consensus.Term
	}
	// JoinAsked says that a box wants to be a member.
	JoinAsked struct{ Member consensus.Member }
	// DocumentSent brings a configuration that was found sound.
	DocumentSent struct {
		Token    Token
		Document Document
	}
	// DocumentRead asks for the newest configuration.
	DocumentRead struct{ Token Token }
	// EndpointTold brings an endpoint's word on itself; the ID in it is the endpoint's name.
	EndpointTold struct {
		Token    Token
		Endpoint registry.Endpoint
	}
	// EndpointLeft says that an endpoint says that it ends.
	EndpointLeft struct {
		Token Token
		Name  string
		Born  uint64 // as in registry.Endpoint
	}
	// EndpointsHeard says that other boxes have heard endpoints that had no news.
	EndpointsHeard struct{ IDs []string }
	// CallGone says that a call does not wait any more.
	CallGone struct{ Token Token }
	// SessionBegan says that an entry connected.
	SessionBegan struct {
		Session SessionID
		Hello   message.Hello
		// Reads and Build are what the entry reads and is.
		Reads level.Level
		Build string
	}
	// SessionPinged brings an entry's question.
	SessionPinged struct {
		Session SessionID
		Ping    message.Ping
	}
	// SessionTold brings what an entry says.
	SessionTold struct {
		Session SessionID
		Batch   *message.Batch
	}
	// SessionEnded says that an entry's connection is gone.
	SessionEnded struct{ Session SessionID }
	// SessionWanted brings an entry's question for nodes of the configuration.
	SessionWanted struct {
		Session SessionID
		Want    *message.Want
	}
	// Decoded brings a document that Effects asked to decode.
	Decoded struct {
		Version  uint64
		Document []byte
		Table    *routing.Table
		Tree     *hashtree.Tree
		Err      error
	}
	// PeerTold says what another control box reads and is that has made a connection.
	PeerTold struct {
		Box   event.BoxID
		Link  uint64 // names the connection
		Reads level.Level
		Build string
	}
	// PeerLost says that such a connection has ended.
	PeerLost struct {
		Box  event.BoxID
		Link uint64
	}
	// StopAsked says that the process is to end.
	StopAsked struct{}
)

func (*Ticked) isEvent()         {}
func (*Received) isEvent()       {}
func (*Saved) isEvent()          {}
func (*JoinAsked) isEvent()      {}
func (*DocumentSent) isEvent()   {}
func (*DocumentRead) isEvent()   {}
func (*EndpointTold) isEvent()   {}
func (*EndpointLeft) isEvent()   {}
func (*EndpointsHeard) isEvent() {}
func (*CallGone) isEvent()       {}
func (*SessionBegan) isEvent()   {}
func (*SessionPinged) isEvent()  {}
func (*SessionTold) isEvent()    {}
func (*SessionEnded) isEvent()   {}
func (*SessionWanted) isEvent()  {}
func (*Decoded) isEvent()        {}
func (*PeerTold) isEvent()       {}
func (*PeerLost) isEvent()       {}
func (*StopAsked) isEvent()      {}

// Status says how a call ended.
type Status uint8

// The ends of a call.
const (
	// StatusDone: it was done, or had been done before.
	StatusDone Status = iota + 1
	// StatusElsewhere: another box leads; Answer.Leader says which, if known.
	StatusElsewhere
	// StatusUnclear: it may or may not have been done.
	StatusUnclear
	// StatusUnknownService: an endpoint is of a service that the configuration does not have.
	StatusUnknownService
)

// Answer ends a call.
type Answer struct {
	Token  Token
	Status Status
	Leader string // operators' address of the leader
	// Next is the operators' address to which an endpoint is to send its next words; empty if it is to choose
	// a box by itself.
	Next     string
	Document Document
	// Until is when the lease ends on which the answer rests.
	Until event.Time
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
	// Heard are endpoints of which Leader is to be told that they live.
	Heard  []string
	Leader consensus.ID
	// Decode is a document that is to be decoded beside the loop; a Decoded answers. A later one
	// may take the place of one that is not begun. Version 0 is none.
	Decode Document
	// Stop says why the process must end: it met what only a later build reads. Nothing else of
	// these effects is to be carried out then.
	Stop  error
	Notes []Note
}

// Note is a line for the log: a belief that changed.
type Note struct {
	Text   string
	Fields []Field
}

// Field is a named value of a Note.
type Field struct {
	Name  string
	Value any
}

func (e *Effects) note(text string, fields ...Field) {
	e.Notes = append(e.Notes, Note{Text: text, Fields: fields})
}

func (e *Effects) reset() {
	e.Ready.Reset()
	e.Answers = e.Answers[:0]
	e.Sends = e.Sends[:0]
	e.Closes = e.Closes[:0]
	e.Heard = nil
	e.Decode = Document{}
	e.Stop = nil
	e.Notes = e.Notes[:0]
}
