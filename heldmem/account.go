// SPDX-License-Identifier: MIT

package heldmem

import (
	"container/list"
	"sync"

	"lynxramp.org/event"
)

// Kind is what memory is held for.
type Kind uint8

// The kinds of held memory.
const (
	// KindBody is a request body.
	KindBody Kind = iota
	// KindResponse is a whole response, buffered before it is forwarded.
	KindResponse
	// KindStream is the part of a response that its caller has not taken yet.
	KindStream
	// KindSocket is the socket buffers of a response whose caller has fallen behind.
	KindSocket
	// KindHead is the head of a response, read and parsed.
	KindHead
	// KindEvent is the buffer of a stream's long events.
	KindEvent
	// KindCallerHead is the head of a caller's request, read and parsed.
	KindCallerHead
	kinds
)

// Kinds lists all kinds.
var Kinds = [...]Kind{KindBody, KindResponse, KindStream, KindSocket, KindHead, KindEvent, KindCallerHead}

// String returns the kind as used in metrics.
func (k Kind) String() string {
	return [...]string{"body", "response", "stream", "socket", "head", "event", "caller_head"}[k]
}

// isRequest reports whether the memory is held for a caller's request.
func (k Kind) isRequest() bool { return k == KindBody || k == KindCallerHead }

// shareOfOneSide is the part of the limit that requests may take together, and that responses may.
const shareOfOneSide = 0.75

// Limits are the limits of an account.
type Limits struct {
	Total   int64          // bytes held in all
	MinRate int64          // bytes a second that a caller takes at least to be spared
	Pause   event.Duration // for which a caller may take nothing and be spared
}

// Account is the memory account of a process.
type Account struct {
	limits Limits

	mu         sync.Mutex
	held       [kinds]int64
	responses  map[*Response]bool
	waiting    list.List // of *Wait, in order of arrival
	wanted     int64     // bytes that waiting has asked for
	reclaiming int64     // bytes of responses that were cut and are not closed yet
}

// NewAccount returns an empty account.
func NewAccount(l Limits) *Account {
	return &Account{limits: l, responses: make(map[*Response]bool)}
}

// Limit returns the number of bytes that may be held in all.
func (a *Account) Limit() int64 { return a.limits.Total }

// Held returns the number of bytes held of a kind.
func (a *Account) Held(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[k]
}

// TryHold holds n bytes if the limit allows it.
func (a *Account) TryHold(k Kind, n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !k.isRequest() && a.waiting.Len() > 0 || a.free(k) < n {
		return false
	}
	a.held[k] += n
	return true
}

// Force holds n bytes without regard to the limit. It is meant for small amounts whose number is bounded otherwise.
func (a *Account) Force(k Kind, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held[k] += n
}

// Release releases n bytes and grants them to the requests that wait.
func (a *Account) Release(k Kind, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held[k] -= n
	a.grant()
}

// free returns how many bytes of a kind the limit still allows. It is negative if floors exceed the limit.
func (a *Account) free(k Kind) int64 {
	responses := a.held[KindResponse] + a.held[KindStream] + a.held[KindSocket] + a.held[KindHead] + a.held[KindEvent]
	requests := a.held[KindBody] + a.held[KindCallerHead]
	side := responses
	if k.isRequest() {
		side = requests
	}
	return min(a.limits.Total-responses-requests, a.sideLimit()-side)
}

// sideLimit is the number of bytes that requests may take together, and that responses may.
func (a *Account) sideLimit() int64 { return int64(shareOfOneSide * float64(a.limits.Total)) }

// FullOfBodies reports whether n more bytes of bodies exceed what requests may take together. Cutting responses does not
// help then.
func (a *Account) FullOfBodies(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[KindBody]+a.held[KindCallerHead]+n > a.sideLimit()
}

// grant grants memory to the requests that wait, in order of arrival, as far as the limit allows.
func (a *Account) grant() {
	for e := a.waiting.Front(); e != nil; e = a.waiting.Front() {
		w := e.Value.(*Wait)
		if a.free(w.response.kind) < w.bytes {
			return
		}
		a.removeWait(w)
		w.response.add(w.bytes)
		close(w.granted)
	}
}

func (a *Account) removeWait(w *Wait) {
	a.waiting.Remove(w.element)
	a.wanted -= w.bytes
	w.element = nil
	w.response.wait = nil
}
