// SPDX-License-Identifier: MIT

package entry

import (
	"crypto/rand"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lynxramp.org/catalog"
	"lynxramp.org/engine"
	"lynxramp.org/event"
)

// Limits on what a caller may send.
const (
	maxDeadline = time.Hour
	maxKeyBytes = 256
)

// request is a validated request of a caller.
type request struct {
	ticket   event.Ticket
	team     *catalog.Team
	tier     catalog.Tier
	service  *catalog.Service
	method   string
	path     string      // at the endpoint, including the query
	header   http.Header // headers that are forwarded
	body     []byte
	arrived  time.Time
	deadline time.Time
}

// dispatch returns the dispatch id of the request's current attempt.
func (q *request) dispatch() event.DispatchID { return q.ticket.ID.Dispatch(q.ticket.Attempt) }

// newID returns a unique request id.
func newID() event.RequestID { return event.RequestID(rand.Text()) }

// authenticate returns the team that the caller's key belongs to.
func authenticate(x *catalog.Index, h http.Header) (*catalog.Team, *Failure) {
	key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if ok {
		if t := x.TeamByKey(key); t != nil {
			return t, nil
		}
	}
	return nil, &Failure{
		Status:  http.StatusUnauthorized,
		Code:    "unknown_key",
		Message: "the Authorization header has no key of a team",
	}
}

// readBody reads a request body within the limits on size and time.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Failure) {
	if r.ContentLength > e.config.MaxBody {
		return nil, tooLarge(e.config.MaxBody)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(e.config.BodyTimeout)); err != nil {
		return nil, badRequest("body", "cannot set a deadline for reading the body")
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, e.config.MaxBody), r.ContentLength)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge(e.config.MaxBody)
	}
	if err != nil {
		return nil, badRequest("body", "the body is incomplete")
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, badRequest("body", "the connection was closed")
	}
	return body, nil
}

// readAll reads r to EOF; size is its length, or -1 if that is unknown.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(r, body)
	return body, err
}

func tooLarge(limit int64) *Failure {
	return &Failure{
		Status:  http.StatusRequestEntityTooLarge,
		Code:    "body_too_large",
		Message: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes",
	}
}

// parseCompletion builds the request of a completions call.
func parseCompletion(x *catalog.Index, t *catalog.Team, r *http.Request, body []byte) (*request, *Failure) {
	parsed, err := engine.ParseCompletion(body)
	if err != nil {
		return nil, badRequest("bad_body", err.Error())
	}
	s := x.ServiceByModel(parsed.Model)
	if s == nil {
		return nil, &Failure{Status: http.StatusNotFound, Code: "unknown_model", Message: "no service has this model"}
	}
	q, failure := newRequest(x, t, s, r, body)
	if failure != nil {
		return nil, failure
	}
	text := parsed.Text()
	q.path = r.URL.Path
	q.ticket.PromptTokens = engine.EstimateTokens(text)
	q.ticket.OutputTokens = parsed.MaxTokens
	q.ticket.Prefix = engine.SampleHashes(engine.BlockHashes(parsed.Model, text))
	return q, nil
}

// parsePlainCall builds the request of a call to a plain service; rest is the path
// below the service's name.
func parsePlainCall(x *catalog.Index, t *catalog.Team, r *http.Request, name, rest string, body []byte) (*request, *Failure) {
	s := x.ServiceByName(name)
	if s == nil || s.Kind != catalog.KindPlain {
		return nil, &Failure{Status: http.StatusNotFound, Code: "unknown_service", Message: "there is no such plain service"}
	}
	q, failure := newRequest(x, t, s, r, body)
	if failure != nil {
		return nil, failure
	}
	q.path = rest
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	return q, nil
}

// newRequest validates the parts that all calls share and returns the request.
func newRequest(x *catalog.Index, t *catalog.Team, s *catalog.Service, r *http.Request, body []byte) (*request, *Failure) {
	tier, failure := chooseTier(x, t, s, r.Header)
	if failure != nil {
		return nil, failure
	}
	timeLeft, failure := chooseDeadline(s, r.Header)
	if failure != nil {
		return nil, failure
	}
	key := r.Header.Get(HeaderIdempotency)
	if len(key) > maxKeyBytes {
		return nil, badRequest("bad_key", HeaderIdempotency+" is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	now := time.Now()
	return &request{
		team: t, tier: tier, service: s,
		method: r.Method, header: forwardedHeaders(r.Header), body: body,
		arrived: now, deadline: now.Add(timeLeft),
		ticket: event.Ticket{
			ID:       newID(),
			Team:     t.Name,
			Rank:     tier.Rank,
			Service:  s.Name,
			Pool:     s.Pool,
			Deadline: timeLeft,
			Key:      key,
			Digest:   digest(key, r, body),
			NoRepeat: s.NoRepeat || r.Header.Get(HeaderNoRepeat) != "",
		},
	}, nil
}

// digest identifies the content of a request with an idempotency key, so that a reuse
// of the key for other content is detected. It is 0 without a key.
func digest(key string, r *http.Request, body []byte) uint64 {
	if key == "" {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + " " + r.URL.RequestURI() + "\n") // Digest's writes never return an error
	_, _ = d.Write(body)
	return d.Sum64()
}

// chooseTier returns the tier that the caller requests, which must be no higher than
// the team's own, or the default tier if none is requested.
func chooseTier(x *catalog.Index, t *catalog.Team, s *catalog.Service, h http.Header) (catalog.Tier, *Failure) {
	requested := h.Get(HeaderTier)
	if requested == "" {
		return x.TierFor(t, s), nil
	}
	tier, ok := x.Tier(requested)
	if !ok {
		return tier, badRequest("unknown_tier", "there is no such tier")
	}
	own, _ := x.Tier(t.Tier)
	if tier.Rank > own.Rank {
		return tier, &Failure{Status: http.StatusForbidden, Code: "tier_not_allowed", Message: "the team has no right to this tier"}
	}
	return tier, nil
}

func chooseDeadline(s *catalog.Service, h http.Header) (time.Duration, *Failure) {
	given := h.Get(HeaderDeadline)
	if given == "" {
		return time.Duration(s.Deadline), nil
	}
	ms, err := strconv.ParseInt(given, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return 0, badRequest("bad_deadline", HeaderDeadline+" is not a number of milliseconds up to an hour")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// forwardedHeaders returns the caller's headers without those that address this
// system. The caller's key must not reach an endpoint.
func forwardedHeaders(h http.Header) http.Header {
	forwarded := make(http.Header, len(h))
	for name, values := range h {
		if name != "Authorization" && name != HeaderIdempotency && !strings.HasPrefix(name, "Lynxramp-") {
			forwarded[name] = values
		}
	}
	return forwarded
}
