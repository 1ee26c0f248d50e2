// SPDX-License-Identifier: MIT

package rollout

import (
	"fmt"

	"lynxramp.org/event"
)

// Order asks to move the traffic of a service to endpoints of a version within a duration.
type Order struct {
	Service, Version string
	Duration         event.Duration
}

// Phase is the phase of an order.
type Phase uint8

// Phases of an order, in their order. The last two are final.
const (
	// PhaseCanary: the version is unproved, and its exposure is bounded.
	PhaseCanary Phase = iota
	// PhaseShifting: the version was judged good, and new requests go to it only.
	PhaseShifting
	// PhaseCompleted: the other versions are no longer used.
	PhaseCompleted
	// PhaseRolledBack: the version is no longer used.
	PhaseRolledBack
)

var phaseNames = [...]string{"canary", "shifting", "completed", "rolled_back"}

// String returns the phase as written in the log and in metrics.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return fmt.Sprintf("phase(%d)", uint8(p))
}

// IsFinal reports whether the order ended.
func (p Phase) IsFinal() bool { return p >= PhaseCompleted }

// MarshalText encodes the phase for the replicated log.
func (p Phase) MarshalText() ([]byte, error) {
	if int(p) >= len(phaseNames) {
		return nil, fmt.Errorf("roll-out phase %d is unknown", uint8(p))
	}
	return []byte(phaseNames[p]), nil
}

// UnmarshalText decodes what MarshalText encoded.
func (p *Phase) UnmarshalText(text []byte) error {
	for i, name := range phaseNames {
		if name == string(text) {
			*p = Phase(i)
			return nil
		}
	}
	return fmt.Errorf("roll-out phase %q is unknown", text)
}

// Record is the state of an order in the replicated log.
type Record struct {
	Order
	// Number increases with each order of the deployment.
	Number uint64
	Phase  Phase
	// Elapsed is the time from the order to the making of the record.
	Elapsed event.Duration
	// Ceiling is the most requests that all owners until the next record may have granted
	// to the version while it is unproved.
	Ceiling int
	// Requests is a lower bound of the requests of the service since the order.
	Requests int
}

// Limits bounds the exposure of an unproved version: at most Share x (requests of the
// service since the order) + Slack requests reach its endpoints.
type Limits struct {
	Share float64
	Slack int
}

// Result is the outcome of submitting an order.
type Result uint8

// Results of submitting an order.
const (
	// ResultPropose: the record must be committed before the order is acknowledged.
	ResultPropose Result = iota
	// ResultKnown: the order is already committed, and can be acknowledged.
	ResultKnown
	// ResultConflict: another order for the service is in progress.
	ResultConflict
)
