// SPDX-License-Identifier: MIT

// Package message has what the processes of a fleet tell each other over links:
// control boxes among themselves (the replicated log), and entries and the owner
// (tickets, decisions, and the view of the deployment).
package message

import (
	"lynxramp.org/backpressure"
	"lynxramp.org/budget"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/level"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
)

// RepeatLife is how long after its submission a request that was sent before may be sent
// again. An entry drops it after that, so that no repeat arrives later than the retry
// budget counts it. It is below the time in which callers give a silent stream up.
const RepeatLife = 2 * event.Second

// Envelope is one message; exactly one field of a pointer is set.
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
	Want      *Want
	Nodes     *Nodes
	// Level and Build are what the sender reads and is. They come with the first message of a
	// box on a connection; see Peer.
	Level level.Level
	Build string
}

// Hello begins a connection. An entry sends it with what a new owner must know
// of it.
type Hello struct {
	// Entry is the entry's name and life; empty of a control box.
	Entry event.BoxID
	// Life tells the lives of the process apart.
	Life uint64
	// Held is what the entry may spend and has spent without an owner since its start, and
	// Running what it has running: as much as a message may have. More says that there is
	// more of Held. Pings tell the rest.
	Held    []budget.Lease
	More    bool
	Running []Running
	// Entries is how many entries share endpoints, as last told by an owner.
	Entries int
	// Revision is that of the newest change of the registry that the entry was told.
	Revision uint64
}

// Running is a request that runs by the word of an entry.
type Running struct {
	Ticket   event.Ticket
	Endpoint event.EndpointID
	Print    poison.Fingerprint
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
	// Has is the number of the last message that lent the sender something, and Spent
	// what it spent of it since it last told.
	Has   uint64
	Spent []budget.Lease
	// Revision is that of the newest change of the registry that the sender was told.
	Revision uint64
	// More says that there is more to tell of what was held when the session began, and
	// Running is more of what ran then.
	More    bool
	Running []Running
	// Owned says that the sender leaves decisions to this owner. Entries that read level.Feedback say it.
	Owned bool
}

// Pong answers a Ping: the sender owned the pools when it was sent, and Version
// was the newest configuration.
type Pong struct {
	Sent    event.Time
	Version uint64
	Entries int // how many entries share endpoints
	// Lent is what the entry may spend without an owner.
	Lent budget.LeaseUpdate
	// Ends is up to which number the entry's ends are in the log.
	Ends uint64
}

// Heard tells the leader which endpoints another box of the group has heard, with
// nothing new about them.
type Heard struct{ Endpoints []string }

// View brings news of the deployment.
type View struct {
	// Version is that of the newest configuration, and Root the root of its tree, whose nodes the
	// owner gives who asks (Want). 0 in a View that says nothing of it.
	Version uint64
	Root    hashtree.Sum
	// Document is the configuration of that version as its operator sent it, for entries that
	// read no trees.
	Document []byte
	// Whole says that Endpoints replaces all that was known.
	Whole     bool
	Endpoints Packed
	// Listed takes the place of Endpoints for boxes that read level.Instances.
	Listed Listing
	Gone   []event.EndpointID
	// Revision is that of the registry with these changes; 0 in a View that has not all up to
	// one.
	Revision uint64
	// More says that there is more to tell of what the session begins with, which the owner
	// sends when a Ping says that this is there.
	More bool
	// Signs says that all endpoints give signs of life but those in Silent. An owner begins
	// a session with it: what an earlier one believed counts no more.
	Signs   bool
	Silent  []event.EndpointID
	Members []string
	// Asked is what endpoints ask for, of those of whom that changed. It is sent to entries that read level.Feedback.
	Asked []backpressure.State
	// Suspects has the requests, if it is set, that must not run without an owner.
	Suspects *Suspects
}

// Suspects are requests under which endpoints ended.
type Suspects struct{ List []poison.Fingerprint }

// Endpoint is an endpoint and whether it gives signs of life.
type Endpoint struct {
	registry.Endpoint
	Down bool
}

// Want asks the owner for nodes of the configuration's tree.
type Want struct{ Sums []hashtree.Sum }

// Nodes answers a Want. Unknown are those that the owner does not have: they are of another version
// than its newest.
type Nodes struct {
	List    []Node
	Unknown []hashtree.Sum
}

// Node is one node.
type Node struct {
	Sum    hashtree.Sum
	Packed hashtree.Packed
}

// Batch is what an entry tells the owner. Ends go before all else: what a run did to its endpoint
// is known before the call that ran is submitted again.
type Batch struct {
	Submit   []Submission
	Withdraw []Withdrawal
	Begun    []event.Begun
	Finish   []Finish
	// Heard has what endpoints asked for in answers. It is sent to owners that read level.Feedback.
	Heard []backpressure.Report
	// Ends are told again in each session until a Pong says that they are in the log.
	Ends []poison.End
	// Well has the requests of which a run ended well while no owner was told.
	Well []poison.Fingerprint
}

// Submission is a request that waits for a decision.
type Submission struct {
	Ticket event.Ticket
	// Quota is what the request counts against its team's quota.
	Quota int
	// Repeat says that an endpoint had the request before; it draws on the retry
	// budget of its service.
	Repeat bool
	// Print tells requests of the same content.
	Print poison.Fingerprint
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
	Print    poison.Fingerprint
	// Ran is what the run told of its request.
	Ran Ran
}

// Ran is what a run told of its request.
type Ran uint8

// What a run may tell.
const (
	// RanUnclear: nothing. An End tells that the endpoint ended.
	RanUnclear Ran = iota
	// RanWell: the endpoint answered it whole, with no failure.
	RanWell
	// RanAlive: the endpoint failed it, or has not run it, and said so.
	RanAlive
)

// Decisions is what the owner decided.
type Decisions struct {
	Grants   []event.Granted
	Refusals []event.Refused
}

// What an account and a running request take in a message, about, in bytes.
const (
	holdingSize = 40
	runningSize = 120
)

// About how long a word on a request, what an endpoint asks for, its id and a print are as gob, in bytes.
const (
	wordBytes  = 150
	askedBytes = 40
	idBytes    = 12
	printBytes = 18
)

// Size implements link.Sized: about how many bytes the message takes. What is of fixed size in it
// counts as nothing.
func (e *Envelope) Size() int {
	size := 0
	switch {
	case e.Consensus != nil:
		for i := range e.Consensus.Entries {
			size += len(e.Consensus.Entries[i].Data)
		}
		if s := e.Consensus.Snapshot; s != nil {
			size += len(s.Data)
		}
	case e.Hello != nil:
		size += holdingSize*len(e.Hello.Held) + runningSize*len(e.Hello.Running)
	case e.Ping != nil:
		size += holdingSize*len(e.Ping.Spent) + runningSize*len(e.Ping.Running)
	case e.Pong != nil:
		size += holdingSize * len(e.Pong.Lent.UpTo)
	case e.Batch != nil:
		b := e.Batch
		size += (len(b.Submit)+len(b.Withdraw)+len(b.Begun)+len(b.Finish)+len(b.Ends))*wordBytes + len(b.Heard)*askedBytes + len(b.Well)*printBytes
	case e.Decisions != nil:
		size += (len(e.Decisions.Grants) + len(e.Decisions.Refusals)) * wordBytes
	case e.View != nil:
		size += len(e.View.Document) + len(e.View.Endpoints) + len(e.View.Listed) + (len(e.View.Gone)+len(e.View.Silent))*idBytes + len(e.View.Asked)*askedBytes
		if s := e.View.Suspects; s != nil {
			size += len(s.List) * printBytes
		}
	case e.Nodes != nil:
		for i := range e.Nodes.List {
			size += len(e.Nodes.List[i].Packed)
		}
	}
	return size
}
