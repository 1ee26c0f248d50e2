// SPDX-License-Identifier: MIT

package heldmem

import "lynxramp.org/event"

// Response is the memory held for one response whose caller has fallen behind.
type Response struct {
	account *Account
	kind    Kind
	floor   int64 // granted at the start, without regard to the limit
	sockets int64
	cut     func()

	// The fields below are guarded by the account's lock.
	held      int64 // without sockets
	taken     int64 // bytes that the caller took since the start
	began     event.Time
	paidUntil event.Time // the caller is overdue from then on; each byte that it takes extends it
	isCut     bool
	isClosed  bool
	wait      *Wait // nil if it does not wait for memory
}

// Usage is what a response holds and how its caller reads.
type Usage struct {
	Held    int64          // bytes, with sockets
	Taken   int64          // bytes since the caller fell behind
	Age     event.Duration // since the caller fell behind
	Overdue event.Duration // by how much the caller exceeded the pause; 0 if it has not
}

// Wait is a request for memory that was not granted at once.
type Wait struct {
	response *Response
	bytes    int64
	granted  chan struct{}
	element  element
}

// Granted is closed once the memory is granted.
func (w *Wait) Granted() <-chan struct{} { return w.granted }

// Open starts to account for a response whose caller has fallen behind. floor and sockets are held at once. cut is
// called at most once, without a lock, when the response must be given up; it must not block.
func (a *Account) Open(now event.Time, k Kind, floor, sockets int64, cut func()) *Response {
	r := &Response{account: a, kind: k, floor: floor, sockets: sockets, cut: cut, began: now, paidUntil: now.Add(a.limits.Pause)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.responses[r] = true
	a.held[KindSocket] += sockets
	r.add(floor)
	return r
}

// add changes the held bytes by n.
func (r *Response) add(n int64) {
	r.held += n
	r.account.held[r.kind] += n
	if r.isCut {
		r.account.reclaiming += n
	}
}

// Hold holds n more bytes. It returns nil if they were granted at once. A response waits for one grant at a time.
func (r *Response) Hold(n int64) *Wait {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting.Len() == 0 && a.free(r.kind) >= n {
		r.add(n)
		return nil
	}
	w := &Wait{response: r, bytes: n, granted: make(chan struct{})}
	w.element = a.waiting.PushBack(w)
	a.wanted += n
	r.wait = w
	return w
}

// Release releases n bytes.
func (r *Response) Release(n int64) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.isClosed {
		return
	}
	r.add(-n)
	a.grant()
}

// Took records that the caller took n bytes.
func (r *Response) Took(now event.Time, n int64) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	r.taken += n
	paid := event.Duration(float64(n) / float64(a.limits.MinRate) * float64(event.Second))
	r.paidUntil = min(r.paidUntil.Add(paid), now.Add(a.limits.Pause))
}

// Usage returns what the response holds and how its caller reads.
func (r *Response) Usage(now event.Time) Usage {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return Usage{Held: r.held + r.sockets, Taken: r.taken, Age: now.Sub(r.began), Overdue: r.overdue(now)}
}

func (r *Response) overdue(now event.Time) event.Duration { return max(0, now.Sub(r.paidUntil)) }

// Close releases everything that the response holds and withdraws its request for memory. It may be called more
// than once.
func (r *Response) Close() {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.isClosed {
		return
	}
	r.isClosed = true
	delete(a.responses, r)
	if r.wait != nil {
		a.removeWait(r.wait)
	}
	r.add(-r.held)
	a.held[KindSocket] -= r.sockets
	if r.isCut {
		a.reclaiming -= r.sockets
	}
	a.grant()
}
