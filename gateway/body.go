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

// bodySilence is how long no byte of a body may come. How long the whole may take is up to
// the request's own deadline: many callers share an entry's link.
const bodySilence = 10 * time.Second

// defaultBody is the most that a body may have where the configuration says
// nothing, and firstBody what is taken for one before its bytes are there, in bytes.
const (
	defaultBody = 4 << 20
	firstBody   = 4 << 10
)

// Reasons to read no more of a body.
var (
	errBodyLong = errors.New("the body is too long")
	errBodyFull = errors.New("too much is held")
)

// readBody reads the request's body whole: only a whole request may leave for an
// endpoint. It answers by itself what is too long or does not come.
func (c *call) readBody() bool {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if c.r.ContentLength > limit {
		c.end(http.StatusRequestEntityTooLarge, 0, errBodyLong.Error())
		return false
	}
	printer := poison.NewFingerprinter(c.teamName(), c.r.Method, c.r.Host, c.r.RequestURI)
	defer func() { c.print = printer.Sum() }()
	if c.r.ContentLength == 0 {
		return true
	}
	body := progress.Reader{Body: c.r.Body, Control: http.NewResponseController(c.w), Silence: c.gateway.bodySilence, Until: time.Now().Add(c.left())}
	err := c.takeBody(io.TeeReader(&body, printer), limit)
	body.End()
	switch {
	case err == nil:
		return true
	case errors.Is(err, errBodyLong):
		c.end(http.StatusRequestEntityTooLarge, 0, err.Error())
	case errors.Is(err, errBodyFull):
		c.end(http.StatusServiceUnavailable, retryFull, err.Error())
	case c.left() <= 0:
		c.end(http.StatusServiceUnavailable, retryRejected, "the body did not come in time")
	default:
		c.end(http.StatusBadRequest, 0, "the body was not sent whole")
	}
	return false
}

// takeBody keeps a body's bytes. They count as held from their coming.
func (c *call) takeBody(body io.Reader, limit int64) error {
	c.body = make([]byte, 0, firstBody)
	for {
		if len(c.body) == cap(c.body) {
			c.body = append(c.body, 0)[:len(c.body)]
		}
		n, err := body.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		held := c.gateway.bytes.Add(int64(n))
		switch {
		case int64(len(c.body)) > limit:
			return errBodyLong
		case held > c.gateway.config.HeldBytes:
			return errBodyFull
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Wrap(err, "body")
		}
	}
}

// dropBody forgets the body when it is not needed any more.
func (c *call) dropBody() {
	c.gateway.bytes.Add(-int64(len(c.body)))
	c.body = nil
}
