// SPDX-License-Identifier: MIT

package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/pkg/errors"

	"lynxramp.org/consensus"
	"lynxramp.org/level"
)

// A record has magic (4 bytes), content length (4), CRC-32C of the content (4) and the content.
// Numbers are big-endian.
const (
	headerBytes = 12
	maxRecord   = 64 << 20
)

var (
	magic    = []byte{0xb1, 'l', 'y', 'x'}
	checksum = crc32.MakeTable(crc32.Castagnoli)
)

// The kinds of records: the first byte of the content.
const (
	recordHardState byte = iota + 1
	recordEntry
	recordSnapshot
	recordChunk
)

// lastRecord is the highest kind that this build reads.
const lastRecord = recordChunk

// unexpectedRecord returns the error for an intact record of a wrong kind: the file is damaged if
// the kind is known; otherwise a newer build wrote it.
func unexpectedRecord(kind byte) error {
	if kind <= lastRecord {
		return errors.Wrapf(ErrDamaged, "record of kind %d", kind)
	}
	return &level.UnsupportedError{
		Source: "the data folder", Found: fmt.Sprintf("a record of kind %d", kind),
		Supported: fmt.Sprintf("kinds up to %d (level %d)", lastRecord, level.Newest),
	}
}

// ErrDamaged says that a file's content is not what was written.
var ErrDamaged = errors.New("the data folder is damaged")

// errTorn says that a record is incomplete or damaged.
var errTorn = errors.New("torn record")

// appendRecord appends a record with the content to buf.
func appendRecord(buf, content []byte) []byte {
	buf = append(buf, magic...)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(content)))
	buf = binary.BigEndian.AppendUint32(buf, crc32.Checksum(content, checksum))
	return append(buf, content...)
}

// readRecord returns the content of the record at the start of data, and the length of the record.
// It fails with errTorn if the record is incomplete or damaged.
func readRecord(data []byte) (content []byte, length int, err error) {
	if len(data) < headerBytes || !bytes.Equal(data[:4], magic) {
		return nil, 0, errTorn
	}
	size := int64(binary.BigEndian.Uint32(data[4:]))
	if size > maxRecord || int64(len(data)) < headerBytes+size {
		return nil, 0, errTorn
	}
	content = data[headerBytes : headerBytes+size]
	if crc32.Checksum(content, checksum) != binary.BigEndian.Uint32(data[8:]) {
		return nil, 0, errTorn
	}
	return content, headerBytes + int(size), nil
}

// containsRecord reports whether an intact record begins anywhere in data.
func containsRecord(data []byte) bool {
	for {
		i := bytes.Index(data, magic)
		if i < 0 {
			return false
		}
		if _, _, err := readRecord(data[i:]); err == nil {
			return true
		}
		data = data[i+1:]
	}
}

func appendHardState(buf []byte, h consensus.HardState) []byte {
	content := []byte{recordHardState}
	content = binary.BigEndian.AppendUint64(content, uint64(h.Term))
	content = append(content, h.Vote...)
	return appendRecord(buf, content)
}

func parseHardState(content []byte) (consensus.HardState, error) {
	if len(content) < 8 {
		return consensus.HardState{}, errors.Wrap(ErrDamaged, "hard state")
	}
	return consensus.HardState{
		Term: consensus.Term(binary.BigEndian.Uint64(content)),
		Vote: consensus.ID(content[8:]),
	}, nil
}

// entryHeaderBytes is the length of an entry's index, term and kind.
const entryHeaderBytes = 17

func appendEntry(buf []byte, e consensus.Entry) []byte {
	content := make([]byte, 0, 1+entryHeaderBytes+len(e.Data))
	content = append(content, recordEntry)
	content = binary.BigEndian.AppendUint64(content, uint64(e.Index))
	content = binary.BigEndian.AppendUint64(content, uint64(e.Term))
	content = append(content, byte(e.Kind))
	content = append(content, e.Data...)
	return appendRecord(buf, content)
}

func parseEntry(content []byte) (consensus.Entry, error) {
	if len(content) < entryHeaderBytes {
		return consensus.Entry{}, errors.Wrap(ErrDamaged, "entry")
	}
	return consensus.Entry{
		Index: consensus.Index(binary.BigEndian.Uint64(content)),
		Term:  consensus.Term(binary.BigEndian.Uint64(content[8:])),
		Kind:  consensus.EntryKind(content[16]),
		Data:  bytes.Clone(content[entryHeaderBytes:]),
	}, nil
}
