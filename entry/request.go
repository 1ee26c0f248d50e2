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

// Bounds of what a caller may ask.
const (
	maxDeadline = time.Hour
	maxKeyBytes = 256
)

// request is one caller's request, checked.
type request struct {
	ticket   event.Ticket
	team     *catalog.Team
	tier     catalog.Tier
	service  *catalog.Service
	method   string
	path     string      // at the endpoint, with its query
	header   http.Header // what is passed on
	body     []byte
	arrived  time.Time
	deadline time.Time
}

// dispatch returns the name of the request's present offer.
func (q *request) dispatch() event.DispatchID { return q.ticket.ID.Dispatch(q.ticket.Attempt) }

// newID returns an id that no other request has.
func newID() event.RequestID { return event.RequestID(rand.Text()) }

// authenticate finds the team by the caller's key.
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

// readBody reads a request's body within the bounds of size and time.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Failure) {
	if r.ContentLength > e.config.MaxBody {
		return nil, tooLarge(e.config.MaxBody)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(e.config.BodyTime)); err != nil {
		return nil, badRequest("body", "the body cannot be read in time")
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, e.config.MaxBody), r.ContentLength)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge(e.config.MaxBody)
	}
	if err != nil {
		return nil, badRequest("body", "the body did not come whole")
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, badRequest("body", "the connection is gone")
	}
	return body, nil
}

// readAll reads r to its end; size is its length if that is known, or -1.
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

// completion makes the request of a completions call.
func completion(x *catalog.Index, t *catalog.Team, r *http.Request, body []byte) (*request, *Failure) {
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
	q.ticket.PromptTokens = engine.CountTokens(text)
	q.ticket.OutputTokens = parsed.MaxTokens
	q.ticket.Prefix = engine.Marks(engine.Blocks(parsed.Model, text))
	return q, nil
}

// plainCall makes the request of a call to a plain service; rest is the path
// below the service's name.
func plainCall(x *catalog.Index, t *catalog.Team, r *http.Request, name, rest string, body []byte) (*request, *Failure) {
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

// newRequest checks what all calls have in common.
func newRequest(x *catalog.Index, t *catalog.Team, s *catalog.Service, r *http.Request, body []byte) (*request, *Failure) {
	tier, failure := chooseTier(x, t, s, r.Header)
	if failure != nil {
		return nil, failure
	}
	left, failure := chooseDeadline(s, r.Header)
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
		method: r.Method, header: passedOn(r.Header), body: body,
		arrived: now, deadline: now.Add(left),
		ticket: event.Ticket{
			ID:       newID(),
			Team:     t.Name,
			Rank:     tier.Rank,
			Service:  s.Name,
			Pool:     s.Pool,
			Deadline: left,
			Key:      key,
			Digest:   digest(key, r, body),
			NoRepeat: s.NoRepeat || r.Header.Get(HeaderNoRepeat) != "",
		},
	}, nil
}

// digest tells requests with one key apart; without a key there is no need.
func digest(key string, r *http.Request, body []byte) uint64 {
	if key == "" {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + " " + r.URL.RequestURI() + "\n") // never fails, by its documentation
	_, _ = d.Write(body)                                             // nor does this
	return d.Sum64()
}

// chooseTier returns the tier of a request: the rules', or what the caller asks
// for up to the team's right.
func chooseTier(x *catalog.Index, t *catalog.Team, s *catalog.Service, h http.Header) (catalog.Tier, *Failure) {
	asked := h.Get(HeaderTier)
	if asked == "" {
		return x.TierFor(t, s), nil
	}
	tier, ok := x.Tier(asked)
	if !ok {
		return tier, badRequest("unknown_tier", "there is no such tier")
	}
	right, _ := x.Tier(t.Tier)
	if tier.Rank > right.Rank {
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

// passedOn returns the caller's headers without those that are meant for this
// system. The caller's key goes no further than here.
func passedOn(h http.Header) http.Header {
	kept := make(http.Header, len(h))
	for name, values := range h {
		if name != "Authorization" && name != HeaderIdempotency && !strings.HasPrefix(name, "Lynxramp-") {
			kept[name] = values
		}
	}
	return kept
}
