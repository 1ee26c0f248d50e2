// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"time"
)

// callerWriteTimeout is how long a caller may take no byte of its answer. How long the whole may
// take is not bounded by it.
const callerWriteTimeout = 10 * time.Second

// callerWriteChunk is how many bytes are written within one time of silence: a caller that takes
// fewer is as one that takes none.
const callerWriteChunk = 16 << 10

// callerWriter writes to a caller as long as it takes what is written: what a request holds,
// its endpoint's place too, is free again when its caller has stalled.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

func newCallerWriter(w http.ResponseWriter, silence time.Duration) *callerWriter {
	return &callerWriter{w, http.NewResponseController(w), silence}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadline gives what is written from now on its time. A connection that can't have a deadline
// is bounded by the caller's.
func (w *callerWriter) extendDeadline() { _ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) }

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	done := 0
	for {
		w.extendDeadline()
		n, err := w.ResponseWriter.Write(p[done:min(len(p), done+callerWriteChunk)])
		done += n
		if err != nil || done == len(p) {
			return done, err
		}
	}
}
