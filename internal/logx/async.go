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
	done    chan struct{}
	dropped atomic.Uint64
}

// NewAsync returns a writer to w, whose lines a goroutine passes on until Close.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
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

// Close passes on what waits, for a short time. Nothing may be written after it.
func (a *Async) Close() {
	close(a.lines)
	select {
	case <-a.done:
	case <-time.After(gatherEvery):
	}
}

func (a *Async) run(w io.Writer) {
	defer close(a.done)
	var buffer []byte
	for {
		line, ok := <-a.lines
		if !ok {
			return
		}
		buffer = append(buffer[:0], line...)
		timer := time.NewTimer(gatherEvery)
		ok = a.gather(&buffer, timer)
		timer.Stop()
		if _, err := w.Write(buffer); err != nil {
			a.dropped.Add(1)
		}
		if !ok {
			return
		}
	}
}

// gather adds lines to the buffer until it is full or the timer ends. It reports
// false when there will be no more.
func (a *Async) gather(buffer *[]byte, timer *time.Timer) bool {
	for len(*buffer) < gatherBytes {
		select {
		case line, ok := <-a.lines:
			if !ok {
				return false
			}
			*buffer = append(*buffer, line...)
		case <-timer.C:
			return true
		}
	}
	return true
}
