// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/registry"
	"lynxramp.org/rollout"
	"lynxramp.org/routing"
)

// SessionID identifies a connection of an entry.
type SessionID uint64

// CallID identifies a call that waits for an answer.
type CallID uint64

// Event is an input of a State.
type Event interface{ isEvent() }

// The events.
type (
	// Tick is sent at a fixed interval.
	Tick struct{}
	// MessageReceived carries a message of the replicated log.
	MessageReceived struct{ Message consensus.Message }
	// LogSaved reports that the log is on disk up to an entry.
	LogSaved struct {
		Index consensus.Index
		Term  consensus.Term
	}
	// JoinRequested is a request of a box to become a member.
	JoinRequested struct{ Member consensus.Member }
	// DocumentSubmitted carries a validated configuration.
	DocumentSubmitted struct {
		CallID   CallID
		Document Document
	}
	// DocumentRequested asks for the newest configuration.
	DocumentRequested struct{ CallID CallID }
	// HeartbeatReceived carries the state reported by an endpoint; its ID is the endpoint's name.
	HeartbeatReceived struct {
		CallID   CallID
		Endpoint registry.Endpoint
	}
	// EndpointRemoved reports that an endpoint announced its termination.
	EndpointRemoved struct {
		CallID CallID
		Name   string
		Born   uint64 // as in registry.Endpoint
	}
	// HeartbeatsForwarded carries the endpoints whose unchanged heartbeats another box received.
	HeartbeatsForwarded struct{ IDs []string }
	// CallCancelled reports that a caller no longer waits.
	CallCancelled struct{ CallID CallID }
	// SessionOpened reports that an entry connected.
	SessionOpened struct {
		Session SessionID
		Hello   message.Hello
		// FormatVersion and Build are those of the entry.
		FormatVersion level.Level
		Build         string
	}
	// PingReceived carries a ping of an entry.
	PingReceived struct {
		Session SessionID
		Ping    message.Ping
	}
	// BatchReceived carries a batch of messages of an entry.
	BatchReceived struct {
		Session SessionID
		Batch   *message.Batch
	}
	// SessionClosed reports that the connection of an entry was closed.
	SessionClosed struct{ Session SessionID }
	// NodesRequested is an entry's request for nodes of the configuration tree.
	NodesRequested struct {
		Session SessionID
		Want    *message.Want
	}
	// DocumentDecoded is the result of Effects.Decode.
	DocumentDecoded struct {
		Version  uint64
		Document []byte
		Table    *routing.Table
		Tree     *hashtree.Tree
		Err      error
	}
	// PeerConnected reports a connection of another control box, or its changed format version.
	PeerConnected struct {
		Box           event.BoxID
		Connection    uint64 // identifies the connection
		FormatVersion level.Level
		Build         string
	}
	// PeerDisconnected reports that such a connection was closed.
	PeerDisconnected struct {
		Box        event.BoxID
		Connection uint64
	}
	// RolloutSubmitted carries an operator's order to roll out a version.
	RolloutSubmitted struct {
		CallID CallID
		Order  rollout.Order
	}
	// RolloutRequested asks for the newest roll-out of a service.
	RolloutRequested struct {
		CallID  CallID
		Service string
	}
	// StopRequested reports that the process is to stop.
	StopRequested struct{}
)

func (*Tick) isEvent()                {}
func (*MessageReceived) isEvent()     {}
func (*LogSaved) isEvent()            {}
func (*JoinRequested) isEvent()       {}
func (*DocumentSubmitted) isEvent()   {}
func (*DocumentRequested) isEvent()   {}
func (*HeartbeatReceived) isEvent()   {}
func (*EndpointRemoved) isEvent()     {}
func (*HeartbeatsForwarded) isEvent() {}
func (*CallCancelled) isEvent()       {}
func (*SessionOpened) isEvent()       {}
func (*PingReceived) isEvent()        {}
func (*BatchReceived) isEvent()       {}
func (*SessionClosed) isEvent()       {}
func (*NodesRequested) isEvent()      {}
func (*DocumentDecoded) isEvent()     {}
func (*PeerConnected) isEvent()       {}
func (*PeerDisconnected) isEvent()    {}
func (*RolloutSubmitted) isEvent()    {}
func (*RolloutRequested) isEvent()    {}
func (*StopRequested) isEvent()       {}

// Status is the result of a call.
type Status uint8

// The results of a call.
const (
	// StatusDone: the call was done, now or before.
	StatusDone Status = iota + 1
	// StatusNotLeader: another box leads; Answer.LeaderAddress has its address, if known.
	StatusNotLeader
	// StatusUnknown: the call may or may not have been done.
	StatusUnknown
	// StatusUnknownService: the configuration does not have the endpoint's service.
	StatusUnknownService
	// StatusConflict: another order for the service is in progress.
	StatusConflict
	// StatusNoRollout: there never was an order for the service.
	StatusNoRollout
)

// Answer is the answer to a call.
type Answer struct {
	CallID        CallID
	Status        Status
	LeaderAddress string // operator address of the leader
	// HeartbeatAddress is the operator address for an endpoint's next heartbeats; empty if the endpoint
	// is to choose a box.
	HeartbeatAddress string
	Document         Document
	Rollout          rollout.Record
	// ValidUntil is the end of the lease under which the answer was given.
	ValidUntil event.Time
}

// Send is a message for a session.
type Send struct {
	Session SessionID
	Message *message.Envelope
}

// Effects are the actions that follow from an event.
type Effects struct {
	Ready   consensus.Ready
	Answers []Answer
	Sends   []Send
	Closes  []SessionID
	// Heartbeats are the ids of live endpoints, to be forwarded to Leader.
	Heartbeats []string
	Leader     consensus.ID
	// Decode is a document to decode outside the event loop; a DocumentDecoded follows. A later
	// document may replace one that is not started. Version 0 is none.
	Decode Document
	// RolloutPhases are the orders of roll-outs whose phase changed.
	RolloutPhases []RolloutPhase
	// Fatal is set if the process must stop because it found data that only a later build can
	// read. The other effects must be ignored then.
	Fatal      error
	LogRecords []LogRecord
}

// LogRecord is a line for the log file: a change of state.
type LogRecord struct {
	Message string
	Fields  []Field
}

// Field is a named value of a LogRecord.
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
	e.RolloutPhases = e.RolloutPhases[:0]
	e.Fatal = nil
	e.LogRecords = e.LogRecords[:0]
}
