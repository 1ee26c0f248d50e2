// SPDX-License-Identifier: MIT

package slot

import (
	"context"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// maxUnackedBytes is how many bytes of a response may be unacknowledged before the
// slot stops reading from the endpoint.
const maxUnackedBytes = 1 << 20

// maxRetainedBytes is how many bytes are kept of a response that other requests may
// fetch.
const maxRetainedBytes = 4 << 20

// errDropped is returned for an offset whose bytes were acknowledged and dropped.
var errDropped = errors.New("offset is before the first byte kept: it was acknowledged and dropped")

// ResponseBuffer holds one request's response, as far as it was received. One
// goroutine writes it, any number read it.
type ResponseBuffer struct {
	mu      sync.Mutex
	changed chan struct{} // closed at each change
	status  int           // 0 until the endpoint responded
	header  http.Header
	data    []byte
	base    int // offset of data[0]
	acked   int // offset up to which it is acknowledged
	retain  bool
	ended   bool
	err     error
}

// NewResponseBuffer returns an empty buffer. If retain is set, acknowledged bytes are
// kept, up to maxRetainedBytes.
func NewResponseBuffer(retain bool) *ResponseBuffer {
	return &ResponseBuffer{changed: make(chan struct{}), retain: retain}
}

// newResponseBufferAt returns an empty buffer that begins at an offset.
func newResponseBufferAt(offset int) *ResponseBuffer {
	b := NewResponseBuffer(false)
	b.base = offset
	b.acked = offset
	return b
}

func (b *ResponseBuffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Begin sets the status and header. The buffer owns header from then on.
func (b *ResponseBuffer) Begin(status int, header http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status = status
	b.header = header
	b.notify()
}

// Append adds a copy of p. It blocks while too many bytes are unacknowledged, and
// returns an error when ctx ends.
func (b *ResponseBuffer) Append(ctx context.Context, p []byte) error {
	for {
		b.mu.Lock()
		if unacked := b.base + len(b.data) - b.acked; unacked <= 0 || unacked+len(p) <= maxUnackedBytes {
			b.data = append(b.data, p...)
			b.notify()
			b.mu.Unlock()
			return nil
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// End marks the end of the response; err is nil if it is complete.
func (b *ResponseBuffer) End(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.err = err
	b.notify()
}

// Ack records that an entry has all bytes before offset, and drops those that need
// not be kept.
func (b *ResponseBuffer) Ack(offset int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acked = max(b.acked, min(offset, b.base+len(b.data)))
	n := b.acked - b.base
	if b.retain {
		n = min(n, len(b.data)-maxRetainedBytes)
	}
	if n <= 0 {
		b.notify()
		return
	}
	b.base += n
	if n == len(b.data) {
		b.data = nil
	} else {
		b.data = append([]byte(nil), b.data[n:]...)
	}
	b.notify()
}

// Size returns the number of bytes received so far, including dropped ones.
func (b *ResponseBuffer) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base + len(b.data)
}

// bufferState is a snapshot of a ResponseBuffer.
type bufferState struct {
	status int
	header http.Header
	ended  bool
	err    error
}

// Await waits until there are bytes from offset on, or the response ends, or, unless
// haveStatus is set, the status is there. It copies the bytes into buf and returns
// their number.
func (b *ResponseBuffer) Await(ctx context.Context, offset int, haveStatus bool, buf []byte) (int, bufferState, error) {
	for {
		b.mu.Lock()
		v := bufferState{status: b.status, header: b.header, ended: b.ended, err: b.err}
		if offset < b.base {
			b.mu.Unlock()
			return 0, v, errDropped
		}
		n := 0
		if offset-b.base < len(b.data) {
			n = copy(buf, b.data[offset-b.base:])
			v.ended = v.ended && offset+n == b.base+len(b.data)
		}
		changed := b.changed
		b.mu.Unlock()
		if n > 0 || v.ended || (!haveStatus && v.status != 0) {
			return n, v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, v, ctx.Err()
		}
	}
}

// Ended reports whether the response has ended.
func (b *ResponseBuffer) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}
