// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

// errBrokenEvent says that a stream ended inside an event.
var errBrokenEvent = errors.New("the stream ended inside an event")

// eventReader reads a stream's events, each whole.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, readBufferSize)}
}

// next returns the next event with the blank line that ends it, and its id; the id
// is empty if it has none. The bytes are good until the next call. At the
// stream's end it returns io.EOF.
func (e *eventReader) next() (event []byte, id string, err error) {
	e.buffer = e.buffer[:0]
	inLine := false // the line began in an earlier part
	for {
		line, err := e.reader.ReadSlice('\n')
		part := err == bufio.ErrBufferFull
		if part {
			err = nil
		}
		e.buffer = append(e.buffer, line...)
		switch {
		case err == io.EOF && len(e.buffer) > 0:
			return nil, "", errBrokenEvent
		case err != nil:
			return nil, "", err
		case len(e.buffer) > maxEventBytes:
			return nil, "", errors.New("an event is too long")
		}
		if !inLine && isBlank(line) && len(e.buffer) > len(line) {
			return e.buffer, idOf(e.buffer), nil
		}
		inLine = part
	}
}

func isBlank(line []byte) bool {
	return len(line) > 0 && line[len(line)-1] == '\n' && len(bytes.TrimRight(line, "\r\n")) == 0
}

// idOf returns the id line's value in an event.
func idOf(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
