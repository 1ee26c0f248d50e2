// SPDX-License-Identifier: MIT

package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"lynxramp.org/event"
)

// Headers towards callers.
const (
	HeaderTier        = "Lynxramp-Tier"        // asked for; no higher than the team's right
	HeaderDeadline    = "Lynxramp-Deadline-Ms" // time the caller gives, in milliseconds
	HeaderNoRepeat    = "Lynxramp-No-Repeat"   // any value: the call may not be repeated
	HeaderIdempotency = "Idempotency-Key"
	HeaderRequestID   = "Lynxramp-Request-Id" // in every answer
	HeaderOutcome     = "Lynxramp-Outcome"    // in every answer: an Outcome
	HeaderEndpoint    = "Lynxramp-Endpoint"   // in every answer that an endpoint may have run
)

// Outcome is what may be said about a request having run.
type Outcome int

// The outcomes of a request.
const (
	// NotRun: no endpoint has seen the request, and none will.
	NotRun Outcome = iota
	// Ran: an endpoint ran it.
	Ran
	// Unknown: it was handed over and its fate is not known.
	Unknown
)

// String returns the outcome as answers have it.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "ran"
	case Unknown:
		return "unknown"
	default:
		return "not-run"
	}
}

// Failure is the answer to a request that was not served. As an error it says
// what the caller is told.
type Failure struct {
	Status  int    // of HTTP
	Code    string // for programs, like "shed"
	Message string // for people
	Outcome Outcome
	// RetryAfter is when to come back; 0 says nothing of it.
	RetryAfter event.Duration
}

// Error implements error.
func (f *Failure) Error() string { return f.Code + ": " + f.Message }

// failureBody is the JSON shape of an error, as callers' clients know it.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// write sends the failure as the whole answer.
func (f *Failure) write(w http.ResponseWriter) {
	kind := "server_error"
	if f.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	if f.RetryAfter > 0 {
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, f.Outcome.String())
	w.WriteHeader(f.Status)
	body := failureBody{Error: failureDetail{
		Message: f.Message,
		Type:    kind,
		Code:    f.Code,
		Outcome: f.Outcome.String(),
	}}
	_ = json.NewEncoder(w).Encode(body) // a caller that is gone needs no answer
}

func badRequest(code, message string) *Failure {
	return &Failure{Status: http.StatusBadRequest, Code: code, Message: message}
}

// refusal returns the failure for a scheduler's refusal.
func refusal(reason event.Reason, after event.Duration) *Failure {
	f := &Failure{Status: http.StatusServiceUnavailable, Code: reason.String(), RetryAfter: after}
	switch reason {
	case event.ReasonDeadline:
		f.Status = http.StatusGatewayTimeout
		f.Message = "the request cannot run within its deadline"
	case event.ReasonShed:
		f.Status = http.StatusTooManyRequests
		f.Message = "capacity is short; come back after the time in Retry-After"
	case event.ReasonClaimed:
		f.Status = http.StatusConflict
		f.Outcome = Unknown
		f.RetryAfter = 0
		f.Message = "another request has this key; it may have run and its answer is not here"
	case event.ReasonKeyReused:
		f.Status = http.StatusUnprocessableEntity
		f.RetryAfter = 0
		f.Message = "another request, with other content, has this key"
	default:
		f.Message = "no scheduler serves this pool"
	}
	return f
}
