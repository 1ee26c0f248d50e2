// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"time"
)

// callerSilence is how long a caller may take no byte of its answer. How long the whole may
// take is not bounded by it.
const callerSilence = 10 * time.Second

// callerPiece is how many bytes are written within one time of silence: a caller that takes
// fewer is as one that takes none.
const callerPiece = 16 << 10

// callerWriter writes to a caller as long as it takes what is written: what a request holds,
// its endpoint's place too, is free again when its caller has stalled.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	silence time.Duration
}

func newCallerWriter(w http.ResponseWriter, silence time.Duration) *callerWriter {
	return &callerWriter{w, http.NewResponseController(w), silence}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extend gives what is written from now on its time. A connection that can't have a deadline
// is bounded by the caller's.
func (w *callerWriter) extend() { _ = w.control.SetWriteDeadline(time.Now().Add(w.silence)) }

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	done := 0
	for {
		w.extend()
		n, err := w.ResponseWriter.Write(p[done:min(len(p), done+callerPiece)])
		done += n
		if err != nil || done == len(p) {
			return done, err
		}
	}
}
