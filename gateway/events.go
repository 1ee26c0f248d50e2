// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 256 << 10
	// freeEvent is the size of the buffer that each stream may have without the account, in bytes.
	freeEvent = 8 << 10
)

// errBrokenEvent is returned if a stream ends in the middle of an event.
var errBrokenEvent = errors.New("stream ended in the middle of an event")

// eventReader reads the events of a stream one by one.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
	hold   func(bytes int64) bool // has the account hold bytes for the buffer
	empty  int                    // bytes of blocks without a field since the last event
}

func newEventReader(r io.Reader, hold func(int64) bool) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, readBufferSize), hold: hold}
}

// grow makes room for n more bytes in the buffer.
func (e *eventReader) grow(n int) error {
	size := len(e.buffer) + n
	if size <= cap(e.buffer) {
		return nil
	}
	size = max(size, 2*cap(e.buffer), readBufferSize)
	if size > freeEvent && !e.hold(int64(size)) {
		return errNoMemory
	}
	grown := make([]byte, len(e.buffer), size)
	copy(grown, e.buffer)
	e.buffer = grown
	return nil
}

// next returns the next event or block of comments, including its final blank line, and its ID, or "" if it has none. The bytes
// are valid until the next call. At the end of the stream it returns io.EOF.
func (e *eventReader) next() (event []byte, id string, err error) {
	e.buffer = e.buffer[:0]
	inLine := false // the current line continues an earlier slice
	for {
		line, err := e.reader.ReadSlice('\n')
		part := err == bufio.ErrBufferFull
		if part {
			err = nil
		}
		if len(e.buffer)+len(line) > maxEventBytes {
			return nil, "", &refusedResponse{why: refusedEvent, read: len(e.buffer) + len(line), limit: maxEventBytes}
		}
		if err := e.grow(len(line)); err != nil {
			return nil, "", err
		}
		e.buffer = append(e.buffer, line...)
		switch {
		case err == io.EOF && len(e.buffer) > 0:
			return nil, "", errBrokenEvent
		case err != nil:
			return nil, "", err
		}
		if !inLine && isBlank(line) && len(e.buffer) > len(line) {
			id := idOf(e.buffer)
			return e.buffer, id, e.checkEmpty(id)
		}
		inLine = part
	}
}

// checkEmpty limits what a stream may have between two events, such as comments that keep it alive.
func (e *eventReader) checkEmpty(id string) error {
	if id != "" || hasField(e.buffer) {
		e.empty = 0
		return nil
	}
	if e.empty += len(e.buffer); e.empty > maxEventBytes {
		return &refusedResponse{why: refusedEvent, read: e.empty, limit: maxEventBytes}
	}
	return nil
}

// hasField reports whether a block has one of the fields of an event.
func hasField(block []byte) bool {
	for line := range bytes.Lines(block) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "data", "event", "id", "retry":
			return true
		}
	}
	return false
}

func isBlank(line []byte) bool {
	return len(line) > 0 && line[len(line)-1] == '\n' && len(bytes.TrimRight(line, "\r\n")) == 0
}

// idOf returns the value of the event's id line.
func idOf(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
