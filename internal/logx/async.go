// SPDX-License-Identifier: MIT

package logx

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that are queued for a slow writer.
	queueLines = 2048
	// batchBytes is the size at which a batch is written.
	batchBytes = 32 << 10
	// batchInterval is how long lines are collected into a batch before it is written, and
	// how long Close waits at most.
	batchInterval = 200 * time.Millisecond
)

// Async is a writer that never blocks: when the underlying writer is too slow and
// the queue is full, lines are dropped and counted.
type Async struct {
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

// NewAsync returns an Async whose goroutine writes to w until Close.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer for one line.
func (a *Async) Write(line []byte) (int, error) {
	owned := append([]byte(nil), line...) // the caller reuses line
	select {
	case a.lines <- owned:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; Close flushes the queue.
func (a *Async) Sync() error { return nil }

// Dropped returns how many lines were dropped; a failed write of a batch counts
// as one.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close flushes the queue, but waits for batchInterval at most. Lines written after it are
// dropped. It must be called exactly once.
func (a *Async) Close() {
	close(a.closing)
	select {
	case <-a.done:
	case <-time.After(batchInterval):
	}
}

// run writes lines in batches until Close, and then the rest of the queue.
func (a *Async) run(w io.Writer) {
	defer close(a.done)
	var buffer []byte
	for open := true; open; {
		buffer = buffer[:0]
		select {
		case line := <-a.lines:
			buffer = append(buffer, line...)
			open = a.collect(&buffer)
		case <-a.closing:
			open = false
		}
		if !open {
			a.drain(&buffer)
		}
		if len(buffer) == 0 {
			continue
		}
		if _, err := w.Write(buffer); err != nil {
			a.dropped.Add(1)
		}
	}
}

// collect appends lines to the buffer until the batch is full or batchInterval has passed. It
// returns false after Close.
func (a *Async) collect(buffer *[]byte) bool {
	timer := time.NewTimer(batchInterval)
	defer timer.Stop()
	for len(*buffer) < batchBytes {
		select {
		case line := <-a.lines:
			*buffer = append(*buffer, line...)
		case <-a.closing:
			return false
		case <-timer.C:
			return true
		}
	}
	return true
}

// drain appends all queued lines to the buffer.
func (a *Async) drain(buffer *[]byte) {
	for {
		select {
		case line := <-a.lines:
			*buffer = append(*buffer, line...)
		default:
			return
		}
	}
}
