// SPDX-License-Identifier: MIT

package control

import (
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/machine"
)

// MessageReceived is a consensus message from another member.
type MessageReceived struct{ Message consensus.Message }

// LogSaved reports that the log is on disk up to an entry.
type LogSaved struct {
	Index consensus.Index
	Term  consensus.Term
}

// JoinRequested asks to add a box as a member. It is answered in the same step.
type JoinRequested struct {
	Member consensus.Member
	Token  uint64
}

// ChangeRequested is an operator's change of the catalog. It is answered when it is applied.
type ChangeRequested struct {
	Change machine.CatalogChange
	Token  uint64
	// Wall is the wall-clock time in Unix milliseconds.
	Wall int64
}

// StopRequested makes this box transfer leadership, as it is about to stop.
type StopRequested struct{}

// WallClock sets the wall-clock time in Unix milliseconds for the timestamps of
// log entries.
type WallClock struct{ Millis int64 }

// IsEvent implements event.Event.
func (*MessageReceived) IsEvent() {}

// IsEvent implements event.Event.
func (*LogSaved) IsEvent() {}

// IsEvent implements event.Event.
func (*JoinRequested) IsEvent() {}

// IsEvent implements event.Event.
func (*ChangeRequested) IsEvent() {}

// IsEvent implements event.Event.
func (*StopRequested) IsEvent() {}

// IsEvent implements event.Event.
func (*WallClock) IsEvent() {}

// Answer is the result of an event with a token.
type Answer struct {
	Token uint64
	// IsLeader is set if this box leads; without it the other fields aren't valid.
	IsLeader bool
	// IsVoter is set by JoinRequested if the box is a voter.
	IsVoter bool
	// Result is that of a ChangeRequested. Duplicate is set if the result was known before.
	Result    machine.Result
	Duplicate bool
}

// Effects collects the effects of steps.
type Effects struct {
	event.Effects
	// Epoch is that of the owner that made the grants and refusals.
	Epoch event.Epoch
	// NewEpoch is set if this box became the owner in these steps.
	NewEpoch bool
	// NewCatalog is set if the owner changed to another catalog version.
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

// Status is the state that callers get after their events.
type Status struct {
	// IsOwner is set if this box owns the pools.
	IsOwner bool
	Epoch   event.Epoch
	// Leader is the address of the leader; empty if unknown.
	Leader string
	// Version is that of the catalog applied on this box.
	Version uint64
}
