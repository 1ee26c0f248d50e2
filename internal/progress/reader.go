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
	Body        io.Reader
	Control     *http.ResponseController
	IdleTimeout time.Duration
	Deadline    time.Time // of the whole body; zero for none
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(r.IdleTimeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(deadline) {
		deadline = r.Deadline
	}
	// A connection without support for deadlines is bounded only by its sender.
	_ = r.Control.SetReadDeadline(deadline)
	return r.Body.Read(p)
}

// ClearDeadline removes the read deadline, so that the connection can be reused.
func (r *Reader) ClearDeadline() { _ = r.Control.SetReadDeadline(time.Time{}) }
