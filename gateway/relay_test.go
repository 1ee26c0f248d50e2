// SPDX-License-Identifier: MIT

package gateway

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"lynxramp.org/event"
)

// stallingCaller is a connection to a caller. A write goes on in it, if it stalls before, or has gone on, until it is released or,
// before, interrupted.
type stallingCaller struct {
	http.ResponseWriter
	stallsBefore bool
	stalled      chan struct{} // closed once a write or flush stalls
	released     chan struct{}
	interrupted  chan struct{}
	interrupt    sync.Once
	taken        bytes.Buffer
}

func newStallingCaller(stallsBefore bool) *stallingCaller {
	return &stallingCaller{stallsBefore: stallsBefore, stalled: make(chan struct{}), released: make(chan struct{}), interrupted: make(chan struct{})}
}

// Write implements io.Writer.
func (c *stallingCaller) Write(p []byte) (int, error) {
	if c.stallsBefore {
		close(c.stalled)
		<-c.interrupted
		return 0, os.ErrDeadlineExceeded
	}
	return c.taken.Write(p)
}

// FlushError is called by http.ResponseController.
func (c *stallingCaller) FlushError() error {
	close(c.stalled)
	<-c.released
	return nil
}

// SetWriteDeadline is called by http.ResponseController.
func (c *stallingCaller) SetWriteDeadline(at time.Time) error {
	if time.Now().After(at) {
		c.interrupt.Do(func() { close(c.interrupted) })
	}
	return nil
}

// TestCompleteResponseIsNotCancelled guards against a response that its caller has taken completely and that is counted as cancelled,
// because the caller closed its connection before the last write returned.
func TestCompleteResponseIsNotCancelled(t *testing.T) {
	for name, stallsBefore := range map[string]bool{"all was written": false, "nothing was written": true} {
		t.Run(name, func(t *testing.T) {
			caller := newStallingCaller(stallsBefore)
			b := newRelay(newHeldMemory(heldLimits()), event.NewClock(), newCallerWriter(caller, time.Second), nil)
			if _, _, err := b.store([]byte("answer")); err != nil {
				t.Fatal(err)
			}
			<-caller.stalled
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			time.AfterFunc(50*time.Millisecond, func() { close(caller.released) })
			err := b.flush(ctx, func() bool { return false })
			if isComplete := caller.taken.String() == "answer"; (err == nil) != isComplete {
				t.Errorf("the flush returned %v, all was taken: %t", err, isComplete)
			}
			if _, isCut := b.cutReport(); isCut {
				t.Error("the caller was reported as cut")
			}
		})
	}
}
