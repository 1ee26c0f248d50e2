// SPDX-License-Identifier: MIT

package gateway

import (
	"sync"
	"time"
)

const (
	// longestSpan is how long a route's longest time counts, at least.
	longestSpan = 10 * time.Second
	// returnedPart is the part of its route's longest time that a request has left at
	// most when its caller was refused before.
	returnedPart = 0.98
)

// longest knows, for each route, the most time that callers lately gave a request.
// Who has less left has asked before. It is safe for concurrent use.
type longest struct {
	mu     sync.Mutex
	routes map[string]*longestTime
}

// longestTime is the most time left in the span that began at since, and in the one
// before.
type longestTime struct {
	now, before time.Duration
	since       time.Time
}

func newLongest() *longest { return &longest{routes: make(map[string]*longestTime)} }

// isShort takes note of a request that has so much time left, and reports whether
// others of its route lately had more.
func (l *longest) isShort(at time.Time, route string, left time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.routes[route]
	if !ok {
		t = &longestTime{since: at}
		l.routes[route] = t
	}
	if at.Sub(t.since) >= longestSpan {
		t.now, t.before, t.since = 0, t.now, at
	}
	t.now = max(t.now, left)
	return float64(left) < returnedPart*float64(max(t.now, t.before))
}

// sweep forgets the routes that nobody asked for in the last two spans.
func (l *longest) sweep(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for route, t := range l.routes {
		if at.Sub(t.since) > 2*longestSpan {
			delete(l.routes, route)
		}
	}
}
