// SPDX-License-Identifier: MIT

package fleet

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that rest for longer than the
// configuration in force allows. A request that crosses the close has not been read.
type idleCloser struct {
	allowed func() time.Duration // 0 is without a limit

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(allowed func() time.Duration) *idleCloser {
	return &idleCloser{allowed: allowed, timers: make(map[net.Conn]*time.Timer)}
}

// observe is a server's ConnState.
func (i *idleCloser) observe(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer, ok := i.timers[c]; ok {
		timer.Stop()
		delete(i.timers, c)
	}
	if state != http.StateIdle {
		return
	}
	if rest := i.allowed(); rest > 0 {
		i.timers[c] = time.AfterFunc(rest, func() { _ = c.Close() })
	}
}
