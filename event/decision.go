// SPDX-License-Identifier: MIT

package event

// Effects are the decisions to carry out, in the order of each slice. The caller
// owns it and may reuse it after Reset.
type Effects struct {
	Grants   []Granted
	Refusals []Refused
	// Dropped lists requests whose entry became unreachable.
	Dropped []RequestID
}

// Reset empties e and keeps its allocated memory.
func (e *Effects) Reset() {
	e.Grants = e.Grants[:0]
	e.Refusals = e.Refusals[:0]
	e.Dropped = e.Dropped[:0]
}

// Granted instructs an entry to offer a request to a slot. Its field names are
// part of the wire format.
type Granted struct {
	Entry       BoxID
	ID          RequestID
	Endpoint    EndpointID
	Address     string
	Incarnation Incarnation
	// Attempt is that of the ticket.
	Attempt int
	// Fresh asks for a new connection: the endpoint failed recently, and if an idle
	// connection were broken, it would be unknown whether the request ran.
	Fresh bool
	// Paced is set when the decision took the endpoint's rate limit, or its removal, into account.
	Paced  bool
	Inputs Inputs
	// Version is that of the endpoint if HasVersion is set, which it is for streams of a service with several versions.
	Version    string
	HasVersion bool
	// Attach, if set, is a dispatch at the endpoint whose response is to be fetched;
	// nothing is offered.
	Attach DispatchID
}

// Refused is the refusal of an entry's request, which has not run.
type Refused struct {
	Entry  BoxID
	ID     RequestID
	Reason Reason
	// RetryAfter is the time after which the caller should retry.
	RetryAfter Duration
	Inputs     Inputs
}

// Inputs are the figures that a decision on a request was based on, for the log.
type Inputs struct {
	Ahead   int      // requests queued before it
	Wait    Duration // expected time in the queue or to the beginning of the response
	Running int      // requests at the endpoint, including this one
	Spent   int      // of the team's quota in its window
	Limit   int      // of the team's quota
	// Run is the expected run time, RunError the standard deviation of the logarithm of run
	// times over expected ones, and Work the group by expected run time; zero if unknown.
	Run      Duration
	RunError float64
	Work     WorkGroup
	// UsualFirst is the expected time to the beginning of the response at an endpoint of usual
	// speed that has the same prompts pending.
	UsualFirst Duration
}

// WorkGroup is a group of the requests of a kind by expected run time.
type WorkGroup uint8

// Groups by expected run time.
const (
	// WorkUnknown is the zero value: the scheduler does not distinguish groups.
	WorkUnknown WorkGroup = iota
	// WorkUsual is none of the following.
	WorkUsual
	// WorkLarge has the 20% below the largest 10%.
	WorkLarge
	// WorkLargest has the largest 10%.
	WorkLargest
	// WorkGroups is the number of groups.
	WorkGroups
)

// String returns the group as written in logs and metrics.
func (g WorkGroup) String() string {
	switch g {
	case WorkUsual:
		return "usual"
	case WorkLarge:
		return "large"
	case WorkLargest:
		return "largest"
	default:
		return "unknown"
	}
}

// Reason is the reason for a refusal.
type Reason int

// Reasons for a refusal.
const (
	// ReasonNone is the zero value: not refused.
	ReasonNone Reason = iota
	// ReasonShed: capacity is short and other requests take precedence.
	ReasonShed
	// ReasonDeadline: the deadline has passed or cannot be met.
	ReasonDeadline
	// ReasonNoPool: the pool does not exist.
	ReasonNoPool
	// ReasonClaimed: another request claimed the idempotency key, and its response
	// cannot be fetched.
	ReasonClaimed
	// ReasonKeyReused: a request with different content claimed the idempotency key.
	ReasonKeyReused
	// ReasonQuota: the team has used up its quota.
	ReasonQuota
	// ReasonBudget: the retry budget of the service is used up.
	ReasonBudget
	// ReasonPoison: endpoints terminated while running requests of the same content.
	ReasonPoison
	// ReasonCooldown: all endpoints asked the entry to send nothing for a while.
	ReasonCooldown
	// ReasonStreamUnknown: it is not known which version began the stream that the request resumes.
	ReasonStreamUnknown
	// ReasonVersionGone: no endpoint has the version that began the stream that the request resumes.
	ReasonVersionGone
	// ReasonPoisonPart: endpoints terminated before they began responses to requests with a part of the same prompt.
	ReasonPoisonPart
)

// String returns the reason as written in logs and responses.
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
	case ReasonCooldown:
		return "endpoints_rest"
	case ReasonStreamUnknown:
		return "stream_unknown"
	case ReasonVersionGone:
		return "version_gone"
	case ReasonPoisonPart:
		return "part_ends_endpoints"
	default:
		return "none"
	}
}
