// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"sync/atomic"
	"time"
)

// callerWriteTimeout is how long a caller may accept no byte of its response. The duration of the whole
// response is not limited by it.
const callerWriteTimeout = 10 * time.Second

// callerWriteChunk is the number of bytes that a caller must accept within one write timeout.
const callerWriteChunk = 16 << 10

// callerWriter writes to a caller under a write timeout for each chunk, so that a stalled caller does not
// keep the request's resources and its endpoint's capacity.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// isClosing reports whether the connection is closed after the response; nil for no.
	isClosing func() bool
	// isInterrupted is set once nothing more may be written.
	isInterrupted atomic.Bool
}

func newCallerWriter(w http.ResponseWriter, timeout time.Duration) *callerWriter {
	return &callerWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter. A planned stop may have begun since the request arrived; the caller is told not
// to send another request on the connection.
func (w *callerWriter) WriteHeader(status int) {
	if w.isClosing != nil && w.isClosing() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// extendDeadline restarts the write timeout. A connection without support for deadlines is limited by the
// request's deadline only.
func (w *callerWriter) extendDeadline() {
	if !w.isInterrupted.Load() {
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}

// interrupt makes the write in progress and all later ones fail. It may be called by any goroutine.
func (w *callerWriter) interrupt() {
	w.isInterrupted.Store(true)
	_ = w.control.SetWriteDeadline(time.Unix(1, 0))
}

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	done := 0
	for {
		w.extendDeadline()
		if w.isInterrupted.Load() {
			// The deadline may have been extended after the interruption.
			_ = w.control.SetWriteDeadline(time.Unix(1, 0))
			return done, errCallerTooSlow
		}
		n, err := w.ResponseWriter.Write(p[done:min(len(p), done+callerWriteChunk)])
		done += n
		if err != nil || done == len(p) {
			return done, err
		}
	}
}
