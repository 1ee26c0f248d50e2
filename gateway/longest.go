// SPDX-License-Identifier: MIT

package gateway

import (
	"sync"
	"time"
)

const (
	// maxTimeoutWindow is how long a route's longest time counts, at least.
	maxTimeoutWindow = 10 * time.Second
	// retryFraction is the part of its route's longest time that a request has left at
	// most when its caller was refused before.
	retryFraction = 0.98
)

// maxTimeouts knows, for each route, the most time that callers lately gave a request.
// Who has less left has asked before. It is safe for concurrent use.
type maxTimeouts struct {
	mu     sync.Mutex
	routes map[string]*routeMax
}

// routeMax is the most time left in the span that began at since, and in the one
// before.
type routeMax struct {
	current, previous time.Duration
	since             time.Time
}

func newMaxTimeouts() *maxTimeouts { return &maxTimeouts{routes: make(map[string]*routeMax)} }

// observe takes note of a request that has so much time left, and reports whether
// others of its route lately had more.
func (l *maxTimeouts) observe(at time.Time, route string, left time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.routes[route]
	if !ok {
		t = &routeMax{since: at}
		l.routes[route] = t
	}
	if at.Sub(t.since) >= maxTimeoutWindow {
		t.current, t.previous, t.since = 0, t.current, at
	}
	t.current = max(t.current, left)
	return float64(left) < retryFraction*float64(max(t.current, t.previous))
}

// sweep forgets the routes that nobody asked for in the last two spans.
func (l *maxTimeouts) sweep(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for route, t := range l.routes {
		if at.Sub(t.since) > 2*maxTimeoutWindow {
			delete(l.routes, route)
		}
	}
}
