// SPDX-License-Identifier: MIT

package logx

import (
	"io"
	"sync/atomic"
	"time"
)

// Bounds of what waits for a slow reader.
const (
	asyncLines = 2048
	// gatherBytes is how much is written at once.
	gatherBytes = 32 << 10
	// gatherEvery is how long lines are gathered before they are written.
	gatherEvery = 200 * time.Millisecond
)

// Async is a writer that never waits: lines that the reader beneath does not take
// in time are left out and counted.
type Async struct {
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
}

// NewAsync returns a writer to w, whose lines a goroutine passes on until Close.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer for one line.
func (a *Async) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case a.lines <- copied:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: who must see the last lines calls Close.
func (a *Async) Sync() error { return nil }

// Dropped returns how many lines were left out.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close passes on what waits, for a short time. What is written after it is left out. It
// must be called once.
func (a *Async) Close() {
	close(a.closing)
	select {
	case <-a.done:
	case <-time.After(gatherEvery):
	}
}

// run writes the lines, gathered, until Close and what waits then.
func (a *Async) run(w io.Writer) {
	defer close(a.done)
	var buffer []byte
	for open := true; open; {
		buffer = buffer[:0]
		select {
		case line := <-a.lines:
			buffer = append(buffer, line...)
			open = a.gather(&buffer)
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

// gather adds lines to the buffer until it is full or a time is over. It reports false
// when there will be no more.
func (a *Async) gather(buffer *[]byte) bool {
	timer := time.NewTimer(gatherEvery)
	defer timer.Stop()
	for len(*buffer) < gatherBytes {
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

// drain adds the lines that wait.
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
