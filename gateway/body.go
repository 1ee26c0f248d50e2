// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lynxramp.org/internal/progress"
	"lynxramp.org/poison"
)

// bodyIdleTimeout is the longest pause in receiving a request body. The request's deadline limits the whole
// transfer, as many callers share the bandwidth of an entry.
const bodyIdleTimeout = 10 * time.Second

// defaultMaxBody is the size limit of a body where the configuration has none, and initialBodyBuffer the
// capacity allocated before any byte arrives, in bytes.
const (
	defaultMaxBody    = 4 << 20
	initialBodyBuffer = 4 << 10
)

// Reasons to stop reading a body. Their texts are sent to callers.
var (
	errBodyTooLong = errors.New("the body is too long")
	errTooMuchHeld = errors.New("the request bodies in memory exceed the limit")
)

// readBody reads the complete body, as only complete requests are sent to endpoints. It responds itself if
// the body is too long or does not arrive.
func (c *call) readBody() bool {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if c.r.ContentLength > limit {
		c.respondError(http.StatusRequestEntityTooLarge, 0, errBodyTooLong.Error())
		return false
	}
	fingerprinter := poison.NewFingerprinter(c.teamName(), c.r.Method, c.r.Host, c.r.RequestURI)
	defer func() { c.fingerprint = fingerprinter.Sum() }()
	if c.r.ContentLength == 0 {
		return true
	}
	body := progress.Reader{Body: c.r.Body, Control: http.NewResponseController(c.w), IdleTimeout: c.gateway.bodyIdleTimeout, Deadline: time.Now().Add(c.remaining())}
	err := c.receiveBody(io.TeeReader(&body, fingerprinter), limit)
	body.ClearDeadline()
	switch {
	case err == nil:
		return true
	case errors.Is(err, errBodyTooLong):
		c.respondError(http.StatusRequestEntityTooLarge, 0, err.Error())
	case errors.Is(err, errTooMuchHeld):
		c.respondError(http.StatusServiceUnavailable, retryAfterFull, err.Error())
	case c.remaining() <= 0:
		c.respondError(http.StatusServiceUnavailable, retryAfterNotRun, "the body did not arrive in time")
	default:
		c.respondError(http.StatusBadRequest, 0, "the body is incomplete")
	}
	return false
}

// receiveBody reads the body into c.body. Its bytes count as held as soon as they arrive.
func (c *call) receiveBody(body io.Reader, limit int64) error {
	for {
		if len(c.body) == cap(c.body) && !c.growBody(limit) {
			return errTooMuchHeld
		}
		n, err := body.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		held := c.gateway.bodyBytes.Add(int64(n))
		switch {
		case int64(len(c.body)) > limit:
			return errBodyTooLong
		case c.gateway.memory == nil && held > c.gateway.config.MaxHeldBytes:
			return errTooMuchHeld
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Wrap(err, "read body")
		}
	}
}

// growBody makes room for more of the body. It returns false if there is no memory for it.
func (c *call) growBody(limit int64) bool {
	if c.gateway.memory != nil {
		return c.growHeldBody(limit)
	}
	if c.body == nil {
		c.body = make([]byte, 0, initialBodyBuffer)
		return true
	}
	c.body = append(c.body, 0)[:len(c.body)]
	return true
}

// releaseBody releases the body and its share of the held bytes.
func (c *call) releaseBody() {
	c.releaseHeldBody()
	c.gateway.bodyBytes.Add(-int64(len(c.body)))
	c.body = nil
}
