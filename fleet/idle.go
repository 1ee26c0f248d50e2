// SPDX-License-Identifier: MIT

package fleet

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"lynxramp.org/link"
)

// callerConns are the connections of callers. It closes idle ones: those idle for longer than the current
// configuration allows and, above the connection limit, the longest idle ones, so that new
// callers can always connect. A request that races with the close has not been read.
type callerConns struct {
	timeout  func() time.Duration // idle timeout; 0 for none
	maxConns int                  // 0 for no limit

	mu      sync.Mutex
	open    map[net.Conn]*list.Element // element of idle; nil while a request is in flight
	fresh   map[net.Conn]time.Time     // when those connected on which no request has arrived yet
	idle    list.List                  // of *idleConn, longest idle first
	closing map[net.Conn]bool          // closed here; StateClosed not yet reported
}

type idleConn struct {
	conn  net.Conn
	timer *time.Timer // nil without an idle timeout
}

// newCallerConns returns callerConns that keeps at most maxConns connections open, 0 for
// no limit. Connections with a request in flight are never closed.
func newCallerConns(timeout func() time.Duration, maxConns int) *callerConns {
	return &callerConns{timeout: timeout, maxConns: maxConns, open: make(map[net.Conn]*list.Element), fresh: make(map[net.Conn]time.Time), closing: make(map[net.Conn]bool)}
}

// observe is the ConnState hook of an http.Server.
func (i *callerConns) observe(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.clearIdle(c)
	delete(i.fresh, c)
	switch state {
	case http.StateNew:
		i.open[c] = nil
		i.fresh[c] = time.Now()
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
func (i *callerConns) setIdle(c net.Conn) {
	ic := &idleConn{conn: c}
	if d := i.timeout(); d > 0 {
		ic.timer = time.AfterFunc(d, func() { _ = c.Close() })
	}
	i.open[c] = i.idle.PushBack(ic)
}

// clearIdle records that a connection is no longer idle and stops its timeout.
func (i *callerConns) clearIdle(c net.Conn) {
	e := i.open[c]
	if e == nil {
		return
	}
	if ic := i.idle.Remove(e).(*idleConn); ic.timer != nil {
		ic.timer.Stop()
	}
}

// newConnTime is how long a new connection may be without a request during a planned stop.
const newConnTime = 300 * time.Millisecond

// closeUnused has the connections closed that have no request, and returns how many are open. A read deadline in the past
// ends the wait for a request, but not a request that has been read; those with something to read are left to the server.
func (i *callerConns) closeUnused() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	for e := i.idle.Front(); e != nil; e = e.Next() {
		expireRead(e.Value.(*idleConn).conn, now)
	}
	for c, since := range i.fresh {
		if now.Sub(since) >= newConnTime {
			expireRead(c, now)
		}
	}
	return len(i.open)
}

func expireRead(c net.Conn, now time.Time) {
	if link.IsIdle(c) {
		_ = c.SetReadDeadline(now) // fails only on a closed connection
	}
}
