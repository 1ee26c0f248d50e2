// SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"lynxramp.org/event"
)

// withFeedback responds with feedback in a header.
func withFeedback(status int, header string) responder {
	return func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "%sContent-Length: 6\r\n\r\nanswer", head(r, status, header+"\r\n"))
		return true
	}
}

// grantInOrder has the owner grant endpoints by number, regardless of feedback.
func (r *testGateway) grantInOrder(numbers ...int) {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	all := r.owner.endpoints
	r.owner.endpoints = nil
	for _, n := range numbers {
		r.owner.endpoints = append(r.owner.endpoints, all[n-1])
	}
}

// TestGateChecksEverySend: a grant by an owner that lacks the endpoint's feedback is not used, for a first attempt,
// a retry or a resumed stream. The feedback is reported, and the request submitted to the owner again.
func TestGateChecksEverySend(t *testing.T) {
	const rejection = "X-Not-Run: 1\r\nX-Rest: 3s"
	for header, status := range map[string]int{"X-Limit: 2": 200, "X-Leaving: 1": 200, rejection: 503} {
		for _, attempt := range []struct {
			name, path string
			second     responder // of e2, tried before e1 is granted again; nil for a first attempt
			third      responder
			want       string
		}{
			{"first attempt", "/once/x", nil, whole(200, "answer"), "answer"},
			{"retry", "/safe/x", reset, whole(200, "answer"), "answer"},
			{"resumed stream", "/stream/x", events(1, true), events(2, false), eventText(1) + eventText(2)},
		} {
			t.Run(header+" "+attempt.name, func(t *testing.T) {
				e1, e2, e3 := newFakeEndpoint(t, withFeedback(status, header)), newFakeEndpoint(t, attempt.second), newFakeEndpoint(t, attempt.third)
				r := newTestGateway(t, e1, e2, e3, newFakeEndpoint(t, whole(200, "answer")))
				grants := []int{1}
				if status != 200 {
					grants = append(grants, 4) // the first request is rejected by e1
				}
				if attempt.second != nil {
					grants = append(grants, 2)
				}
				r.grantInOrder(append(grants, 1, 3)...)
				if status, _, _ := r.do(t, r.request("POST", "/once/x", "first")); status != 200 {
					t.Fatalf("status %d of the first request", status)
				}
				status, body, all := r.do(t, r.request("POST", attempt.path, "second"))
				if status != 200 || body != attempt.want || !all || e1.runs() != 1 || e3.runs() != 1 {
					t.Errorf("status %d, body %q, complete %v; e1 had %d requests and e3 %d, want 1 each", status, body, all, e1.runs(), e3.runs())
				}
				r.owner.mu.Lock()
				defer r.owner.mu.Unlock()
				if n := len(r.owner.feedback); n < 2 {
					t.Errorf("the owner received %d feedback reports, want at least 2", n)
				}
				unused := 0
				for _, f := range r.owner.finished {
					if f.Unused && f.Unsent && !f.Suspect {
						unused++
					}
				}
				if unused != 1 {
					t.Errorf("%d grants were returned unused, want 1", unused)
				}
			})
		}
	}
}

// TestMisdirectedFeedbackIsIgnored: feedback in a misdirected response (421) comes from another endpoint and must
// not be applied to the one that was granted.
func TestMisdirectedFeedbackIsIgnored(t *testing.T) {
	e1, e2 := newFakeEndpoint(t, withFeedback(421, "X-Leaving: 1\r\nX-Limit: 0")), newFakeEndpoint(t, whole(200, "answer"))
	r := newTestGateway(t, e1, e2)
	if status, _, _ := r.do(t, r.request("POST", "/safe/x", "q")); status != 200 {
		t.Fatalf("status %d", status)
	}
	if r.agent.client.gate.IsTracking() {
		t.Error("feedback of a misdirected response was applied")
	}
}

// TestRejectionWithCooldownIsRetriedElsewhere: a request that an endpoint rejected, with a cooldown, is retried even if it is not
// repeatable.
func TestRejectionWithCooldownIsRetriedElsewhere(t *testing.T) {
	e1, e2 := newFakeEndpoint(t, withFeedback(503, "X-Not-Run: 1\r\nX-Rest: 3s")), newFakeEndpoint(t, whole(200, "answer"))
	r := newTestGateway(t, e1, e2)
	if status, body, _ := r.do(t, r.request("POST", "/once/x", "q")); status != 200 || body != "answer" || e1.runs() != 1 {
		t.Errorf("status %d, body %q after %d runs at the endpoint in cooldown, want 200 from the other endpoint", status, body, e1.runs())
	}
}

// TestFailureWithCooldownIsNoRejection guards against a request that fails at an endpoint after it ran there, and is sent again
// or said not to have run as the endpoint asks for a cooldown.
func TestFailureWithCooldownIsNoRejection(t *testing.T) {
	failed, other := newFakeEndpoint(t, withFeedback(503, "X-Rest: 3s")), newFakeEndpoint(t, whole(200, "answer"))
	r := newTestGateway(t, failed, other)
	a, err := http.DefaultClient.Do(r.request("POST", "/once/x", "q"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	if a.StatusCode != 503 || a.Header.Get("X-Signature") == "" || other.runs() != 0 {
		t.Errorf("status %d with signature %q, %d runs at the other endpoint, want the failure of the first one", a.StatusCode, a.Header.Get("X-Signature"), other.runs())
	}
	if status, _, _ := r.do(t, r.request("POST", "/safe/x", "q")); status != 200 || failed.runs() != 1 {
		t.Errorf("status %d, %d runs at the endpoint in cooldown, want 200 from the other one", status, failed.runs())
	}
}

// TestFeedbackHeadersAreForwarded: feedback headers stay in the response to the caller.
func TestFeedbackHeadersAreForwarded(t *testing.T) {
	r := newTestGateway(t, newFakeEndpoint(t, withFeedback(200, "X-Limit: 2\r\nX-Leaving: 1")))
	a, err := http.DefaultClient.Do(r.request("POST", "/once/x", "q"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	if a.Header.Get("X-Limit") != "2" || a.Header.Get("X-Leaving") != "1" {
		t.Errorf("the response lacks feedback headers: %v", a.Header)
	}
}

// TestDegradedEntryRespectsFeedback: a degraded entry sends nothing to an endpoint that is draining or in cooldown,
// and at most its share to a limited one.
func TestDegradedEntryRespectsFeedback(t *testing.T) {
	for header, most := range map[string]int{"X-Limit: 2": 1 + 2*3 + 1, "X-Leaving: 1": 1, "X-Rest: 30s": 1} {
		t.Run(header, func(t *testing.T) {
			e1 := newFakeEndpoint(t, withFeedback(200, header))
			r := newTestGateway(t, e1)
			r.do(t, r.request("POST", "/once/x", "q"))
			r.owner.mu.Lock()
			r.owner.unresponsive = true
			r.owner.mu.Unlock()
			started := time.Now()
			waitFor(t, "the entry is degraded", func() bool { return time.Since(started) > time.Second })
			for time.Since(started) < 3*time.Second {
				q := r.request("POST", "/once/x", "q")
				q.Header.Set("X-Deadline", "60")
				r.do(t, q)
				time.Sleep(10 * event.Millisecond)
			}
			if n := e1.runs(); n > most {
				t.Errorf("%d requests in 3 s, at most %d are allowed", n, most)
			}
		})
	}
}
