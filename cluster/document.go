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

// This file is how a configuration stands in the log: in parts, each a command of its own, so that
// replicating one of any size goes on over lost connections and changes of the leader.

const (
	// maxPartBytes is the most of a document in a part, before it is compressed. As a message of the
	// replicated log has at most so much too, a part holds nothing up, and none is sent in vain.
	maxPartBytes = 32 << 10
	// maxDocumentBytes is the largest document that is read, in bytes: twice what operators may send.
	maxDocumentBytes = 64 << 20
)

// Document is a configuration as its operator sent it.
type Document struct {
	Version uint64
	Data    []byte

	packed *packed // nil until pack
}

// packed is a document as the log has it.
type packed struct {
	key   documentKey
	parts [][]byte // compressed, each by itself
}

// documentKey tells documents apart by their content.
type documentKey struct {
	Version uint64
	Size    uint32 // bytes
	Sum     [sha256.Size]byte
}

// keyBytes is the length of an encoded key, partHeader that of what goes before a part.
const (
	keyBytes   = 8 + 4 + sha256.Size
	partHeader = keyBytes + 4
)

// pack makes the document's parts. It takes some 30 ms for 3 MB: a Server calls it beside the
// loop.
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
		panic(err) // a buffer takes all, and the level is a known one
	}
	return b.Bytes()
}

// decompressPart adds to data what a part holds.
func decompressPart(data, part []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(part))
	b := bytes.NewBuffer(data)
	n, err := io.Copy(b, io.LimitReader(r, maxPartBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "part of a document")
	case n > maxPartBytes:
		return nil, errors.New("part of a document is too long")
	}
	return b.Bytes(), nil
}

func appendKey(data []byte, k documentKey) []byte {
	data = binary.BigEndian.AppendUint64(data, k.Version)
	data = binary.BigEndian.AppendUint32(data, k.Size)
	return append(data, k.Sum[:]...)
}

// parseKey reads a key from data, which has at least keyBytes.
func parseKey(data []byte) documentKey {
	k := documentKey{Version: binary.BigEndian.Uint64(data), Size: binary.BigEndian.Uint32(data[8:])}
	copy(k.Sum[:], data[12:])
	return k
}

// encodePart returns the command that brings a part of a packed document.
func (p *packed) encodePart(number int) []byte {
	data := make([]byte, 0, 1+partHeader+len(p.parts[number]))
	data = appendKey(append(data, commandDocument), p.key)
	data = binary.BigEndian.AppendUint32(data, uint32(number))
	return append(data, p.parts[number]...)
}

// versionBytes is the length of a version before a whole document.
const versionBytes = 8

// encodeWhole returns the command that brings a document whole, for groups with boxes below
// level.Parts. It is of the same kind as that of a part.
func (d *Document) encodeWhole() []byte {
	data := make([]byte, 0, 1+versionBytes+len(d.Data))
	data = binary.BigEndian.AppendUint64(append(data, commandDocument), d.Version)
	return append(data, d.Data...)
}

// isWholeDocument tells a command's body that is a version and a document from one that is a part: a
// part has the document's size behind the version, whose first byte is at most that of
// maxDocument. A document is a text there, whose bytes are all above that.
func isWholeDocument(body []byte) bool {
	return len(body) > versionBytes && body[versionBytes] > maxDocumentBytes>>24
}

// applyWholeDocument takes a document that came whole.
func (m *stateMachine) applyWholeDocument(body []byte) change {
	m.observeFormat(level.Listed)
	version := binary.BigEndian.Uint64(body)
	if version <= m.document.Version {
		return change{}
	}
	m.document = Document{Version: version, Data: body[versionBytes:]}
	return change{document: true}
}

// upload is a document of which not all parts have come. There is one at a time: the first part
// of another takes its place, so that documents that were given up don't pile up.
type upload struct {
	key   documentKey
	parts [][]byte
	data  []byte
	sum   hash.Hash
}

// add takes the next part.
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
		return errors.New("document is longer than it was said to be")
	}
	u.data = data
	u.parts = append(u.parts, part)
	_, err = u.sum.Write(data[before:])
	return err
}

// isComplete reports whether all parts have come.
func (u *upload) isComplete() bool { return len(u.parts) > 0 && uint32(len(u.data)) == u.key.Size }

// document returns the whole document.
func (u *upload) document() (Document, error) {
	if !bytes.Equal(u.sum.Sum(nil), u.key.Sum[:]) {
		return Document{}, errors.New("document is not what was sent")
	}
	return Document{Version: u.key.Version, Data: u.data, packed: &packed{key: u.key, parts: u.parts}}, nil
}

// applyDocument takes a document that came whole, or a part of one. One that can't be read tells nothing
// of what members read.
func (m *stateMachine) applyDocument(body []byte) (change, error) {
	if isWholeDocument(body) {
		return m.applyWholeDocument(body), nil
	}
	c, err := m.applyPart(body)
	if err == nil {
		m.observeFormat(level.Parts)
	}
	return c, err
}

// applyPart takes a part of a document; the last one puts the document in force.
func (m *stateMachine) applyPart(body []byte) (change, error) {
	if len(body) < partHeader {
		return change{}, errors.New("part of a document without its header")
	}
	key := parseKey(body)
	number := binary.BigEndian.Uint32(body[keyBytes:])
	if key.Version <= m.document.Version {
		return change{}, nil
	}
	if key.Size > maxDocumentBytes {
		return change{}, errors.Errorf("document of %d bytes", key.Size)
	}
	if m.upload.key != key {
		if number != 0 {
			return change{}, nil
		}
		m.upload = upload{key: key}
	}
	if number != uint32(len(m.upload.parts)) {
		return change{}, nil // it is known
	}
	err := m.upload.add(body[partHeader:])
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

// dropUploadOnError drops a document of which a part could not be read.
func (m *stateMachine) dropUploadOnError(err error) error {
	if err != nil {
		m.upload = upload{}
	}
	return err
}
