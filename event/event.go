// SPDX-License-Identifier: MIT

package event

import (
	"strconv"
	"strings"
)

// RequestID names one request of one caller. An entry makes it and no two
// requests ever share one.
type RequestID string

// DispatchID names one offer of a request. A slot that declared an offer void
// never runs it, but may be offered the same request again under another one.
type DispatchID string

// attemptSign stands between the request and the attempt in a DispatchID.
const attemptSign = "."

// Dispatch returns the name of a request's offer after some void attempts.
func (id RequestID) Dispatch(attempt int) DispatchID {
	if attempt == 0 {
		return DispatchID(id)
	}
	return DispatchID(string(id) + attemptSign + strconv.Itoa(attempt))
}

// Request returns the request that is offered.
func (id DispatchID) Request() RequestID {
	base, _, _ := strings.Cut(string(id), attemptSign)
	return RequestID(base)
}

// Attempt returns how many offers of the request came before.
func (id DispatchID) Attempt() int {
	_, rest, _ := strings.Cut(string(id), attemptSign)
	n, _ := strconv.Atoi(rest) // without a sign it is the first, 0
	return n
}

// BoxID names a box of the system, as its settings do.
type BoxID string

// EndpointID names an endpoint, as the catalog does.
type EndpointID string

// Incarnation tells the lives of one process apart. A restarted process has
// another one.
type Incarnation uint64

// Epoch orders the owners of a pool. A later owner has a larger epoch.
type Epoch uint64

// Ticket is what a scheduler knows of a waiting request: its description, never
// its body.
type Ticket struct {
	ID      RequestID
	Team    string
	Rank    int // of the tier; the larger pays more
	Service string
	Pool    string
	// PromptTokens and OutputTokens are estimates; both are 0 for plain services.
	PromptTokens int
	OutputTokens int
	// Prefix has the marks of the prompt, one each engine.MarkTokens, each over
	// all before it.
	Prefix []uint64
	// Deadline is the time left, from when the ticket is received.
	Deadline Span
	NoRepeat bool
	// Attempt counts the earlier offers of the request, all of them void.
	Attempt int
	// Waited is how long the request has waited, from its arrival at the entry.
	Waited Span
	// Key binds the request to at most one run, together with its team; empty
	// for none. Digest tells requests of one key apart.
	Key    string
	Digest uint64
	// Target is the time left until the answer's beginning is no longer useful in
	// full; 0 means that only the deadline counts.
	Target Span
	// Patience is the longest that the request may be expected to wait; 0 is
	// without a limit.
	Patience Span
	// Placed says that the request had a place before, which was of no use, or whose
	// answer broke off: it does not queue anew.
	Placed bool
	// Returned says that the caller was refused before and asks again.
	Returned bool
	// DataCentre is where the request's entry is; empty if it does not matter.
	DataCentre string
	// Avoid has endpoints that must not be chosen: they had the request before.
	Avoid []EndpointID
}

// Event is something that happened: a pointer to one of the event types of this
// package.
type Event interface{ IsEvent() }

// Submitted says that an entry registered a request, perhaps again.
type Submitted struct {
	Entry  BoxID
	Ticket Ticket
}

// Withdrawn says that an entry no longer wants a request that it has seen no
// decision on. If it was granted all the same, it is never offered.
type Withdrawn struct {
	Entry BoxID
	ID    RequestID
	Pool  string
}

// Begun says that the answer of a granted request has begun: its prompt is read.
type Begun struct {
	ID   RequestID
	Pool string
	// After is the time from the hand-over to the answer's beginning.
	After Span
}

// Finished says that a granted request no longer uses its endpoint.
type Finished struct {
	ID   RequestID
	Pool string
	// Tokens is the number of output tokens that were served.
	Tokens int
	// Failed is set when the endpoint did not serve the request to its end.
	Failed bool
	// Void is set when the request has not run there and will not, and Unused when it
	// was not even offered.
	Void   bool
	Unused bool
	// FirstAfter is the time from the hand-over to the answer's beginning; 0 if
	// there was none.
	FirstAfter Span
	// TokenGap is the usual time between the answer's tokens; 0 if unknown.
	TokenGap Span
}

// Adopted says that a request runs at an endpoint by the word of an entry: an
// earlier owner granted it, or the entry itself did without one.
type Adopted struct {
	Entry    BoxID
	Ticket   Ticket
	Endpoint EndpointID
}

// EntryGone says that an entry has ended: what it had waiting or running is over.
type EntryGone struct{ Entry BoxID }

// EndpointSeen carries what is known of an endpoint without a slot of the system
// beside it.
type EndpointSeen struct {
	Endpoint Endpoint
	Address  string // IP:port
	// Down is set while it gives no sign of life, and Unsure from when it failed until
	// it has served again: it gets one request at a time.
	Down   bool
	Unsure bool
	// Limited says that it names a limit: it takes Limit requests a second from all boxes together.
	Limited bool
	Limit   float64
}

// PartChanged says which part of endpoints' limits is to be spent, 1 for all of them.
type PartChanged struct{ Part float64 }

// Rested says that an endpoint wants nothing of an entry for a while.
type Rested struct {
	Entry    BoxID
	Endpoint EndpointID
	For      Span
}

// EndpointGone says that an endpoint has ended for good.
type EndpointGone struct{ ID EndpointID }

// EntrySeen says that an entry is alive and which version of the catalog is in
// force there.
type EntrySeen struct {
	Entry   BoxID
	Version uint64
}

// SlotReported carries what a slot says about its endpoint.
type SlotReported struct{ Report Report }

// PlatformListed carries the IP numbers of the boxes that the platform's list
// says are leaving. The map must not be changed.
type PlatformListed struct{ Leaving map[string]bool }

// Tick says that time passed.
type Tick struct{}

// PoolChanged carries the settings of a pool that are now in force.
type PoolChanged struct{ Pool Pool }

func (*Submitted) IsEvent()      {}
func (*Withdrawn) IsEvent()      {}
func (*Finished) IsEvent()       {}
func (*Begun) IsEvent()          {}
func (*EntrySeen) IsEvent()      {}
func (*SlotReported) IsEvent()   {}
func (*PlatformListed) IsEvent() {}
func (*Tick) IsEvent()           {}
func (*PoolChanged) IsEvent()    {}
func (*Adopted) IsEvent()        {}
func (*EntryGone) IsEvent()      {}
func (*EndpointSeen) IsEvent()   {}
func (*EndpointGone) IsEvent()   {}
func (*PartChanged) IsEvent()    {}
func (*Rested) IsEvent()         {}

// Report is a slot's regular message about its endpoint.
type Report struct {
	Endpoint    EndpointID
	Pool        string
	Address     string // of the slot, as IP:port
	Incarnation Incarnation
	Leaving     bool
	// Down is set while the endpoint does not answer its slot.
	Down bool
	// Running has the offers that the slot took and that have not ended.
	Running []DispatchID
	// Waiting is the queue length that the endpoint itself told of, and LoadAge
	// the age of that figure.
	Waiting int
	LoadAge Span
	// TokenGap is the measured time between tokens; 0 is unknown.
	TokenGap Span
}

// Pool has the settings of a pool that its scheduler needs.
type Pool struct {
	Name string
	// MaxWaiting bounds the queue, in requests.
	MaxWaiting int
	// PrefillWeight is what a second of repeated prefill counts, beside a second
	// of a caller's waiting; 0 stands for 1.
	PrefillWeight float64
	Endpoints     []Endpoint
	// Profile tells how fast an endpoint of speed 1 is.
	Profile Profile
	// LeastOutstanding places each request where the fewest run, in the order of
	// arrival within its rank and without a forecast: the baseline that the scheduler
	// is compared with.
	LeastOutstanding bool
	// Discovered says that endpoints tell of themselves (EndpointSeen) instead of
	// standing in Endpoints.
	Discovered bool
}

// Profile is the speed of an endpoint of speed 1. Zero values stand for the
// reference engine's.
type Profile struct {
	PrefillRate float64 // prompt tokens a second
	TokenGap    Span    // between a stream's tokens
	CallTime    Span    // of a call without tokens
}

// Endpoint has the settings of an endpoint that its scheduler needs.
type Endpoint struct {
	ID EndpointID
	// Concurrency is the number of requests it may have at once.
	Concurrency int
	// Speed is relative; 1 is the reference engine. It counts until the slot
	// has measured.
	Speed float64
	// Leaving endpoints get no new work.
	Leaving bool
	// DataCentre is where the endpoint is; empty if it does not matter.
	DataCentre string
}

// Effects is what the world is asked to do, in the order of each slice. The
// caller owns it and may reuse it after Reset.
type Effects struct {
	Grants   []Granted
	Refusals []Refused
	// Dropped has requests whose entry fell silent.
	Dropped []RequestID
}

// Reset empties e and keeps its memory.
func (e *Effects) Reset() {
	e.Grants = e.Grants[:0]
	e.Refusals = e.Refusals[:0]
	e.Dropped = e.Dropped[:0]
}

// Granted tells an entry to offer a request to a slot.
type Granted struct {
	Entry       BoxID
	ID          RequestID
	Endpoint    EndpointID
	Address     string
	Incarnation Incarnation
	// Attempt is the ticket's.
	Attempt int
	// Fresh asks for a new connection: the endpoint failed lately, and on one that was
	// kept the request's fate would be unknown if it is dead.
	Fresh bool
	// Paced says that whoever decided knew of the limits that the endpoint names, or that they are over.
	Paced  bool
	Inputs Inputs
	// Attach, if set, is the dispatch whose answer there is to be fetched:
	// nothing is offered.
	Attach DispatchID
}

// Refused tells an entry that a request is given up, not having run.
type Refused struct {
	Entry  BoxID
	ID     RequestID
	Reason Reason
	// RetryAfter is when the caller should come back.
	RetryAfter Span
	Inputs     Inputs
}

// Inputs are what decided on a request, for the log.
type Inputs struct {
	Ahead   int  // requests that waited before it
	Wait    Span // expected, in the queue or to the answer's beginning
	Running int  // requests at the endpoint, itself included
	Spent   int  // of the team's quota in its window
	Limit   int  // that it may spend
}

// Reason says why a request is given up.
type Reason int

// The reasons of a refusal.
const (
	// ReasonNone is the zero value and no reason.
	ReasonNone Reason = iota
	// ReasonShed: capacity ran short and others had a better right to it.
	ReasonShed
	// ReasonDeadline: the deadline passed, or cannot be met.
	ReasonDeadline
	// ReasonNoPool: there is no such pool.
	ReasonNoPool
	// ReasonClaimed: another request has the key, and its answer is not here.
	ReasonClaimed
	// ReasonKeyReused: another request, with other content, has the key.
	ReasonKeyReused
	// ReasonQuota: the team has spent its quota.
	ReasonQuota
	// ReasonBudget: the service has no repeats left for now.
	ReasonBudget
	// ReasonPoison: endpoints ended under requests of the same content.
	ReasonPoison
	// ReasonRest: all endpoints want nothing of the entry for a while.
	ReasonRest
)

// String returns the reason as logs and answers have it.
func (r Reason) String() string {
	switch r {
	case ReasonShed:
		return "shed"
	case ReasonDeadline:
		return "deadline"
	case ReasonNoPool:
		return "no_pool"
	case ReasonClaimed:
		return "claimed"
	case ReasonKeyReused:
		return "key_reused"
	case ReasonQuota:
		return "quota"
	case ReasonBudget:
		return "retry_budget"
	case ReasonPoison:
		return "ends_endpoints"
	case ReasonRest:
		return "endpoints_rest"
	default:
		return "none"
	}
}
