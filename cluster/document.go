// SPDX-License-Identifier: MIT

package cluster

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"

	"github.com/pkg/errors"

	"lynxramp.org/level"
)

// This file stores a configuration in the log as parts, each a command of its own, so that the
// replication of a large one survives lost connections and changes of the leader.

const (
	// maxPartBytes bounds the document bytes in a part, before compression. It is also the size limit
	// of a message of the replicated log, so that each part fits in a message.
	maxPartBytes = 32 << 10
	// maxDocumentBytes is the largest document that is read: twice what operators may submit.
	maxDocumentBytes = 64 << 20
)

// Document is a configuration as submitted by an operator.
type Document struct {
	Version uint64
	Data    []byte

	packed *packed // nil until pack
}

// packed is a document in the format of the log.
type packed struct {
	key   documentKey
	parts [][]byte // compressed separately
}

// documentKey identifies a document by its content.
type documentKey struct {
	Version uint64
	Size    uint32 // bytes
	Sum     [sha256.Size]byte
}

// keyBytes is the length of an encoded key, partHeaderBytes that of the header of a part.
const (
	keyBytes        = 8 + 4 + sha256.Size
	partHeaderBytes = keyBytes + 4
)

// pack splits the document into compressed parts. It takes some 30 ms for 3 MB, so a Server calls it
// outside the event loop.
func (d *Document) pack() {
	if d.packed != nil {
		return
	}
	key := documentKey{Version: d.Version, Size: uint32(len(d.Data)), Sum: sha256.Sum256(d.Data)}
	p := &packed{key: key}
	for rest := d.Data; len(rest) > 0 || len(p.parts) == 0; {
		n := min(maxPartBytes, len(rest))
		p.parts = append(p.parts, compress(rest[:n]))
		rest = rest[n:]
	}
	d.packed = p
}

func compress(data []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(err) // a buffer accepts any write, and the compression level is valid
	}
	return b.Bytes()
}

// decompressPart appends the content of a part to data.
func decompressPart(data, part []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(part))
	b := bytes.NewBuffer(data)
	n, err := io.Copy(b, io.LimitReader(r, maxPartBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "decompress document part")
	case n > maxPartBytes:
		return nil, errors.New("document part exceeds the size limit")
	}
	return b.Bytes(), nil
}

func appendKey(data []byte, k documentKey) []byte {
	data = binary.BigEndian.AppendUint64(data, k.Version)
	data = binary.BigEndian.AppendUint32(data, k.Size)
	return append(data, k.Sum[:]...)
}

// parseKey decodes a key from data, which must have at least keyBytes.
func parseKey(data []byte) documentKey {
	k := documentKey{Version: binary.BigEndian.Uint64(data), Size: binary.BigEndian.Uint32(data[8:])}
	copy(k.Sum[:], data[12:])
	return k
}

// encodePart returns the command with one part of a packed document.
func (p *packed) encodePart(number int) []byte {
	data := make([]byte, 0, 1+partHeaderBytes+len(p.parts[number]))
	data = appendKey(append(data, commandDocument), p.key)
	data = binary.BigEndian.AppendUint32(data, uint32(number))
	return append(data, p.parts[number]...)
}

// versionBytes is the length of the version before a whole document.
const versionBytes = 8

// encodeWhole returns the command with a whole document, for groups with boxes that don't support
// parts. It has the same kind as the command with a part.
func (d *Document) encodeWhole() []byte {
	data := make([]byte, 0, 1+versionBytes+len(d.Data))
	data = binary.BigEndian.AppendUint64(append(data, commandDocument), d.Version)
	return append(data, d.Data...)
}

// isWholeDocument reports whether a command's body is a version and a whole document, not a part.
// In a part the version is followed by the size, whose first byte is at most that of
// maxDocumentBytes; a whole document is text there, whose bytes are all larger.
func isWholeDocument(body []byte) bool {
	return len(body) > versionBytes && body[versionBytes] > maxDocumentBytes>>24
}

// applyWholeDocument applies a whole document.
func (m *stateMachine) applyWholeDocument(body []byte) change {
	m.observeFormat(level.Listed)
	version := binary.BigEndian.Uint64(body)
	if version <= m.document.Version {
		return change{}
	}
	m.document = Document{Version: version, Data: body[versionBytes:]}
	return change{document: true}
}

// upload is an incomplete document. There is one at a time: the first part of another document
// replaces it, so that abandoned uploads don't accumulate.
type upload struct {
	key   documentKey
	parts [][]byte
	data  []byte
	sum   hash.Hash
}

// add appends the next part.
func (u *upload) add(part []byte) error {
	if u.data == nil {
		u.data = make([]byte, 0, u.key.Size)
		u.sum = sha256.New()
	}
	before := len(u.data)
	data, err := decompressPart(u.data, part)
	if err != nil {
		return err
	}
	if uint32(len(data)) > u.key.Size {
		return errors.New("document exceeds its declared size")
	}
	u.data = data
	u.parts = append(u.parts, part)
	_, err = u.sum.Write(data[before:])
	return err
}

// isComplete reports whether all parts were added.
func (u *upload) isComplete() bool { return len(u.parts) > 0 && uint32(len(u.data)) == u.key.Size }

// document returns the complete document.
func (u *upload) document() (Document, error) {
	if !bytes.Equal(u.sum.Sum(nil), u.key.Sum[:]) {
		return Document{}, errors.New("document checksum mismatch")
	}
	return Document{Version: u.key.Version, Data: u.data, packed: &packed{key: u.key, parts: u.parts}}, nil
}

// applyDocument applies a whole document or a part of one. One that can't be read does not raise the
// format version.
func (m *stateMachine) applyDocument(body []byte) (change, error) {
	if isWholeDocument(body) {
		return m.applyWholeDocument(body), nil
	}
	c, err := m.applyPart(body)
	if err == nil {
		m.observeFormat(level.Chunked)
	}
	return c, err
}

// applyPart applies a part of a document; the last one completes the document.
func (m *stateMachine) applyPart(body []byte) (change, error) {
	if len(body) < partHeaderBytes {
		return change{}, errors.New("document part is shorter than its header")
	}
	key := parseKey(body)
	number := binary.BigEndian.Uint32(body[keyBytes:])
	if key.Version <= m.document.Version {
		return change{}, nil
	}
	if key.Size > maxDocumentBytes {
		return change{}, errors.Errorf("document size of %d bytes exceeds the limit", key.Size)
	}
	if m.upload.key != key {
		if number != 0 {
			return change{}, nil
		}
		m.upload = upload{key: key}
	}
	if number != uint32(len(m.upload.parts)) {
		return change{}, nil // a duplicate, or out of order
	}
	err := m.upload.add(body[partHeaderBytes:])
	if err != nil || !m.upload.isComplete() {
		return change{}, m.dropUploadOnError(err)
	}
	d, err := m.upload.document()
	m.upload = upload{}
	if err != nil {
		return change{}, err
	}
	m.document = d
	return change{document: true}, nil
}

// dropUploadOnError drops the upload if a part could not be read.
func (m *stateMachine) dropUploadOnError(err error) error {
	if err != nil {
		m.upload = upload{}
	}
	return err
}
