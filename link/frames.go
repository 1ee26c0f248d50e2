// SPDX-License-Identifier: MIT

package link

import (
	"bufio"
	"encoding/gob"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong says that a message is longer than the connection carries: sent by this side,
// or announced by the peer.
var ErrTooLong = errors.New("a message is too long for the link")

// Of gob's format: a message is a length and so many bytes; a number is one byte below
// numberInline, else the number of its bytes, negated, and the bytes, the highest first.
const (
	numberInline = 0x80
	maxNumber    = 8 // bytes
)

// frameReader passes a series of gob messages on and ends it before one that is longer than
// limit, so that a peer's word can't make a reader hold more.
type frameReader struct {
	in    *bufio.Reader
	limit int64 // bytes
	left  int64 // of the message
	head  int   // bytes of the length that are still to come
}

// Read implements io.Reader.
func (r *frameReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.left == 0 || r.head > 0 {
		b, err := r.ReadByte()
		if err != nil {
			return 0, err
		}
		p[0] = b
		return 1, nil
	}
	n, err := r.in.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// ReadByte implements io.ByteReader, which keeps gob from buffering once more.
func (r *frameReader) ReadByte() (byte, error) {
	b, err := r.in.ReadByte()
	if err != nil {
		return 0, err
	}
	return b, r.take(b)
}

// take follows the format by one byte.
func (r *frameReader) take(b byte) error {
	switch {
	case r.head > 0:
		r.head--
		r.left = r.left<<8 | int64(b)
	case r.left > 0:
		r.left--
		return nil
	case b < numberInline:
		r.left = int64(b)
	default:
		r.head = -int(int8(b))
	}
	if r.head > maxNumber || r.left > r.limit {
		return errors.Wrapf(ErrTooLong, "%d bytes or more announced, %d taken", r.left, r.limit)
	}
	return nil
}

// frameWriter takes gob messages, each by one call of Write, and passes on those that are
// not longer than limit, definitions of types only once.
type frameWriter struct {
	out     io.Writer
	limit   int64           // bytes
	longest int             // bytes, of one message
	defined map[uint64]bool // numbers of types
}

// Write implements io.Writer.
func (w *frameWriter) Write(message []byte) (int, error) {
	if int64(len(message)) > w.limit {
		return 0, errors.Wrapf(ErrTooLong, "%d bytes to send, %d taken", len(message), w.limit)
	}
	w.longest = max(w.longest, len(message))
	if id, ok := definition(message); ok {
		if w.defined[id] {
			return len(message), nil
		}
		w.defined[id] = true
	}
	return w.out.Write(message)
}

// definition returns the number of the type that a gob message defines; false if the
// message holds a value.
func definition(message []byte) (uint64, bool) {
	_, content := number(message)
	id, _ := number(content)
	return id, id&1 != 0 // the lowest bit is the sign
}

// number reads a number at the beginning of b and returns what follows it.
func number(b []byte) (uint64, []byte) {
	if len(b) == 0 {
		return 0, nil
	}
	if b[0] < numberInline {
		return uint64(b[0]), b[1:]
	}
	end := min(len(b), 1-int(int8(b[0])))
	var n uint64
	for _, one := range b[1:end] {
		n = n<<8 | uint64(one)
	}
	return n, b[end:]
}

// encoder writes gob messages. A gob.Encoder keeps its buffer as large as its longest
// message, a connection's whole life: after a long one it is replaced. Types' numbers are
// those of the process, so that a reader sees one series of messages.
type encoder struct {
	frames frameWriter
	gob    *gob.Encoder
}

// keptBuffer is the longest message, in bytes, whose buffer is kept for the next: what a
// connection holds at rest.
const keptBuffer = 64 << 10

func newEncoder(out io.Writer, limit int64) *encoder {
	e := &encoder{frames: frameWriter{out: out, limit: limit, defined: make(map[uint64]bool)}}
	e.gob = gob.NewEncoder(&e.frames)
	return e
}

// encode writes a value.
func (e *encoder) encode(v any) error {
	err := e.gob.Encode(v)
	if e.frames.longest > keptBuffer {
		e.frames.longest = 0
		e.gob = gob.NewEncoder(&e.frames)
	}
	return err
}
