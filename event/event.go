// SPDX-License-Identifier: MIT

package event

import (
	"strconv"
	"strings"
)

// RequestID identifies one request of one caller. An entry generates it; it is
// never reused.
type RequestID string

// DispatchID identifies one offer of a request to a slot. A slot never runs an
// offer that it declared void, but may get the same request under another ID.
type DispatchID string

// attemptSeparator separates the request from the attempt in a DispatchID.
const attemptSeparator = "."

// Dispatch returns the ID of the offer that follows attempt void offers.
func (id RequestID) Dispatch(attempt int) DispatchID {
	if attempt == 0 {
		return DispatchID(id)
	}
	return DispatchID(string(id) + attemptSeparator + strconv.Itoa(attempt))
}

// Request returns the ID of the offered request.
func (id DispatchID) Request() RequestID {
	base, _, _ := strings.Cut(string(id), attemptSeparator)
	return RequestID(base)
}

// Attempt returns the number of earlier offers of the request.
func (id DispatchID) Attempt() int {
	_, rest, _ := strings.Cut(string(id), attemptSeparator)
	n, _ := strconv.Atoi(rest) // 0 for the first offer, which has no separator
	return n
}

// BoxID is the name of a box, from its settings.
type BoxID string

// EndpointID identifies an endpoint, by its name in the catalog.
type EndpointID string

// Incarnation identifies one instance of a process; it changes when the process
// restarts.
type Incarnation uint64

// Epoch numbers the owners of a pool. A later owner has a larger epoch.
type Epoch uint64

// Ticket describes a waiting request to a scheduler. It does not have the body.
// Its field names are part of the wire format.
type Ticket struct {
	ID      RequestID
	Team    string
	Rank    int // priority of the tier; larger is higher
	Service string
	Pool    string
	// PromptTokens and OutputTokens are estimates; both are 0 for plain services.
	PromptTokens int
	OutputTokens int
	// Prefix has cumulative hashes of the prompt, one for every engine.SampleTokens
	// tokens.
	Prefix []uint64
	// Deadline is the remaining time, counted from when the ticket is received.
	Deadline Duration
	// CallerTime is the remaining time that the caller gave, also beyond the route's timeout; 0 if
	// it gave none.
	CallerTime Duration
	// NoRepeat is set when the call must not be repeated.
	NoRepeat bool
	// Attempt is the number of earlier offers of the request, all of them void.
	Attempt int
	// Waited is how long the request has waited, from its arrival at the entry.
	Waited Duration
	// Key is the idempotency key, unique within the team: at most one request with
	// it runs. Empty for none. Digest distinguishes requests with the same key.
	Key    string
	Digest uint64
	// Target is the remaining time in which the response should begin; 0 means that
	// only the deadline counts.
	Target Duration
	// Patience is the queue timeout: the request is refused when its expected wait,
	// with the time already waited, exceeds it; 0 is no limit.
	Patience Duration
	// Placed is set when the request was granted before, but was not served or its
	// response broke off: it is not queued behind others again.
	Placed bool
	// Returned is set when the caller was refused before and retries.
	Returned bool
	// DataCentre is the location of the request's entry; empty for no preference.
	DataCentre string
	// Avoid lists endpoints that must not be chosen: they had the request before.
	Avoid []EndpointID
	// Route is the name of the configuration's route.
	Route string
	// ProvedOnly excludes endpoints in ModeCanary.
	ProvedOnly bool
	// Bound is set for a stream that is resumed: it may be granted only to endpoints of Version.
	Bound   bool
	Version string
}

// AfterWait returns the ticket with its times adjusted for a further wait.
func (t Ticket) AfterWait(waited Duration) Ticket {
	t.Waited += waited
	t.Deadline -= waited
	if t.CallerTime > 0 {
		t.CallerTime = max(Millisecond, t.CallerTime-waited)
	}
	t.Target = max(Millisecond, t.Target-waited)
	return t
}

// Event is a pointer to one of the event types of this package.
type Event interface{ IsEvent() }

// Submitted is a request that an entry registers, possibly again.
type Submitted struct {
	Entry  BoxID
	Ticket Ticket
}

// Withdrawn cancels a request that its entry has received no decision on. If it
// was granted in the meantime, it is never offered.
type Withdrawn struct {
	Entry BoxID
	ID    RequestID
	Pool  string
}

// Begun reports that the response to a granted request began: its prefill is done.
type Begun struct {
	ID   RequestID
	Pool string
	// After is the time from sending the request to the beginning of the response.
	After Duration
	// Slowdown is how many times as long as usual the endpoint says that work takes there; 0 if its response
	// did not say. SlowdownAge is the time since the response was received.
	Slowdown    float64
	SlowdownAge Duration
	// Delayed is set if the entry itself may have delayed the request: it was overloaded.
	Delayed bool
}

// Finished reports that a granted request no longer uses its endpoint.
type Finished struct {
	ID   RequestID
	Pool string
	// Tokens is the number of output tokens that were served.
	Tokens int
	// Failed is set when the endpoint did not complete the request.
	Failed bool
	// Void is set when the request did not run there and never will, and Unused when
	// it was not even offered.
	Void   bool
	Unused bool
	// FirstAfter is the time from sending the request to the beginning of the
	// response; 0 if there was no response.
	FirstAfter Duration
	// TokenGap is the typical time between the response's tokens; 0 if unknown.
	TokenGap Duration
	// Slowdown and SlowdownAge are as in Begun; 0 if a Begun event carried them.
	Slowdown    float64
	SlowdownAge Duration
	// Delayed is as in Begun.
	Delayed bool
}

// Adopted is a request that runs at an endpoint without this scheduler's grant,
// as its entry reports: an earlier owner granted it, or the entry itself while
// there was no owner.
type Adopted struct {
	Entry    BoxID
	Ticket   Ticket
	Endpoint EndpointID
}

// EntryRemoved removes an entry with all its waiting and running requests.
type EntryRemoved struct{ Entry BoxID }

// EndpointUpdated has the last observed state of an endpoint that has no slot.
type EndpointUpdated struct {
	Endpoint Endpoint
	Address  string // IP:port
	// Down is set while it is unreachable. HalfOpen is set from a failure until it
	// has served a request again: it gets one request at a time.
	Down     bool
	HalfOpen bool
	// Limited is set when it asked for a limit of Limit requests a second over all boxes.
	Limited bool
	Limit   float64
}

// LimitShareChanged sets the share of the endpoints' rate limits that this
// scheduler may use, from 0 to 1.
type LimitShareChanged struct{ Share float64 }

// CanaryAllowanceChanged sets how many requests may be granted to endpoints in ModeCanary.
// Each such grant takes one.
type CanaryAllowanceChanged struct{ Count int }

// CooldownRequested reports that an endpoint asked an entry to send it nothing for
// a while.
type CooldownRequested struct {
	Entry    BoxID
	Endpoint EndpointID
	For      Duration
}

// EndpointRemoved reports that an endpoint instance terminated.
type EndpointRemoved struct{ ID EndpointID }

// EntryHeartbeat reports that an entry is alive, and the version of the catalog
// that it uses.
type EntryHeartbeat struct {
	Entry   BoxID
	Version uint64
}

// SlotReported carries a slot's report about its endpoint.
type SlotReported struct{ Report Report }

// DrainListUpdated has the IP addresses of the boxes that are draining according
// to the platform. The map must not be modified.
type DrainListUpdated struct{ Draining map[string]bool }

// Tick is sent regularly to trigger what depends on time.
type Tick struct{}

// PoolChanged replaces the settings of a pool.
type PoolChanged struct{ Pool Pool }

func (*Submitted) IsEvent()              {}
func (*Withdrawn) IsEvent()              {}
func (*Finished) IsEvent()               {}
func (*Begun) IsEvent()                  {}
func (*EntryHeartbeat) IsEvent()         {}
func (*SlotReported) IsEvent()           {}
func (*DrainListUpdated) IsEvent()       {}
func (*Tick) IsEvent()                   {}
func (*PoolChanged) IsEvent()            {}
func (*Adopted) IsEvent()                {}
func (*EntryRemoved) IsEvent()           {}
func (*EndpointUpdated) IsEvent()        {}
func (*EndpointRemoved) IsEvent()        {}
func (*LimitShareChanged) IsEvent()      {}
func (*CanaryAllowanceChanged) IsEvent() {}
func (*CooldownRequested) IsEvent()      {}

// Report is a slot's periodic report about its endpoint.
type Report struct {
	Endpoint    EndpointID
	Pool        string
	Address     string // of the slot, IP:port
	Incarnation Incarnation
	Draining    bool
	// Down is set while the endpoint does not respond to its slot.
	Down bool
	// Running lists the offers that the slot accepted and that have not finished.
	Running []DispatchID
	// QueueLength is as the endpoint reported it, and LoadAge the age of that
	// report.
	QueueLength int
	LoadAge     Duration
	// TokenGap is the measured time between tokens; 0 if unknown.
	TokenGap Duration
}
