// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"
	"time"
)

// TestRetryHasShorterTimeout: a timeout is compared with those that callers of the route recently gave, not with
// the route's limit. Otherwise callers with short timeouts would always be taken for retries.
func TestRetryHasShorterTimeout(t *testing.T) {
	l := newMaxTimeouts()
	at := time.Unix(100, 0)
	for _, step := range []struct {
		after   time.Duration
		route   string
		timeout time.Duration
		want    bool
	}{
		{0, "a", 5 * time.Second, false},
		{1 * time.Second, "a", 3 * time.Second, true},
		{1 * time.Second, "b", 3 * time.Second, false},
		{2 * time.Second, "a", 4950 * time.Millisecond, false},
		{11 * time.Second, "a", 3 * time.Second, true},  // the previous window counts
		{22 * time.Second, "a", 3 * time.Second, false}, // callers now give less
		{23 * time.Second, "a", 2 * time.Second, true},
	} {
		if got := l.observe(at.Add(step.after), step.route, step.timeout); got != step.want {
			t.Errorf("after %v on route %s a timeout of %v counts as shorter: %v", step.after, step.route, step.timeout, got)
		}
	}
	l.sweep(at.Add(24 * time.Second)) // b was not requested since the first second
	if _, ok := l.routes["a"]; len(l.routes) != 1 || !ok {
		t.Errorf("%d routes are kept, want only a", len(l.routes))
	}
}
