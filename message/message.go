// SPDX-License-Identifier: MIT

// Package message defines the messages that boxes send each other over links:
// among control boxes those of the replicated log, between entries and the owner
// tickets, decisions and the view of the deployment. They are encoded with gob.
package message

import (
	"lynxramp.org/affinity"
	"lynxramp.org/backpressure"
	"lynxramp.org/budget"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/level"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
)

// MaxRetryAge is how long after its submission a request may be retried. An entry drops it
// afterwards, so that no retry arrives after the retry budget has stopped counting it. It is
// shorter than the time after which callers abandon a stream without output.
const MaxRetryAge = 2 * event.Second

// Envelope is one message. Exactly one of its pointers is set.
type Envelope struct {
	Hello     *Hello
	Redirect  *Redirect
	Consensus *consensus.Message
	Heard     *Heartbeats
	Join      *consensus.Member
	Ping      *Ping
	Pong      *Pong
	View      *View
	Batch     *Batch
	Decisions *Decisions
	Want      *Want
	Nodes     *Nodes
	// Level is the format version that the sender reads, Build its build. They are set in the
	// first message of a connection; see Peer.
	Level level.Level
	Build string
}

// Hello begins a session. An entry sends the state that a new owner needs of it.
type Hello struct {
	// Entry is the entry's name; empty if a control box sends it.
	Entry event.BoxID
	// Life identifies the instance of the entry's process.
	Life uint64
	// Held has the entry's leases with what it has spent of them, Running its running requests:
	// as many as fit into a message. Pings carry the rest; More is set if there is more of Held.
	Held    []budget.Lease
	More    bool
	Running []Running
	// Entries is the number of entries that share endpoints, as last received from an owner.
	Entries int
	// Revision is the newest registry revision that the entry has received.
	Revision uint64
}

// Running is a request that an entry reports as running.
type Running struct {
	Ticket   event.Ticket
	Endpoint event.EndpointID
	Print    poison.Fingerprint
	// Parts has the parts of the prompt if the response has not begun.
	Parts []poison.Fingerprint
}

// Redirect says that the sender is not the owner.
type Redirect struct {
	Leader  string   // link address of the leader; empty if unknown
	Members []string // link addresses of all members
}

// Ping asks the owner for a Pong, which confirms that it still owns the pools.
type Ping struct {
	Sent event.Time // by the sender's clock; returned in the Pong
	// Has is the number of the last lease update that the sender has, Spent the leases of which
	// it has spent since its last report.
	Has   uint64
	Spent []budget.Lease
	// Revision is the newest registry revision that the sender has received.
	Revision uint64
	// More is set if leases held when the session began are still to be reported. Running has
	// further requests that ran then.
	More    bool
	Running []Running
	// Versions is the revision of the last View.Versions that the sender has applied.
	Versions uint64
	// Owned is set if the sender leaves decisions to this owner. Entries that read level.Feedback
	// set it.
	Owned bool
}

// Pong is the reply to a Ping: the sender owned the pools at the time Sent of the Ping.
type Pong struct {
	Sent    event.Time // of the Ping
	Version uint64     // newest configuration version
	Entries int        // number of entries that share endpoints
	// Lent has the leases of the entry, which it may spend without an owner.
	Lent budget.LeaseUpdate
	// Versions is the revision of the newest View.Versions. A receiver that has it may rely on it for affinity.LeaseTerm
	// from Sent.
	Versions uint64
	// Ends is the number up to which the entry's Batch.Ends are committed to the log.
	Ends uint64
}

// Heartbeats reports to the leader from which endpoints another control box has received
// heartbeats that change nothing else.
type Heartbeats struct{ Endpoints []string }

// View sends an entry the state of the deployment, or changes of it.
type View struct {
	// Version is the newest configuration version, Root the root of its hash tree, whose nodes are
	// requested with Want. Version is 0 in a View without configuration.
	Version uint64
	Root    hashtree.Sum
	// Document is the configuration as the operator sent it, for entries that don't read hash
	// trees.
	Document []byte
	// Whole is set if the endpoints replace all known ones.
	Whole     bool
	Endpoints Packed
	// Listed replaces Endpoints for boxes that read level.Instances.
	Listed Listing
	Gone   []event.EndpointID // removed
	// Revision is the registry revision after these changes; 0 if the View doesn't have all
	// changes up to one.
	Revision uint64
	// More is set if further Views complete the session's initial state. The owner sends the
	// next one when a Ping acknowledges this one.
	More bool
	// Signs is set if all endpoints are reachable but those in Silent. An owner begins a session
	// with it, which replaces what an earlier owner has sent.
	Signs   bool
	Silent  []event.EndpointID
	Members []string // link addresses of the control group
	// Asked has the feedback of endpoints whose feedback changed, for entries that read
	// level.Feedback.
	Asked []backpressure.State
	// Restrictions, if set, replaces the restrictions of versions. Entries that read level.Rollouts
	// apply it; the owner marks the restricted endpoints as draining for others.
	Restrictions *Restrictions
	// Suspects, if set, has the requests that must not run without an owner.
	Suspects *Suspects
	// Versions, if set, replaces the versions that streams may have, for entries that read level.Versions.
	Versions *Versions
}

// Versions has the versions that the streams of services may have. Services that are missing may have any.
type Versions struct {
	Revision uint64 // unique among all owners
	List     []ServiceVersions
}

// ServiceVersions has the versions that the streams of a service may have.
type ServiceVersions struct {
	Service  string
	Versions []string
}

// Suspects are the fingerprints of requests during which endpoints terminated.
type Suspects struct{ List []poison.Fingerprint }

// Restrictions has the versions of services whose endpoints are restricted by a roll-out.
type Restrictions struct{ List []Restriction }

// Restriction is the mode of the endpoints of a service that have a version.
type Restriction struct {
	Service, Version string
	Mode             event.EndpointMode
}

// Endpoint is an endpoint, whether it is unreachable, and its mode. Entries are sent the mode as a
// Restriction.
type Endpoint struct {
	registry.Endpoint
	Down bool
	Mode event.EndpointMode
}

// Want asks the owner for nodes of the configuration's hash tree.
type Want struct{ Sums []hashtree.Sum }

// Nodes is the reply to a Want. Unknown has the requested nodes that the owner doesn't have, as they belong to
// another version than its newest.
type Nodes struct {
	List    []Node
	Unknown []hashtree.Sum
}

// Node is a node of the configuration's hash tree.
type Node struct {
	Sum    hashtree.Sum
	Packed hashtree.Packed
}

// Batch is what an entry reports to the owner. Ends are applied first, so that the effect of a run on its
// endpoint is known before the same call is submitted again.
type Batch struct {
	Submit   []Submission
	Withdraw []Withdrawal
	Begun    []event.Begun
	Finish   []Finish
	// Heard has the feedback of endpoints, for owners that read level.Feedback.
	Heard []backpressure.Report
	// Ends are sent again in each session until a Pong confirms that they are committed.
	Ends []poison.Termination
	// Well has the requests of which a run succeeded while the entry was degraded.
	Well []poison.Fingerprint
	// Streams has the versions of streams that this owner may not know, for owners that read level.Versions.
	Streams []affinity.Binding
}

// Submission queues a request for a decision.
type Submission struct {
	Ticket event.Ticket
	// Quota is the request's cost in its team's quota.
	Quota int
	// Repeat is set for a retry: an endpoint had the request before. It draws on the
	// retry budget of its service.
	Repeat bool
	// Print is the fingerprint of the request's content.
	Print poison.Fingerprint
	// Parts has the parts of the prompt that other requests may have.
	Parts []poison.Fingerprint
	// Stream identifies the stream that the request begins. It is empty while the service has one version.
	Stream affinity.Key
	// Resumes identifies the stream that the request resumes if the entry does not know its version.
	Resumes affinity.Key
}

// Withdrawal cancels a submission.
type Withdrawal struct {
	ID      event.RequestID
	Service string
}

// Finish reports the end of a granted request.
type Finish struct {
	event.Finished
	// Unsent is set if no byte was sent to the endpoint.
	Unsent bool
	// Suspect is set if the endpoint was unreachable or responded under another
	// identity.
	Suspect bool
	// NoResponse is set if the request's time ran out, or its caller disconnected, before the endpoint
	// responded on an intact connection. Then Suspect is set, too, unless the entry was overloaded.
	NoResponse bool
	Endpoint   event.EndpointID
	Print      poison.Fingerprint
	Ran        Outcome
	// Abandoned is set if the caller gave the request up before its end.
	Abandoned bool
}

// Outcome is the outcome of a run, as far as it bears on whether the request is poisonous.
type Outcome uint8

const (
	// OutcomeUnknown: the run allows no conclusion. A termination of the endpoint is reported
	// as a Termination.
	OutcomeUnknown Outcome = iota
	// OutcomeSuccess: the endpoint responded completely, without failure.
	OutcomeSuccess
	// OutcomeFailed: the endpoint reported that it failed or didn't run the request, so the
	// request hasn't terminated it.
	OutcomeFailed
)

// Decisions are the owner's decisions on submissions.
type Decisions struct {
	Grants   []event.Granted
	Refusals []event.Refused
}

// Approximate size of a lease and of a running request in a message, in bytes.
const (
	leaseBytes   = 40
	runningBytes = 120
)

// Approximate size in gob of a report on a request, an endpoint's feedback, its ID and a fingerprint, in bytes.
const (
	ticketBytes      = 150
	feedbackBytes    = 40
	idBytes          = 12
	fingerprintBytes = 18
	restrictionBytes = 6 // besides the names
	bindingBytes     = 30
	partBytes        = 9
)

func countParts(list []Running) int {
	n := 0
	for i := range list {
		n += len(list[i].Parts)
	}
	return n
}

// Size implements link.Sized: the approximate size in bytes, without the parts of fixed size.
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
		size += leaseBytes*len(e.Hello.Held) + runningBytes*len(e.Hello.Running) + partBytes*countParts(e.Hello.Running)
	case e.Ping != nil:
		size += leaseBytes*len(e.Ping.Spent) + runningBytes*len(e.Ping.Running) + partBytes*countParts(e.Ping.Running)
	case e.Pong != nil:
		size += leaseBytes * len(e.Pong.Lent.UpTo)
	case e.Batch != nil:
		b := e.Batch
		size += (len(b.Submit)+len(b.Withdraw)+len(b.Begun)+len(b.Finish)+len(b.Ends))*ticketBytes + len(b.Heard)*feedbackBytes + len(b.Well)*fingerprintBytes + len(b.Streams)*bindingBytes
		for i := range b.Submit {
			size += len(b.Submit[i].Parts) * partBytes
		}
		for i := range b.Ends {
			size += len(b.Ends[i].Parts) * partBytes
		}
	case e.Decisions != nil:
		size += (len(e.Decisions.Grants) + len(e.Decisions.Refusals)) * ticketBytes
	case e.View != nil:
		size += len(e.View.Document) + len(e.View.Endpoints) + len(e.View.Listed) + (len(e.View.Gone)+len(e.View.Silent))*idBytes + len(e.View.Asked)*feedbackBytes
		if r := e.View.Restrictions; r != nil {
			for i := range r.List {
				size += len(r.List[i].Service) + len(r.List[i].Version) + restrictionBytes
			}
		}
		if v := e.View.Versions; v != nil {
			for i := range v.List {
				size += len(v.List[i].Service) + restrictionBytes
				for _, version := range v.List[i].Versions {
					size += len(version) + 1
				}
			}
		}
		if s := e.View.Suspects; s != nil {
			size += len(s.List) * fingerprintBytes
		}
	case e.Nodes != nil:
		for i := range e.Nodes.List {
			size += len(e.Nodes.List[i].Packed)
		}
	}
	return size
}
