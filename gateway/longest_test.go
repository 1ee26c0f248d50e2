// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"
	"time"
)

// TestReturnedCallerHasLessTimeThanOthers: what counts is what callers of a route give
// their requests, not what the route allows: those who always give less would else
// stand behind all others for good.
func TestReturnedCallerHasLessTimeThanOthers(t *testing.T) {
	l := newLongest()
	at := time.Unix(100, 0)
	for _, step := range []struct {
		after time.Duration
		route string
		left  time.Duration
		want  time.Duration
	}{
		{0, "a", 5 * time.Second, 0},
		{1 * time.Second, "a", 3 * time.Second, 2 * time.Second},
		{1 * time.Second, "b", 3 * time.Second, 0},
		{2 * time.Second, "a", 4950 * time.Millisecond, 0},
		{11 * time.Second, "a", 3 * time.Second, 2 * time.Second}, // the span before counts
		{22 * time.Second, "a", 3 * time.Second, 0},               // callers give less now
		{23 * time.Second, "a", 2 * time.Second, time.Second},
	} {
		if got := l.missing(at.Add(step.after), step.route, step.left); got != step.want {
			t.Errorf("after %v on %s with %v left: %v", step.after, step.route, step.left, got)
		}
	}
	l.sweep(at.Add(24 * time.Second)) // nobody asked for b since the first second
	if _, ok := l.routes["a"]; len(l.routes) != 1 || !ok {
		t.Errorf("%d routes are kept, want a alone", len(l.routes))
	}
}
