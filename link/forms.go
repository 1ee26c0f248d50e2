// SPDX-License-Identifier: MIT

package link

import (
	"encoding/gob"
	"io"
)

// Encodings says how messages look on a connection, where a peer may be of another build. The zero
// value is for peers of the same build.
type Encodings[M any] struct {
	// Frame returns what is encoded for a message: a value with a field Message that is a pointer,
	// nil where the message is. It is called by the connection's writer.
	Frame func(*M) any
	// Reader returns what reads messages, for a peer whose first bytes are begun: all definitions
	// of types up to its first message, and that.
	Reader func(begun []byte) Reader[M]
}

// Reader reads the next message; nil if it is an empty one.
type Reader[M any] func(*gob.Decoder) (*M, error)

func (f Encodings[M]) orUsual() Encodings[M] {
	if f.Frame == nil {
		f.Frame = func(m *M) any { return frame[M]{m} }
	}
	if f.Reader == nil {
		f.Reader = func([]byte) Reader[M] { return readFrame[M] }
	}
	return f
}

// readFrame reads a message of the peer's that has the type of this build.
func readFrame[M any](in *gob.Decoder) (*M, error) {
	f := new(frame[M])
	err := in.Decode(f)
	return f.Message, err
}

// beginningMost bounds what is held of a peer's first bytes: types take some 2 kB, and a first
// message as much as one may have, which is beyond the bound read as it comes.
const beginningMost = 64 << 10

// beginning reads all up to the first message, and that or its beginning.
func (r *frameReader) beginning() ([]byte, error) {
	var begun []byte
	buffer := make([]byte, bufferBytes)
	for {
		start := len(begun)
		for {
			n, err := r.Read(buffer)
			begun = append(begun, buffer[:n]...)
			if err != nil {
				return nil, err
			}
			if len(begun) > beginningMost {
				return begun, nil
			}
			if r.head == 0 && r.left == 0 {
				break
			}
		}
		if _, isType := definition(begun[start:]); !isType {
			return begun, nil
		}
	}
}

// resumed reads what was read before and then the rest. It is an io.ByteReader, so that gob reads no
// further than a message.
type resumed struct {
	begun []byte
	rest  *frameReader
}

// Read implements io.Reader.
func (r *resumed) Read(p []byte) (int, error) {
	if len(r.begun) == 0 {
		r.begun = nil
		return r.rest.Read(p)
	}
	n := copy(p, r.begun)
	r.begun = r.begun[n:]
	return n, nil
}

// ReadByte implements io.ByteReader.
func (r *resumed) ReadByte() (byte, error) {
	if len(r.begun) == 0 {
		return r.rest.ReadByte()
	}
	b := r.begun[0]
	r.begun = r.begun[1:]
	return b, nil
}

var _ io.ByteReader = (*resumed)(nil)
