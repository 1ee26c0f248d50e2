// SPDX-License-Identifier: MIT

package reqlimit

import (
	"context"
	"net"
	"net/http"
	"time"

	"lynxramp.org/heldmem"
)

// Reason is why a request was not read on.
type Reason uint8

// The reasons.
const (
	// HeadBytes: its head has more than MaxHeadBytes. The server responds with status 431.
	HeadBytes Reason = iota
	// HeadLines: its head has more than MaxHeadLines. The server responds with status 400.
	HeadLines
	// HeadMemory: the account has no room for its head. The connection is closed; the request was not read.
	HeadMemory
	// BodyBytes: its body is longer than the limit that the handler gave.
	BodyBytes
	// BodyMemory: the account has no room for its body.
	BodyMemory
	reasons
)

// Reasons lists all reasons.
var Reasons = [reasons]Reason{HeadBytes, HeadLines, HeadMemory, BodyBytes, BodyMemory}

// String returns the reason as used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"head_bytes", "head_lines", "head_memory", "body_bytes", "body_memory"}[r]
}

// Limiter limits the requests that an http.Server reads.
type Limiter struct {
	// Account returns the account that holds heads and bodies.
	Account func() *heldmem.Account
	// Refused is called for each request that is not read on, with the address of its sender, what was read and the
	// limit, in lines or bytes.
	Refused func(sender string, why Reason, read, limit int)
}

// holdTimeout is how long a part of a request waits for memory, in polls of holdPoll.
const (
	holdTimeout = 300 * time.Millisecond
	holdPoll    = 25 * time.Millisecond
)

// hold holds n bytes, and waits for them if it must.
func (l *Limiter) hold(k heldmem.Kind, n int64) bool {
	account := l.Account()
	for end := time.Now().Add(holdTimeout); !account.TryHold(k, n); time.Sleep(holdPoll) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// Apply limits the heads that a server reads from a listener and returns the listener to serve. It must be called once,
// after the server's handler and hooks are set.
func (l *Limiter) Apply(s *http.Server, from net.Listener) net.Listener {
	s.MaxHeaderBytes = MaxHeadBytes
	handler, connContext, connState := s.Handler, s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if h, ok := c.(*conn); ok && (state == http.StateIdle || state == http.StateClosed) {
			h.reset()
		}
		if connState != nil {
			connState(c, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h, ok := r.Context().Value(connKey{}).(*conn); ok {
			h.reading.Store(false) // also if the head came with the end of an earlier request, where it isn't seen
		}
		handler.ServeHTTP(w, r)
	})
	return &listener{from, l}
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}
