// SPDX-License-Identifier: MIT

package fleet

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes idle connections of callers: those idle for longer than the current
// configuration allows and, above the connection limit, the longest idle ones, so that new
// callers can always connect. A request that races with the close has not been read.
type idleCloser struct {
	timeout  func() time.Duration // idle timeout; 0 for none
	maxConns int                  // 0 for no limit

	mu      sync.Mutex
	open    map[net.Conn]*list.Element // element of idle; nil while a request is in flight
	idle    list.List                  // of *idleConn, longest idle first
	closing map[net.Conn]bool          // closed here; StateClosed not yet reported
}

type idleConn struct {
	conn  net.Conn
	timer *time.Timer // nil without an idle timeout
}

// newIdleCloser returns an idleCloser that keeps at most maxConns connections open, 0 for
// no limit. Connections with a request in flight are never closed.
func newIdleCloser(timeout func() time.Duration, maxConns int) *idleCloser {
	return &idleCloser{timeout: timeout, maxConns: maxConns, open: make(map[net.Conn]*list.Element), closing: make(map[net.Conn]bool)}
}

// observe is the ConnState hook of an http.Server.
func (i *idleCloser) observe(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.clearIdle(c)
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(i.open, c)
		delete(i.closing, c)
		return
	case http.StateIdle:
		i.setIdle(c)
	default:
		i.open[c] = nil
	}
	for i.maxConns > 0 && len(i.open)-len(i.closing) > i.maxConns && i.idle.Len() > 0 {
		longest := i.idle.Front().Value.(*idleConn).conn
		i.clearIdle(longest)
		i.open[longest] = nil
		i.closing[longest] = true
		_ = longest.Close() // its caller reconnects for the next request
	}
}

// setIdle records that a connection has become idle and starts its timeout.
func (i *idleCloser) setIdle(c net.Conn) {
	ic := &idleConn{conn: c}
	if d := i.timeout(); d > 0 {
		ic.timer = time.AfterFunc(d, func() { _ = c.Close() })
	}
	i.open[c] = i.idle.PushBack(ic)
}

// clearIdle records that a connection is no longer idle and stops its timeout.
func (i *idleCloser) clearIdle(c net.Conn) {
	e := i.open[c]
	if e == nil {
		return
	}
	if ic := i.idle.Remove(e).(*idleConn); ic.timer != nil {
		ic.timer.Stop()
	}
}
