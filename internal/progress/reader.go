// SPDX-License-Identifier: MIT

// Package progress reads request bodies with an idle timeout: a stalled sender times out, a
// slow one does not.
package progress

import (
	"io"
	"net/http"
	"time"
)

// Reader reads a request body. A Read fails if no byte arrives within IdleTimeout, or after
// Deadline. It has no buffer of its own.
type Reader struct {
	Body    io.Reader
	Control *http.ResponseController
	Silence time.Duration
	Until   time.Time // of the whole body; zero for none
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(r.Silence)
	if !r.Until.IsZero() && r.Until.Before(deadline) {
		deadline = r.Until
	}
	// A connection without support for deadlines is bounded only by its sender.
	_ = r.Control.SetReadDeadline(deadline)
	return r.Body.Read(p)
}

// ClearDeadline removes the read deadline, so that the connection can be reused.
func (r *Reader) End() { _ = r.Control.SetReadDeadline(time.Time{}) }
