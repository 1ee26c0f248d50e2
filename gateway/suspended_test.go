// SPDX-License-Identifier: MIT

package gateway

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"lynxramp.org/event"
	"lynxramp.org/internal/uptime"
)

// suspendableClock is the clock of a computer that a test suspends: it leaps while the steady clock, by which timers
// go, stands still.
type suspendableClock struct{ slept atomic.Int64 }

func (s *suspendableClock) now() event.Span           { return uptime.Now() + event.Span(s.slept.Load()) }
func (s *suspendableClock) suspend(length event.Span) { s.slept.Add(int64(length)) }

// TestConfigurationExpiresDuringSuspend: an entry whose computer had been suspended for longer than its configuration
// counts took it for as new as before, and let keys through that had been taken back meanwhile. It must
// refuse, and not be ready, until an owner has said that its configuration is the newest.
func TestConfigurationExpiresDuringSuspend(t *testing.T) {
	clock := &suspendableClock{}
	e := newFakeEndpoint(t, whole(200, "ok"))
	r := newTestGatewayWithClock(t, event.ClockOf(clock.now), e)
	r.owner.mu.Lock()
	r.owner.silent = true
	r.owner.mu.Unlock()
	clock.suspend(6 * event.Second)
	if r.gateway.Ready() || r.agent.Table() != nil {
		t.Error("ready by a configuration that is too old")
	}
	if status, _, _ := r.do(t, r.request("POST", "/safe/1", "")); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if e.runs() != 0 {
		t.Error("a request was sent by a configuration that is too old")
	}
	r.owner.mu.Lock()
	r.owner.silent = false
	r.owner.mu.Unlock()
	waitFor(t, "it is ready again", r.gateway.Ready)
	if status, body, _ := r.do(t, r.request("POST", "/safe/1", "")); status != http.StatusOK || body != "ok" {
		t.Errorf("then %d %q", status, body)
	}
}

// TestForwardedDeadlineIncludesSuspend: the computer of an entry was suspended while a request was under way. Its
// next endpoint was given the time of the suspension on top, and worked on after the caller had left.
func TestForwardedDeadlineIncludesSuspend(t *testing.T) {
	const slept = 1500 * time.Millisecond // of the 2.5 s that the caller waits
	clock := &suspendableClock{}
	first := newFakeEndpoint(t, func(c net.Conn, q *http.Request) bool {
		clock.suspend(slept)
		return notRun(c, q)
	})
	second := newFakeEndpoint(t, whole(200, "ok"))
	r := newTestGatewayWithClock(t, event.ClockOf(clock.now), first, second)
	if status, _, _ := r.do(t, r.request("POST", "/safe/1", "")); status != http.StatusOK || second.runs() != 1 {
		t.Fatalf("status %d, %d runs", status, second.runs())
	}
	if ms, err := strconv.Atoi(second.requests[0].Header.Get("X-Deadline")); err != nil || ms > 1000 {
		t.Errorf("the endpoint is given %d ms (%v), 1000 were left at the most", ms, err)
	}
}

// TestNotSentAfterSuspendPastDeadline: nothing is sent for a request whose time is over when its computer wakes, and
// what is answered is true: it has not run.
func TestNotSentAfterSuspendPastDeadline(t *testing.T) {
	clock := &suspendableClock{}
	first := newFakeEndpoint(t, func(c net.Conn, q *http.Request) bool {
		clock.suspend(4 * time.Second)
		return notRun(c, q)
	})
	second := newFakeEndpoint(t, whole(200, "ok"))
	r := newTestGatewayWithClock(t, event.ClockOf(clock.now), first, second)
	if status, _, _ := r.do(t, r.request("POST", "/safe/1", "")); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if second.runs() != 0 {
		t.Error("a request was sent after its time")
	}
}

// TestNotRetriedAfterSuspend: a request that was to be sent once more is not, if the computer was suspended
// for longer than the retry budget counts it.
func TestNotRetriedAfterSuspend(t *testing.T) {
	clock := &suspendableClock{}
	first, second := newFakeEndpoint(t, reset), newFakeEndpoint(t, whole(200, "ok"))
	r := newTestGatewayWithClock(t, event.ClockOf(clock.now), first, second)
	r.owner.mu.Lock()
	r.owner.beforeRepeat = func() { clock.suspend(2500 * time.Millisecond) }
	r.owner.mu.Unlock()
	status, _, _ := r.do(t, r.request("POST", "/safe/1", ""))
	if second.runs() != 0 || status == http.StatusOK {
		t.Errorf("status %d, %d runs: a repeat was sent that the budget does not count any more", status, second.runs())
	}
}
