// SPDX-License-Identifier: MIT

package fleet

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that rest: for longer than the configuration in
// force allows, or the longest resting of more than the process may have, so that new
// callers are always taken. A request that crosses the close has not been read.
type idleCloser struct {
	allowed func() time.Duration // 0 is without a limit
	most    int                  // connections; 0 is without a limit

	mu    sync.Mutex
	open  map[net.Conn]*list.Element // of idle; nil while it is at work
	idle  list.List                  // of *resting, the longest first
	gives map[net.Conn]bool          // closed here, and not yet known to be
}

// resting is a connection that rests.
type resting struct {
	conn  net.Conn
	timer *time.Timer // nil without a limit
}

// newIdleCloser returns one that keeps at most so many connections, 0 for any number, but
// those at work.
func newIdleCloser(allowed func() time.Duration, most int) *idleCloser {
	return &idleCloser{allowed: allowed, most: most, open: make(map[net.Conn]*list.Element), gives: make(map[net.Conn]bool)}
}

// observe is a server's ConnState.
func (i *idleCloser) observe(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.wake(c)
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(i.open, c)
		delete(i.gives, c)
		return
	case http.StateIdle:
		i.rest(c)
	default:
		i.open[c] = nil
	}
	for i.most > 0 && len(i.open)-len(i.gives) > i.most && i.idle.Len() > 0 {
		longest := i.idle.Front().Value.(*resting).conn
		i.wake(longest)
		i.open[longest] = nil
		i.gives[longest] = true
		_ = longest.Close() // its caller comes again on another
	}
}

// rest takes note that a connection rests from now on.
func (i *idleCloser) rest(c net.Conn) {
	one := &resting{conn: c}
	if most := i.allowed(); most > 0 {
		one.timer = time.AfterFunc(most, func() { _ = c.Close() })
	}
	i.open[c] = i.idle.PushBack(one)
}

// wake takes note that a connection doesn't rest any more.
func (i *idleCloser) wake(c net.Conn) {
	e := i.open[c]
	if e == nil {
		return
	}
	if one := i.idle.Remove(e).(*resting); one.timer != nil {
		one.timer.Stop()
	}
}
