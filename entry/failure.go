// SPDX-License-Identifier: MIT

package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"lynxramp.org/event"
)

// Headers of requests from callers and of responses to them.
const (
	HeaderTier        = "Lynxramp-Tier"        // requested tier; at most the team's own
	HeaderDeadline    = "Lynxramp-Deadline-Ms" // time limit of the request, in milliseconds
	HeaderNoRepeat    = "Lynxramp-No-Repeat"   // any value: the call must not be repeated
	HeaderIdempotency = "Idempotency-Key"
	HeaderRequestID   = "Lynxramp-Request-Id" // in every response
	HeaderOutcome     = "Lynxramp-Outcome"    // in every response: an Outcome
	HeaderEndpoint    = "Lynxramp-Endpoint"   // in every response to a request that an endpoint may have run
)

// Outcome says whether an endpoint ran a request.
type Outcome int

// The outcomes of a request.
const (
	// NotRun: no endpoint received the request, and none will.
	NotRun Outcome = iota
	// Ran: an endpoint ran it.
	Ran
	// Unknown: the request was sent to a slot and its outcome is not known.
	Unknown
)

// String returns the outcome as it appears in HeaderOutcome.
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

// Failure is the response to a request that was not served. As an error it has the
// code and the message that the caller receives.
type Failure struct {
	Status  int    // HTTP status
	Code    string // machine-readable, such as "shed"
	Message string // human-readable
	Outcome Outcome
	// RetryAfter is sent as the Retry-After header; 0 sends none.
	RetryAfter event.Duration
}

func (f *Failure) Error() string { return f.Code + ": " + f.Message }

// failureBody is the JSON shape of an error, in the form that clients of the
// completions API expect.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// write sends the failure as the response.
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
	_ = json.NewEncoder(w).Encode(body) // a disconnected caller needs no response
}

func badRequest(code, message string) *Failure {
	return &Failure{Status: http.StatusBadRequest, Code: code, Message: message}
}

// refusal returns the failure that reports a scheduler's refusal.
func refusal(reason event.Reason, after event.Duration) *Failure {
	f := &Failure{Status: http.StatusServiceUnavailable, Code: reason.String(), RetryAfter: after}
	switch reason {
	case event.ReasonDeadline:
		f.Status = http.StatusGatewayTimeout
		f.Message = "the request cannot run within its deadline"
	case event.ReasonShed:
		f.Status = http.StatusTooManyRequests
		f.Message = "capacity is short; retry after the time in Retry-After"
	case event.ReasonClaimed:
		f.Status = http.StatusConflict
		f.Outcome = Unknown
		f.RetryAfter = 0
		f.Message = "another request has this idempotency key; it may have run, but its response is not available"
	case event.ReasonKeyReused:
		f.Status = http.StatusUnprocessableEntity
		f.RetryAfter = 0
		f.Message = "another request with different content has this idempotency key"
	default:
		f.Message = "no scheduler serves this pool"
	}
	return f
}
