// SPDX-License-Identifier: MIT

// Package message has what the processes of a fleet tell each other over links:
// control boxes among themselves (the replicated log), and entries and the owner
// (tickets, decisions, and the view of the deployment).
package message

import (
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/registry"
)

// Silence is how long one side of a session may leave the other without a word. After it
// an owner takes an entry for away, and an entry its owner for lost. An entry then waits
// a little more before it decides alone, so that the owner is first to act on it.
const Silence = 500 * event.Millisecond

// Envelope is one message; exactly one field is set.
type Envelope struct {
	Hello     *Hello
	Redirect  *Redirect
	Consensus *consensus.Message
	Heard     *Heard
	Join      *consensus.Member
	Ping      *Ping
	Pong      *Pong
	View      *View
	Batch     *Batch
	Decisions *Decisions
}

// Hello begins a connection. An entry sends it with what a new owner must know
// of it.
type Hello struct {
	// Entry is the entry's name and life; empty of a control box.
	Entry event.BoxID
	// Life tells the lives of the process apart.
	Life uint64
	// Spent is all that was spent at the entry lately, and SpentAlone the part of
	// it that no owner granted.
	Spent      Ledger
	SpentAlone Ledger
	Running    []Running
	// Entries is how many entries share the quotas, as last told by an owner.
	Entries int
	// Age is how long the process lives; of what it spent before it knows nothing.
	Age event.Span
}

// Ledger is what was spent in the last windows.
type Ledger struct {
	Teams    []Spending // of quotas
	Requests []Spending // sent, by service
	Repeats  []Spending // of these, sent again
}

// Spending is an amount that was spent some time ago.
type Spending struct {
	Name   string
	Age    event.Span
	Amount int
}

// Running is a request that runs by the word of an entry.
type Running struct {
	Ticket   event.Ticket
	Endpoint event.EndpointID
}

// Redirect says that the sender is not the owner.
type Redirect struct {
	Leader  string   // link address of the leader; empty if unknown
	Members []string // link addresses of all members
}

// Ping asks the owner whether it still is, and tells how long the sender has
// gone without it.
type Ping struct {
	Sent event.Time // by the sender's clock; given back
}

// Pong answers a Ping: the sender owned the pools when it was sent, and Version
// was the newest configuration.
type Pong struct {
	Sent    event.Time
	Version uint64
	Entries int // how many entries share quotas and budgets
	// Tight has the quotas that are more than half spent.
	Tight []Allowance
}

// Allowance is what is left of a team's quota, and what comes free of it in each of
// the next seconds, as what was spent leaves the quota's window.
type Allowance struct {
	Name  string
	Left  int
	Freed []int
}

// Heard tells the leader which endpoints another box of the group has heard, with
// nothing new about them.
type Heard struct{ Endpoints []string }

// View brings news of the deployment. Document is empty when it has not changed.
type View struct {
	Document []byte
	Version  uint64
	// Whole says that Endpoints replaces all that was known.
	Whole     bool
	Endpoints []Endpoint
	Gone      []event.EndpointID
	Members   []string
}

// Endpoint is an endpoint and whether it gives signs of life.
type Endpoint struct {
	registry.Endpoint
	Down bool
}

// Batch is what an entry tells the owner, in this order.
type Batch struct {
	Submit   []Submission
	Withdraw []Withdrawal
	Begun    []event.Begun
	Finish   []Finish
}

// Submission is a request that waits for a decision.
type Submission struct {
	Ticket event.Ticket
	// Quota is what the request counts against its team's quota.
	Quota int
	// Repeat says that an endpoint had the request before; it draws on the retry
	// budget of its service.
	Repeat bool
}

// Withdrawal takes a submission back.
type Withdrawal struct {
	ID      event.RequestID
	Service string
}

// Finish ends a request that was granted.
type Finish struct {
	event.Finished
	// Unsent says that not a byte left for the endpoint.
	Unsent bool
	// Suspect says that the endpoint could not be reached or did not answer as
	// itself.
	Suspect  bool
	Endpoint event.EndpointID
}

// Decisions is what the owner decided.
type Decisions struct {
	Grants   []event.Granted
	Refusals []event.Refused
}
