// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/affinity"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

// TestStreamIsNotResumedAtAnotherVersion: an owner that does not know versions grants an endpoint of another one for the
// rest of a stream. The entry must not use the grant, and end the response early.
func TestStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	one, two := newFakeEndpoint(t, events(3, true)), newFakeEndpoint(t, events(6, false))
	r := newTestGateway(t, one, two)
	r.setVersions(t, "v1", "v2")
	_, body, complete := r.do(t, r.request(http.MethodPost, "/stream/1", "q"))
	if complete || strings.Contains(body, "part 4") || two.runs() > 0 {
		t.Errorf("the response is %q, complete %v; %d requests reached the other version", body, complete, two.runs())
	}
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	if last := r.owner.submits[len(r.owner.submits)-1].Ticket; !last.Bound || last.Version != "v1" {
		t.Errorf("the stream was submitted again with bound %v, version %q", last.Bound, last.Version)
	}
}

// TestStreamIsResumedAtItsVersion: the response continues at another endpoint of the same version.
func TestStreamIsResumedAtItsVersion(t *testing.T) {
	one, two := newFakeEndpoint(t, events(3, true)), newFakeEndpoint(t, events(6, false))
	r := newTestGateway(t, one, two)
	r.setVersions(t, "v1", "v1")
	if _, body, complete := r.do(t, r.request(http.MethodPost, "/stream/1", "q")); !complete || strings.Count(body, "part") != 6 {
		t.Errorf("the response is %q, complete %v", body, complete)
	}
}

// TestRetryBeforeFirstEventMayUseAnyVersion: a stream is bound by its first event only.
func TestRetryBeforeFirstEventMayUseAnyVersion(t *testing.T) {
	one, two := newFakeEndpoint(t, reset), newFakeEndpoint(t, events(6, false))
	r := newTestGateway(t, one, two)
	r.setVersions(t, "v1", "v2")
	if _, body, complete := r.do(t, r.request(http.MethodPost, "/stream/1", "q")); !complete || strings.Count(body, "part") != 6 {
		t.Errorf("the response is %q, complete %v", body, complete)
	}
}

// resumption returns a request that resumes a stream.
func (r *testGateway) resumption(id string, resumes ...string) *http.Request {
	q := r.request(http.MethodPost, "/stream/1", "q")
	q.Header.Set("X-Request", id)
	q.Header.Set("X-Last", "3")
	q.Header["X-Resumes"] = resumes
	return q
}

// lastSubmission returns the last request that the owner received.
func (o *fakeOwner) lastSubmission() message.Submission {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.submits[len(o.submits)-1]
}

// TestOwnerDecidesOnUnknownStream: a caller resumes a stream that the entry does not know. The owner gets a key that is that
// of the named attempt of its own team, or of no stream if the attempt is missing or invalid.
func TestOwnerDecidesOnUnknownStream(t *testing.T) {
	r := newTestGateway(t, newFakeEndpoint(t, events(6, false)), newFakeEndpoint(t, events(6, false)))
	r.setVersions(t, "v1", "v2")
	r.owner.mu.Lock()
	r.owner.refuse = event.ReasonStreamUnknown
	r.owner.mu.Unlock()
	none := affinity.MakeKey("team", "s", "")
	for name, c := range map[string]struct {
		resumes []string
		want    affinity.Key
	}{
		"named":   {[]string{"elsewhere-1"}, affinity.MakeKey("team", "s", "elsewhere-1")},
		"missing": {nil, none},
		"empty":   {[]string{""}, none},
		"two":     {[]string{"elsewhere-1", "elsewhere-2"}, none},
		"list":    {[]string{"elsewhere-1,elsewhere-2"}, none},
		"long":    {[]string{strings.Repeat("a", 1000)}, none},
	} {
		status, body, _ := r.do(t, r.resumption("r-"+name, c.resumes...))
		if status != http.StatusServiceUnavailable || !strings.Contains(body, "begin it again") {
			t.Errorf("%s: status %d, %q", name, status, body)
		}
		if m := r.owner.lastSubmission(); m.Resumes != c.want || m.Ticket.Bound {
			t.Errorf("%s: the owner got key %x, bound %v", name, m.Resumes, m.Ticket.Bound)
		}
	}
}

// TestEntryKnowsItsStreams: a stream that began at the entry is resumed there without its owner's knowledge, also by an
// entry without an owner; one of another attempt is refused then, after a second, and reaches no endpoint.
func TestEntryKnowsItsStreams(t *testing.T) {
	one, two := newFakeEndpoint(t, events(4, true)), newFakeEndpoint(t, events(6, false))
	r := newTestGateway(t, one, two)
	r.setVersions(t, "v1", "v2")
	q := r.request(http.MethodPost, "/stream/1", "q")
	q.Header.Set("X-Request", "first")
	if _, body, _ := r.do(t, q); !strings.Contains(body, "part 3") {
		t.Fatalf("the response is %q", body)
	}
	r.owner.mu.Lock()
	r.owner.unresponsive = true
	r.owner.mu.Unlock()
	time.Sleep(time.Second) // until the entry decides by itself
	before := two.runs()
	if status, body, _ := r.do(t, r.resumption("other", "unknown")); status != http.StatusServiceUnavailable || !strings.Contains(body, "begin it again") {
		t.Errorf("an unknown stream: status %d, %q", status, body)
	}
	runs := one.runs()
	if status, _, _ := r.do(t, r.resumption("second", "first")); status != http.StatusOK || one.runs() == runs || two.runs() != before {
		t.Errorf("a known stream: status %d, %d requests at its version and %d at the other", status, one.runs()-runs, two.runs()-before)
	}
}

// TestOwnerOfEarlierBuildResumesNothing: an owner that tells no versions ignores that a stream is resumed. Its grant to a
// caller's resumption is not used, and the version of a stream that begins is not known, so that the entry resumes none.
func TestOwnerOfEarlierBuildResumesNothing(t *testing.T) {
	a := NewOwnerClient(ClientConfig{Entry: "entry", Instance: 1, ControlAddresses: []string{"control"}, Log: zap.NewNop()})
	a.Connected(0, 1, "control")
	endpoint := message.Endpoint{Endpoint: registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 4, Version: "v1"}}
	a.Received(0, 1, &message.Envelope{View: &message.View{Whole: true, Listed: message.NewListing([]message.Endpoint{endpoint})}})
	a.Received(0, 1, &message.Envelope{Pong: &message.Pong{Entries: 1}})
	decide := func(id event.RequestID, s *StreamRequest) Decision {
		decision := make(chan Decision, 1)
		a.SubmitStream(0, message.Submission{Ticket: event.Ticket{ID: id, Service: "s", Deadline: event.Second}}, s, decision)
		a.Received(0, 1, &message.Envelope{Decisions: &message.Decisions{Grants: []event.Granted{{ID: id, Endpoint: "e", Address: "10.0.0.1:80"}}}})
		return <-decision
	}
	if d := decide("resumed", &StreamRequest{Service: "s", Attempt: "b", IsResumption: true, Resumes: "a"}); d.Granted || d.Reason != event.ReasonStreamUnknown {
		t.Errorf("a resumption: %+v", d)
	}
	if d := decide("new", &StreamRequest{Service: "s", Attempt: "c"}); !d.Granted || d.HasVersion {
		t.Errorf("a new stream: %+v", d)
	}
}
