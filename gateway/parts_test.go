// SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/event"
	"lynxramp.org/poison"
)

// TestSharedParts: the last part of a prompt is no shared one, and a malformed list has none.
func TestSharedParts(t *testing.T) {
	many := make([]string, 100)
	for i := range many {
		many[i] = fmt.Sprintf("%x:1", i+1)
	}
	for name, c := range map[string]struct {
		values []string
		want   []string
	}{
		"three":           {[]string{"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}, []string{"5c1e07a2", "91bd3f06"}},
		"one":             {[]string{"5c1e07a2:800"}, nil},
		"none":            {nil, nil},
		"two headers":     {[]string{"a:1", "b:2"}, []string{"a"}},
		"case and zeros":  {[]string{"00AB:1, ab:2 ,ac:3"}, []string{"ab"}},
		"not hexadecimal": {[]string{"xyz:1,b:2"}, nil},
		"no tokens":       {[]string{"a,b:2"}, nil},
		"bad tokens":      {[]string{"a:-1,b:2"}, nil},
		"empty part":      {[]string{"a:1,,b:2"}, nil},
		"long ID":         {[]string{strings.Repeat("a", 1000) + ":1,b:2"}, nil},
	} {
		if diff := cmp.Diff(c.want, sharedParts(c.values)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	if n := len(sharedParts([]string{strings.Join(many, ",")})); n != maxPromptParts {
		t.Errorf("%d parts of a long list", n)
	}
}

func FuzzSharedParts(f *testing.F) {
	f.Add("5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	f.Fuzz(func(t *testing.T, text string) {
		if ids := sharedParts([]string{text}); len(ids) > maxPromptParts {
			t.Errorf("%d parts", len(ids))
		}
	})
}

// partsRequest returns a request with the parts of a prompt.
func (r *testGateway) partsRequest(path, parts string) *http.Request {
	q := r.request(http.MethodPost, path, "q")
	q.Header.Set("X-Parts", parts)
	return q
}

// TestTerminationNamesUnansweredParts: an endpoint that terminates before its response begins, or as it does, is reported
// with the parts of the prompt; one that terminates later is not.
func TestTerminationNamesUnansweredParts(t *testing.T) {
	want := []poison.Fingerprint{poison.Part("s", "a")}
	for name, c := range map[string]struct {
		script responder
		want   []poison.Fingerprint
	}{
		"before":               {reset, want},
		"as it begins":         {events(1, true), want},
		"without any event":    {emptyUnframed, want},
		"an event, then later": {slowEvents, nil},
	} {
		r := newTestGateway(t, newFakeEndpoint(t, c.script))
		r.do(t, r.partsRequest("/single/1", "a:1,b:2"))
		waitFor(t, "the termination of "+name, func() bool {
			r.owner.mu.Lock()
			defer r.owner.mu.Unlock()
			return len(r.owner.terminations) > 0
		})
		r.owner.mu.Lock()
		if diff := cmp.Diff(c.want, r.owner.terminations[0].Parts); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff(want, r.owner.submits[0].Parts); diff != "" {
			t.Errorf("%s: submitted parts (-want +got):\n%s", name, diff)
		}
		r.owner.mu.Unlock()
	}
}

// TestHeldOffPartIsRefused: the caller is told when to come back, and that the request has not run.
func TestHeldOffPartIsRefused(t *testing.T) {
	endpoint := newFakeEndpoint(t, events(3, false))
	r := newTestGateway(t, endpoint)
	r.owner.mu.Lock()
	r.owner.refuse = event.ReasonPoisonPart
	r.owner.mu.Unlock()
	status, body, _ := r.do(t, r.partsRequest("/single/1", "a:1,b:2"))
	if status != http.StatusServiceUnavailable || !strings.Contains(body, "part_ends_endpoints") || endpoint.runs() > 0 {
		t.Errorf("status %d, %q; %d runs", status, body, endpoint.runs())
	}
}
