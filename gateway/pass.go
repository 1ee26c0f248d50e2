// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// maxBufferedResponse is the longest response that is buffered before it is forwarded, in bytes.
const maxBufferedResponse = 1 << 20

// copyBuffer is the part of a longer response that is in memory at once, in bytes.
const copyBuffer = 16 << 10

// hopHeaders returns the names of hop-by-hop headers.
func hopHeaders(h http.Header) []string {
	names := []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

func copyHeader(to, from http.Header) {
	drop := make(map[string]bool)
	for _, name := range hopHeaders(from) {
		drop[http.CanonicalHeaderKey(name)] = true
	}
	for name, values := range from {
		if !drop[name] {
			to[name] = values
		}
	}
}

// receiveWhole buffers a response to its end and forwards it, unless it is a server error.
func (c *call) receiveWhole(x *exchange, a *attempt, started time.Time) {
	data, all, err := c.readWhole(x)
	switch {
	case err != nil:
		a.outcome = outcomeUnknown
		a.err = err
		x.abort()
		return
	case !all:
		c.forwardLong(x, a, data)
		return
	}
	a.firstByteAfter = time.Since(started)
	status := x.response.StatusCode
	kept := &response{status: status, header: x.response.Header, body: data}
	x.finish(c.gateway.upstream)
	if status >= http.StatusInternalServerError {
		a.outcome = outcomeFailed
		a.err = errors.Errorf("endpoint responded with status %d", status)
		a.failure = kept
		return
	}
	a.outcome = outcomeDone
	if c.relay != nil {
		c.reportAttempt(a) // the slot is free, also while the caller reads
	}
	c.forward(kept)
}

// forward sends an endpoint's complete response to the caller.
func (c *call) forward(r *response) {
	c.setAwaited(sendingResponse)
	h := c.w.Header()
	copyHeader(h, r.header)
	if c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	c.w.WriteHeader(r.status)
	c.forwardWhole(r.body)
	c.recordFirstByte(r.status)
	c.recordResponse(r.status)
}

// recordFirstByte records that an endpoint's response to the caller has begun.
func (c *call) recordFirstByte(status int) {
	c.gateway.meters.observeFirstByte(c.arrived, c.rankLabel())
	c.record.failed = c.record.failed || status >= http.StatusInternalServerError || c.isLate(time.Now())
}

// recordResponse records the end of an endpoint's response to the caller.
func (c *call) recordResponse(status int) {
	c.gateway.meters.countResponse(status, c.rankLabel())
	c.addStep(stepEnded, zap.Int("status", status), zap.String("why", "the endpoint's own response"), zap.Int("attempts", c.attempts))
}

// isLate reports whether a response that starts at a time misses the route's target.
func (c *call) isLate(at time.Time) bool {
	return c.route.Target > 0 && at.Sub(c.arrived) > c.route.Target

}

// callerErrorWriter marks write errors as the caller's, so that they don't count against the endpoint.
type callerErrorWriter struct{ io.Writer }

// Write implements io.Writer.
func (w callerErrorWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		err = errors.Wrap(errCallerWrite, err.Error())
	}
	return n, err
}

// forwardLong forwards a response that is too long to be buffered, as it arrives.
func (c *call) forwardLong(x *exchange, a *attempt, prefix []byte) {
	copyHeader(c.w.Header(), x.response.Header)
	if n := x.response.ContentLength; n >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	c.w.WriteHeader(x.response.StatusCode)
	c.headSent = true
	c.recordFirstByte(x.response.StatusCode)
	if c.relay != nil {
		c.forwardLongRelayed(x, a, prefix)
		return
	}
	caller := callerErrorWriter{c.w}
	_, err := caller.Write(prefix)
	c.releaseResponse()
	if err == nil {
		_, err = io.CopyBuffer(caller, x.response.Body, make([]byte, copyBuffer))
	}
	if err != nil {
		x.abort()
		a.outcome = outcomeDone
		a.err = err
		c.reportAttempt(a)
		c.abortResponse("a long response was interrupted", err)
	}
	x.finish(c.gateway.upstream)
	a.outcome = outcomeDone
	c.recordResponse(x.response.StatusCode)
}
