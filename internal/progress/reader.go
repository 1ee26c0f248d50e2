// SPDX-License-Identifier: MIT

// Package progress reads bodies as long as their bytes come: a sender that has stalled is
// given up, one that is slow is not.
package progress

import (
	"io"
	"net/http"
	"time"
)

// Reader reads a request's body. Each Read fails that brings no byte within Silence, or
// after Until. It owns no memory.
type Reader struct {
	Body        io.Reader
	Control     *http.ResponseController
	IdleTimeout time.Duration
	Deadline    time.Time // of the whole; zero is without a bound
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	until := time.Now().Add(r.IdleTimeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(until) {
		until = r.Deadline
	}
	// A connection that can't have a deadline is bounded by its sender's.
	_ = r.Control.SetReadDeadline(until)
	return r.Body.Read(p)
}

// ClearDeadline lets the connection rest without a deadline.
func (r *Reader) ClearDeadline() { _ = r.Control.SetReadDeadline(time.Time{}) }
