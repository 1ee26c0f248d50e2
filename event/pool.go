// SPDX-License-Identifier: MIT

package event

// Pool has the settings of a pool for its scheduler.
type Pool struct {
	Name string
	// MaxWaiting bounds the queue, in requests.
	MaxWaiting int
	// PrefillWeight is the cost of a second of repeated prefill relative to a
	// second of a caller's waiting; 0 means 1.
	PrefillWeight float64
	Endpoints     []Endpoint
	// Profile is the performance of an endpoint of speed 1.
	Profile Profile
	// LeastOutstanding selects the baseline policy: each request goes to the endpoint
	// with the fewest running, in order of arrival within its rank, without a forecast.
	LeastOutstanding bool
	// ExpectedWork selects the order of waiting requests by their own expected work,
	// and refusals by it; otherwise they are in order of arrival.
	ExpectedWork bool
	// ExpectedWorkIfSlowed turns ExpectedWork on once an endpoint reports its slowdown.
	ExpectedWorkIfSlowed bool
	// Discovered is set when endpoints register themselves (EndpointUpdated) instead
	// of being listed in Endpoints.
	Discovered bool
}

// Profile is the performance of an endpoint of speed 1. Zero fields take the
// values of the reference engine.
type Profile struct {
	PrefillRate float64  // prompt tokens a second
	TokenGap    Duration // between a stream's tokens
	CallTime    Duration // duration of a call without tokens
}

// Endpoint has the settings of an endpoint for its scheduler.
type Endpoint struct {
	ID EndpointID
	// Concurrency is the maximum number of concurrent requests.
	Concurrency int
	// Speed is relative to the reference engine. It is used until the slot has
	// measured the speed.
	Speed float64
	// Draining endpoints get no new requests.
	Draining bool
	// DataCentre is the location of the endpoint; empty for no preference.
	DataCentre string
	// Mode restricts the endpoint during a roll-out.
	Mode EndpointMode
	// Version is that of its software; empty if unknown.
	Version string
}

// EndpointMode says which new requests an endpoint may get during a roll-out.
type EndpointMode uint8

// The modes of an endpoint.
const (
	// ModeNormal: no restriction.
	ModeNormal EndpointMode = iota
	// ModeCanary: its version is unproved. It gets at most the requests of CanaryAllowanceChanged, and
	// only from an owner.
	ModeCanary
	// ModeBlocked: it gets none.
	ModeBlocked
)

// String returns the mode as used in logs.
func (m EndpointMode) String() string {
	switch m {
	case ModeCanary:
		return "canary"
	case ModeBlocked:
		return "blocked"
	default:
		return "normal"
	}
}
