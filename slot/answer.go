// SPDX-License-Identifier: MIT

package slot

import (
	"context"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// windowBytes is how much of an answer is held unacknowledged before the
// endpoint's stream is no longer read.
const windowBytes = 1 << 20

// keepBytes is how much of an answer that others may come for is held in all.
const keepBytes = 4 << 20

// errForgotten is returned for bytes that were acknowledged and dropped.
var errForgotten = errors.New("these bytes were acknowledged and dropped")

// Answer is the answer of one request as far as it came. One goroutine writes
// it, any number read it.
type Answer struct {
	mu      sync.Mutex
	changed chan struct{} // closed at each change
	status  int           // 0 until the endpoint answered
	header  http.Header
	data    []byte
	base    int // offset of data[0]
	acked   int // offset up to which an entry has it
	keep    bool
	ended   bool
	err     error
}

// NewAnswer returns an answer that nothing has come of. If keep is set, bytes
// stay after they were acknowledged, up to keepBytes.
func NewAnswer(keep bool) *Answer { return &Answer{changed: make(chan struct{}), keep: keep} }

// newAnswerFrom returns an answer of which the entry has all bytes before offset.
func newAnswerFrom(offset int) *Answer {
	a := NewAnswer(false)
	a.base = offset
	a.acked = offset
	return a
}

func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Begin sets the status and header. The answer owns header from then on.
func (a *Answer) Begin(status int, header http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = status
	a.header = header
	a.wake()
}

// Append adds p, which it copies. It waits while the window is full and fails
// when ctx ends.
func (a *Answer) Append(ctx context.Context, p []byte) error {
	for {
		a.mu.Lock()
		if open := a.base + len(a.data) - a.acked; open <= 0 || open+len(p) <= windowBytes {
			a.data = append(a.data, p...)
			a.wake()
			a.mu.Unlock()
			return nil
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// End closes the answer; err is nil if it is whole.
func (a *Answer) End(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.err = err
	a.wake()
}

// Ack notes that an entry has all bytes before offset, and drops what need not
// be kept.
func (a *Answer) Ack(offset int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acked = max(a.acked, min(offset, a.base+len(a.data)))
	n := a.acked - a.base
	if a.keep {
		n = min(n, len(a.data)-keepBytes)
	}
	if n <= 0 {
		a.wake()
		return
	}
	a.base += n
	if n == len(a.data) {
		a.data = nil
	} else {
		a.data = append([]byte(nil), a.data[n:]...)
	}
	a.wake()
}

// Size returns the number of bytes that came so far.
func (a *Answer) Size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base + len(a.data)
}

// view is a moment of an answer.
type view struct {
	status int
	header http.Header
	ended  bool
	err    error
}

// Await waits until there are bytes from offset on, or the status if that is
// what is missing, or the end. It copies the bytes into buf and returns how many.
func (a *Answer) Await(ctx context.Context, offset int, known bool, buf []byte) (int, view, error) {
	for {
		a.mu.Lock()
		v := view{status: a.status, header: a.header, ended: a.ended, err: a.err}
		if offset < a.base {
			a.mu.Unlock()
			return 0, v, errForgotten
		}
		n := 0
		if offset-a.base < len(a.data) {
			n = copy(buf, a.data[offset-a.base:])
			v.ended = v.ended && offset+n == a.base+len(a.data)
		}
		changed := a.changed
		a.mu.Unlock()
		if n > 0 || v.ended || (!known && v.status != 0) {
			return n, v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, v, ctx.Err()
		}
	}
}

// Ended reports whether nothing more comes.
func (a *Answer) Ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended
}
