// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"lynxramp.org/internal/httphead"
	"lynxramp.org/reqlimit"
)

const (
	// defaultMaxHead is the limit of the heads of one response where Config sets none, in bytes.
	defaultMaxHead = 64 << 10
	// maxHeadLines is the limit of the lines of the heads of one response. The parsed form of a short line takes many
	// times its length.
	maxHeadLines = 256
)

// errNoMemory is returned if the account grants no memory for a part of a response. It says nothing about the endpoint.
var errNoMemory = errors.New("no memory for the response")

// errNoStatusLine is the cause of a malformed response whose first bytes can't become a status line.
var errNoStatusLine = errors.New("it does not begin with a status line")

// refusal is why a part of a response was not read on.
type refusal uint8

const (
	refusedHeadBytes refusal = iota // its heads are too long
	refusedHeadLines                // its heads have too many lines
	refusedInterim                  // too many interim (1xx) responses
	refusedEvent                    // an event is too long
	refusedMemory                   // the account granted no memory
	refusedMalformed                // its head is none of HTTP/1
	refusals
)

// String returns the reason as used in logs and metrics.
func (r refusal) String() string {
	return [...]string{"head_bytes", "head_lines", "interim", "event", "memory", "malformed"}[r]
}

// refusedResponse is the error of a response that exceeds a limit, or that is malformed.
type refusedResponse struct {
	why         refusal
	read, limit int    // in the unit of the limit; bytes and 0 of one that is malformed
	cause       string // of one that is malformed
}

// maxCause is the limit of the cause of a malformed response, in bytes: net/http quotes whole lines.
const maxCause = 200

// malformed returns the error of a response that is malformed, after a number of bytes.
func malformed(read int, err error) error {
	cause := err.Error()
	return &refusedResponse{why: refusedMalformed, read: read, cause: cause[:min(len(cause), maxCause)]}
}

// Error implements error.
func (e *refusedResponse) Error() string {
	if e.why == refusedMalformed {
		return fmt.Sprintf("response is malformed after %d bytes: %s", e.read, e.cause)
	}
	return fmt.Sprintf("response exceeds a limit: %s %d, limit %d", e.why, e.read, e.limit)
}

// headReader has each head of a response complete in the connection's buffer before it is parsed, so that its size is
// checked before memory is taken for it, and what can't become a head isn't waited for. The limits are for all heads of the response, with those of interim responses.
type headReader struct {
	conn     *upstreamConn
	maxBytes int
	hold     func(bytes int64) bool // has the account hold bytes for the response
	bytes    int                    // of the heads that are complete
	lines    int                    // with those of the current head
	checker  httphead.Checker
}

// await reads until the connection's buffer has a complete head.
func (h *headReader) await() error {
	scanned, lineStart := 0, 0
	for {
		reader := h.conn.reader
		data, _ := reader.Peek(reader.Buffered()) // what is buffered can be peeked
		for end := bytes.IndexByte(data[scanned:], '\n'); end >= 0; end = bytes.IndexByte(data[scanned:], '\n') {
			line := bytes.TrimSuffix(data[lineStart:scanned+end], []byte{'\r'})
			if _, err := h.checker.Line(line); err != nil {
				return malformed(scanned+end, err)
			}
			scanned += end + 1
			lineStart = scanned
			h.lines++
			if len(line) == 0 {
				return h.complete(scanned)
			}
		}
		scanned = len(data)
		if lineStart == 0 && !httphead.MayBeStatusLine(data) {
			return malformed(scanned, errNoStatusLine)
		}
		if err := h.check(scanned); err != nil {
			return err
		}
		if err := h.readMore(); err != nil {
			return err
		}
	}
}

// parse reads the head that await has found complete.
func (h *headReader) parse(method string) (*http.Response, error) {
	r, err := http.ReadResponse(h.conn.reader, &http.Request{Method: method})
	if err != nil {
		return nil, malformed(h.bytes, err)
	}
	if len(r.TransferEncoding) > 0 {
		r.Body = httphead.CheckTrailer(r)
	}
	return r, nil
}

// complete adds a head of a given size and holds memory for its parsed form.
func (h *headReader) complete(size int) error {
	if err := h.check(size); err != nil {
		return err
	}
	h.bytes += size
	if parsed := size + h.lines*reqlimit.HeadLineBytes; parsed > reqlimit.FreeHeadBytes && !h.hold(int64(parsed)) {
		return errNoMemory
	}
	return nil
}

// check checks the limits, with the given bytes of the current head.
func (h *headReader) check(current int) error {
	if h.lines > maxHeadLines {
		return &refusedResponse{why: refusedHeadLines, read: h.lines, limit: maxHeadLines}
	}
	if h.bytes+current > h.maxBytes {
		return &refusedResponse{why: refusedHeadBytes, read: h.bytes + current, limit: h.maxBytes}
	}
	return nil
}

// readMore reads at least one more byte of the current head into the connection's buffer.
func (h *headReader) readMore() error {
	reader := h.conn.reader
	buffered := reader.Buffered()
	if buffered == reader.Size() {
		size := min(2*buffered, h.maxBytes+1)
		if !h.hold(int64(size)) {
			return errNoMemory
		}
		reader = h.conn.growReader(size)
	}
	_, err := reader.Peek(buffered + 1)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// growReader gives the connection a larger buffer with the same content.
func (c *upstreamConn) growReader(size int) *bufio.Reader {
	data, _ := c.reader.Peek(c.reader.Buffered()) // what is buffered can be peeked
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(data), c.Conn), size)
	_, _ = c.reader.Peek(len(data)) // moves the content into the new buffer
	return c.reader
}

// shrinkReader gives back a larger buffer, which must be empty.
func (c *upstreamConn) shrinkReader() {
	if c.reader.Size() > readBufferSize {
		c.reader = bufio.NewReaderSize(c.Conn, readBufferSize)
	}
}
