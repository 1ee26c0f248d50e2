// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"

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

// refusal is why a part of a response was not read on.
type refusal uint8

const (
	refusedHeadBytes refusal = iota // its heads are too long
	refusedHeadLines                // its heads have too many lines
	refusedInterim                  // too many interim (1xx) responses
	refusedEvent                    // an event is too long
	refusedMemory                   // the account granted no memory
	refusals
)

// String returns the reason as used in logs and metrics.
func (r refusal) String() string {
	return [...]string{"head_bytes", "head_lines", "interim", "event", "memory"}[r]
}

// refusedResponse is the error of a response that exceeds a limit.
type refusedResponse struct {
	why         refusal
	read, limit int // in the unit of the limit
}

// Error implements error.
func (e *refusedResponse) Error() string {
	return fmt.Sprintf("response exceeds a limit: %s %d, limit %d", e.why, e.read, e.limit)
}

// headReader has each head of a response complete in the connection's buffer before it is parsed, so that its size is
// checked before memory is taken for it. The limits are for all heads of the response, with those of interim responses.
type headReader struct {
	conn     *upstreamConn
	maxBytes int
	hold     func(bytes int64) bool // has the account hold bytes for the response
	bytes    int                    // of the heads that are complete
	lines    int                    // with those of the current head
}

// await reads until the connection's buffer has a complete head.
func (h *headReader) await() error {
	scanned, lineStart := 0, 0
	for {
		reader := h.conn.reader
		data, _ := reader.Peek(reader.Buffered()) // what is buffered can be peeked
		for end := bytes.IndexByte(data[scanned:], '\n'); end >= 0; end = bytes.IndexByte(data[scanned:], '\n') {
			line := data[lineStart : scanned+end]
			scanned += end + 1
			lineStart = scanned
			h.lines++
			if len(bytes.TrimSuffix(line, []byte{'\r'})) == 0 {
				return h.complete(scanned)
			}
		}
		scanned = len(data)
		if err := h.check(scanned); err != nil {
			return err
		}
		if err := h.readMore(); err != nil {
			return err
		}
	}
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
		return &refusedResponse{refusedHeadLines, h.lines, maxHeadLines}
	}
	if h.bytes+current > h.maxBytes {
		return &refusedResponse{refusedHeadBytes, h.bytes + current, h.maxBytes}
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
