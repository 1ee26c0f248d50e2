// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net/http"
	"time"
)

// bodyTime is how long a caller may take to send a body.
const bodyTime = 10 * time.Second

// defaultBody is the most that a body may have where the configuration says
// nothing.
const defaultBody = 4 << 20

// readBody reads the request's body whole: only a whole request may leave for an
// endpoint. It answers by itself what is too long or does not come.
func (c *call) readBody() bool {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if c.r.ContentLength > limit {
		c.end(http.StatusRequestEntityTooLarge, 0, "the body is too long")
		return false
	}
	if c.r.ContentLength == 0 {
		return true
	}
	// A connection that can't have a deadline is bounded by the caller's.
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTime))
	data, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		c.end(http.StatusBadRequest, 0, "the body was not sent whole")
		return false
	}
	if int64(len(data)) > limit {
		c.end(http.StatusRequestEntityTooLarge, 0, "the body is too long")
		return false
	}
	if c.gateway.bytes.Add(int64(len(data))) > c.gateway.config.HeldBytes {
		c.gateway.bytes.Add(-int64(len(data)))
		c.end(http.StatusServiceUnavailable, retryFull, "too much is held")
		return false
	}
	c.body = data
	return true
}

// dropBody forgets the body when it is not needed any more.
func (c *call) dropBody() {
	c.gateway.bytes.Add(-int64(len(c.body)))
	c.body = nil
}
