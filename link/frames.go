// SPDX-License-Identifier: MIT

package link

import (
	"bufio"
	"encoding/gob"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong is returned by Serve for a connection on which a message, to be sent or announced
// by the peer, exceeds the limit.
var ErrTooLong = errors.New("message too long")

// In gob, a message is its length followed by that many bytes. An unsigned integer below
// inlineLimit is one byte; otherwise a byte has the negated number of the bytes that follow,
// most significant first.
const (
	inlineLimit  = 0x80
	maxUintBytes = 8
)

// frameReader passes on a stream of gob messages and fails before one that is longer than
// limit, so that a length announced by the peer can't exhaust memory.
type frameReader struct {
	in          *bufio.Reader
	limit       int64   // bytes
	remaining   int64   // of the current message
	lengthBytes int     // bytes of the length not yet read
	memory      *Memory // nil is no limit of the sum
	held        int64   // bytes of memory, for the current message
}

// Read implements io.Reader.
func (r *frameReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.remaining == 0 || r.lengthBytes > 0 {
		b, err := r.ReadByte()
		if err != nil {
			return 0, err
		}
		p[0] = b
		return 1, nil
	}
	n, err := r.in.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// ReadByte implements io.ByteReader, which keeps gob from adding a buffer of its own.
func (r *frameReader) ReadByte() (byte, error) {
	b, err := r.in.ReadByte()
	if err != nil {
		return 0, err
	}
	return b, r.advance(b)
}

// advance updates the parser's state by one byte.
func (r *frameReader) advance(b byte) error {
	switch {
	case r.lengthBytes > 0:
		r.lengthBytes--
		r.remaining = r.remaining<<8 | int64(b)
	case r.remaining > 0:
		r.remaining--
		return nil
	case b < inlineLimit:
		r.remaining = int64(b)
	default:
		r.lengthBytes = -int(int8(b))
	}
	if r.lengthBytes > maxUintBytes || r.remaining > r.limit {
		return errors.Wrapf(ErrTooLong, "peer announced at least %d bytes, limit %d", r.remaining, r.limit)
	}
	if r.lengthBytes == 0 {
		return r.hold(r.remaining)
	}
	return nil
}

// frameWriter receives gob messages, each by one call of Write, and passes on those that are
// not longer than limit. Definitions of a type are passed on only once.
type frameWriter struct {
	out          io.Writer
	limit        int64           // bytes
	longest      int             // length in bytes of the longest message
	definedTypes map[uint64]bool // by gob type id
}

// Write implements io.Writer.
func (w *frameWriter) Write(message []byte) (int, error) {
	if int64(len(message)) > w.limit {
		return 0, errors.Wrapf(ErrTooLong, "message of %d bytes, limit %d", len(message), w.limit)
	}
	w.longest = max(w.longest, len(message))
	if id, ok := typeDefinition(message); ok {
		if w.definedTypes[id] {
			return len(message), nil
		}
		w.definedTypes[id] = true
	}
	return w.out.Write(message)
}

// typeDefinition returns the id of the type that a gob message defines; false if the
// message holds a value.
func typeDefinition(message []byte) (uint64, bool) {
	_, content := decodeUint(message)
	id, _ := decodeUint(content)
	return id, id&1 != 0 // the lowest bit is the sign
}

// decodeUint reads a gob unsigned integer at the beginning of b and returns the bytes after it.
func decodeUint(b []byte) (uint64, []byte) {
	if len(b) == 0 {
		return 0, nil
	}
	if b[0] < inlineLimit {
		return uint64(b[0]), b[1:]
	}
	end := min(len(b), 1-int(int8(b[0])))
	var n uint64
	for _, one := range b[1:end] {
		n = n<<8 | uint64(one)
	}
	return n, b[end:]
}

// encoder writes gob messages. A gob.Encoder keeps a buffer as large as its longest message
// for its lifetime, so it is replaced after a long one. gob assigns type ids per process, so
// the peer still reads a single stream.
type encoder struct {
	frames frameWriter
	gob    *gob.Encoder
}

// maxKeptBuffer is the longest message, in bytes, after which the encoder and its buffer are
// kept.
const maxKeptBuffer = 64 << 10

func newEncoder(out io.Writer, limit int64) *encoder {
	e := &encoder{frames: frameWriter{out: out, limit: limit, definedTypes: make(map[uint64]bool)}}
	e.gob = gob.NewEncoder(&e.frames)
	return e
}

// encode writes v as one message.
func (e *encoder) encode(v any) error {
	err := e.gob.Encode(v)
	if e.frames.longest > maxKeptBuffer {
		e.frames.longest = 0
		e.gob = gob.NewEncoder(&e.frames)
	}
	return err
}
