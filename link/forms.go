// SPDX-License-Identifier: MIT

package link

import (
	"encoding/gob"
	"io"
)

// Encodings says how messages are encoded on a connection whose peer may run another build.
// The zero value is for peers of the same build.
type Encodings[M any] struct {
	// Frame returns the value to encode for a message: it has a field Message that is a pointer,
	// nil for a nil message. It is called by the connection's writer.
	Frame func(*M) any
	// Reader returns a function that reads messages. The preamble is what the peer sent first:
	// all type definitions up to its first message, and that message or its beginning.
	Reader func(preamble []byte) Reader[M]
}

// Reader reads the next message; nil for a keep-alive.
type Reader[M any] func(*gob.Decoder) (*M, error)

func (e Encodings[M]) withDefaults() Encodings[M] {
	if e.Frame == nil {
		e.Frame = func(m *M) any { return frame[M]{m} }
	}
	if e.Reader == nil {
		e.Reader = func([]byte) Reader[M] { return readFrame[M] }
	}
	return e
}

// readFrame reads a message that is encoded as in this build.
func readFrame[M any](in *gob.Decoder) (*M, error) {
	f := new(frame[M])
	err := in.Decode(f)
	return f.Message, err
}

// maxPreamble bounds how much of a peer's first bytes is buffered, in bytes. It leaves ample
// space for type definitions; the rest of a long first message is streamed.
const maxPreamble = 64 << 10

// readPreamble reads all type definitions and the first message, which is cut off beyond
// maxPreamble.
func (r *frameReader) readPreamble() ([]byte, error) {
	var preamble []byte
	buffer := make([]byte, bufferBytes)
	for {
		start := len(preamble)
		for {
			n, err := r.Read(buffer)
			preamble = append(preamble, buffer[:n]...)
			if err != nil {
				return nil, err
			}
			if len(preamble) > maxPreamble {
				return preamble, nil
			}
			if r.lengthBytes == 0 && r.remaining == 0 {
				break
			}
		}
		if _, isType := typeDefinition(preamble[start:]); !isType {
			return preamble, nil
		}
	}
}

// prefixedReader reads preamble and then rest. It is an io.ByteReader, so that gob does
// not read beyond a message.
type prefixedReader struct {
	preamble []byte
	rest     *frameReader
}

// Read implements io.Reader.
func (r *prefixedReader) Read(p []byte) (int, error) {
	if len(r.preamble) == 0 {
		r.preamble = nil
		return r.rest.Read(p)
	}
	n := copy(p, r.preamble)
	r.preamble = r.preamble[n:]
	return n, nil
}

// ReadByte implements io.ByteReader.
func (r *prefixedReader) ReadByte() (byte, error) {
	if len(r.preamble) == 0 {
		return r.rest.ReadByte()
	}
	b := r.preamble[0]
	r.preamble = r.preamble[1:]
	return b, nil
}

var _ io.ByteReader = (*prefixedReader)(nil)
