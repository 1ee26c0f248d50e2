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

// withFeedback answers with a header that asks for something.
func withFeedback(status int, header string) answer {
	return func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "%sContent-Length: 6\r\n\r\nanswer", head(r, status, header+"\r\n"))
		return true
	}
}

// grantInOrder has the owner grant endpoints by their numbers, whatever it was told.
func (r *testGateway) grantInOrder(numbers ...int) {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	all := r.owner.endpoints
	r.owner.endpoints = nil
	for _, n := range numbers {
		r.owner.endpoints = append(r.owner.endpoints, all[n-1])
	}
}

// TestGateChecksEverySend: what was granted by an owner that does not know what the endpoint asked
// for is not sent: a first try, a repeat, a stream that is taken up again. The owner is told, and asked again.
func TestGateChecksEverySend(t *testing.T) {
	for word, status := range map[string]int{"X-Limit: 2": 200, "X-Leaving: 1": 200, "X-Rest: 3s": 503} {
		for _, way := range []struct {
			name, path string
			second     answer // of e2, which the request goes to before e1 again; nil for a first try
			third      answer
			want       string
		}{
			{"first try", "/once/x", nil, whole(200, "answer"), "answer"},
			{"repeat", "/safe/x", reset, whole(200, "answer"), "answer"},
			{"resumed stream", "/stream/x", events(1, true), events(2, false), eventText(1) + eventText(2)},
		} {
			t.Run(word+" "+way.name, func(t *testing.T) {
				e1, e2, e3 := newFakeEndpoint(t, withFeedback(status, word)), newFakeEndpoint(t, way.second), newFakeEndpoint(t, way.third)
				r := newTestGateway(t, e1, e2, e3, newFakeEndpoint(t, whole(200, "answer")))
				grants := []int{1}
				if status != 200 {
					grants = append(grants, 4) // the first request is turned away
				}
				if way.second != nil {
					grants = append(grants, 2)
				}
				r.grantInOrder(append(grants, 1, 3)...)
				if status, _, _ := r.do(t, r.request("POST", "/once/x", "first")); status != 200 {
					t.Fatalf("the endpoint's answer came as %d", status)
				}
				status, body, all := r.do(t, r.request("POST", way.path, "second"))
				if status != 200 || body != way.want || !all || e1.runs() != 1 || e3.runs() != 1 {
					t.Errorf("%d %q whole %v; the endpoint had %d requests, the third %d", status, body, all, e1.runs(), e3.runs())
				}
				r.owner.mu.Lock()
				defer r.owner.mu.Unlock()
				if n := len(r.owner.feedback); n < 2 {
					t.Errorf("the owner was told %d times what the endpoint asks for", n)
				}
				unused := 0
				for _, f := range r.owner.finished {
					if f.Unused && f.Unsent && !f.Suspect {
						unused++
					}
				}
				if unused != 1 {
					t.Errorf("%d grants were given back unused", unused)
				}
			})
		}
	}
}

// TestMisdirectedFeedbackIsIgnored: an answer that says that it is not of the endpoint that was called binds
// no one.
func TestMisdirectedFeedbackIsIgnored(t *testing.T) {
	e1, e2 := newFakeEndpoint(t, withFeedback(421, "X-Leaving: 1\r\nX-Limit: 0")), newFakeEndpoint(t, whole(200, "answer"))
	r := newTestGateway(t, e1, e2)
	if status, _, _ := r.do(t, r.request("POST", "/safe/x", "q")); status != 200 {
		t.Fatalf("status %d", status)
	}
	if r.agent.client.gate.IsAsked() {
		t.Error("an answer of another endpoint counts")
	}
}

// TestCooldownResponseIsRetriedElsewhere: also one that may not be repeated, and though the endpoint says no
// more than that it wants rest.
func TestCooldownResponseIsRetriedElsewhere(t *testing.T) {
	e1, e2 := newFakeEndpoint(t, withFeedback(503, "X-Rest: 3s")), newFakeEndpoint(t, whole(200, "answer"))
	r := newTestGateway(t, e1, e2)
	if status, body, _ := r.do(t, r.request("POST", "/once/x", "q")); status != 200 || body != "answer" || e1.runs() != 1 {
		t.Errorf("%d %q, %d runs", status, body, e1.runs())
	}
}

// TestFeedbackHeadersAreForwarded: the words stay in the answer that is passed on.
func TestFeedbackHeadersAreForwarded(t *testing.T) {
	r := newTestGateway(t, newFakeEndpoint(t, withFeedback(200, "X-Limit: 2\r\nX-Leaving: 1")))
	a, err := http.DefaultClient.Do(r.request("POST", "/once/x", "q"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	if a.Header.Get("X-Limit") != "2" || a.Header.Get("X-Leaving") != "1" {
		t.Errorf("headers %v", a.Header)
	}
}

// TestDegradedEntryRespectsFeedback: an entry whose owner is lost sends nothing to an endpoint that wants
// rest or is leaving, and to a limited one no more than its part.
func TestDegradedEntryRespectsFeedback(t *testing.T) {
	for word, most := range map[string]int{"X-Limit: 2": 1 + 2*3 + 1, "X-Leaving: 1": 1, "X-Rest: 30s": 1} {
		t.Run(word, func(t *testing.T) {
			e1 := newFakeEndpoint(t, withFeedback(200, word))
			r := newTestGateway(t, e1)
			r.do(t, r.request("POST", "/once/x", "q"))
			r.owner.mu.Lock()
			r.owner.silent = true
			r.owner.mu.Unlock()
			began := time.Now()
			waitFor(t, "the entry is alone", func() bool { return time.Since(began) > time.Second })
			for time.Since(began) < 3*time.Second {
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
