// SPDX-License-Identifier: MIT

package gateway

import (
	"sync"
	"time"
)

const (
	// maxTimeoutWindow is the least time for which a route's maximum counts.
	maxTimeoutWindow = 10 * time.Second
	// retryFraction bounds the timeout of a request whose caller was refused before, as a fraction of
	// its route's maximum: a retry has only the time left of the first call.
	retryFraction = 0.98
)

// maxTimeouts tracks, for each route, the longest timeout that callers recently gave a request. A request
// with a shorter one is taken for a retry. It is safe for concurrent use.
type maxTimeouts struct {
	mu     sync.Mutex
	routes map[string]*routeMax
}

// routeMax has the longest timeout in the window that started at since, and in the one before.
type routeMax struct {
	current, previous time.Duration
	since             time.Time
}

func newMaxTimeouts() *maxTimeouts { return &maxTimeouts{routes: make(map[string]*routeMax)} }

// observe records a request's timeout and reports whether it is below the recent maximum of its route.
func (l *maxTimeouts) observe(at time.Time, route string, timeout time.Duration) bool {
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
	t.current = max(t.current, timeout)
	return float64(timeout) < retryFraction*float64(max(t.current, t.previous))
}

// sweep removes the routes without a request in the last two windows.
func (l *maxTimeouts) sweep(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for route, t := range l.routes {
		if at.Sub(t.since) > 2*maxTimeoutWindow {
			delete(l.routes, route)
		}
	}
}
