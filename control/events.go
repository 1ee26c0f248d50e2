// SPDX-License-Identifier: MIT

package control

import (
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/machine"
)

// MessageReceived is a message of the replicated log.
type MessageReceived struct{ Message consensus.Message }

// LogSaved says that the log is on disk up to an entry.
type LogSaved struct {
	Index consensus.Index
	Term  consensus.Term
}

// JoinAsked is a box's wish to be a member. Its Answer comes at once.
type JoinAsked struct {
	Member consensus.Member
	Token  uint64
}

// ChangeAsked is an operator's command. Its Answer comes when it is applied.
type ChangeAsked struct {
	Change machine.CatalogChange
	Token  uint64
	// Wall is the time in milliseconds since 1970.
	Wall int64
}

// StopAsked says that this box is to stop: another is to lead.
type StopAsked struct{}

// WallClock brings the time in milliseconds since 1970, for what is written
// with a time into the log.
type WallClock struct{ Millis int64 }

// IsEvent implements event.Event.
func (*MessageReceived) IsEvent() {}

// IsEvent implements event.Event.
func (*LogSaved) IsEvent() {}

// IsEvent implements event.Event.
func (*JoinAsked) IsEvent() {}

// IsEvent implements event.Event.
func (*ChangeAsked) IsEvent() {}

// IsEvent implements event.Event.
func (*StopAsked) IsEvent() {}

// IsEvent implements event.Event.
func (*WallClock) IsEvent() {}

// Answer is what became of an event with a token.
type Answer struct {
	Token uint64
	// Leads is false when this box does not lead: nothing is known then.
	Leads bool
	// Done is a join's: the box is a voter.
	Done bool
	// Result is a change's. Again is set when it was known before.
	Result machine.Result
	Again  bool
}

// Effects is all that follows from steps.
type Effects struct {
	event.Effects
	// Epoch is the owner's to whom grants and refusals belong.
	Epoch event.Epoch
	// NewEpoch is set when this box became the owner in these steps.
	NewEpoch bool
	// NewCatalog is set when the owner has another version in force.
	NewCatalog bool
	Ready      consensus.Ready
	Answers    []Answer
}

// Reset empties e and keeps its memory.
func (e *Effects) Reset() {
	e.Effects.Reset()
	e.Epoch = 0
	e.NewEpoch = false
	e.NewCatalog = false
	e.Ready.Reset()
	e.Answers = e.Answers[:0]
}

// Status is what callers need to know of a State after their events.
type Status struct {
	// Owner is set while this box owns the pools.
	Owner bool
	Epoch event.Epoch
	// Leader is the address of the box that leads, if it is known.
	Leader string
	// Version is of the catalog that this box has applied.
	Version uint64
}
