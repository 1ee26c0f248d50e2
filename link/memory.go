// SPDX-License-Identifier: MIT

package link

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// freeMessage is the length of a message up to which it is received without Memory, in bytes. A connection receives one
// message at a time.
const freeMessage = 64 << 10

// defaultMemory is the limit of a Memory without one, in bytes.
const defaultMemory = MaxMessage

// ErrNoMemory is returned by Serve for a connection whose peer announced a long message while others of many bytes were
// being received. The peer connects again.
var ErrNoMemory = errors.New("too many bytes of messages are being received")

var refusedMessages = metrics.NewCounter("lynxramp_link_refused_messages_total")

// Memory limits the bytes of long messages that the connections of a process receive at the same time. A message counts
// from the announcement of its length, as gob allocates up to 10 MB then, until the next one begins or the connection
// ends. Its methods are safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a limit of a number of bytes; 0 is 64 MiB. A message that is longer is received if no other long one
// is, so that it is never refused for good.
func NewMemory(limit int64) *Memory {
	if limit <= 0 {
		limit = defaultMemory
	}
	return &Memory{limit: limit}
}

func (m *Memory) take(n int64) bool {
	if used := m.used.Add(n); used > m.limit && used > n {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *Memory) release(n int64) { m.used.Add(-n) }

// hold replaces what is held for the previous message by what the current one needs.
func (r *frameReader) hold(n int64) error {
	r.release()
	if r.memory == nil || n <= freeMessage {
		return nil
	}
	if !r.memory.take(n) {
		refusedMessages.Inc()
		return errors.Wrapf(ErrNoMemory, "peer announced %d bytes, limit %d", n, r.memory.limit)
	}
	r.held = n
	return nil
}

// release releases what is held for a message.
func (r *frameReader) release() {
	if r.held > 0 {
		r.memory.release(r.held)
		r.held = 0
	}
}
