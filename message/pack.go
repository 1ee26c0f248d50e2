// SPDX-License-Identifier: MIT

package message

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/pkg/errors"
)

// maxUnpackedBytes bounds the decompressed size of a list, against damaged or hostile input: some 200 times the 161 kB
// that 3,000 endpoints take.
const maxUnpackedBytes = 36 << 20

// Packed is a list of endpoints, encoded and compressed. It lets the owner encode a list once
// and send it to many entries.
type Packed []byte

// Pack encodes and compresses a list.
func Pack(list []Endpoint) Packed {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // can't fail: the compression level is valid
	}
	if err := gob.NewEncoder(w).Encode(list); err != nil {
		panic(err) // can't fail for strings and numbers
	}
	if err := w.Close(); err != nil {
		panic(err) // can't fail for a bytes.Buffer
	}
	return b.Bytes()
}

// Unpack decodes the list; an empty Packed has no endpoints.
func (p Packed) Unpack() ([]Endpoint, error) {
	if len(p) == 0 {
		return nil, nil
	}
	var list []Endpoint
	r := io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpackedBytes)
	if err := gob.NewDecoder(r).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "decoding packed endpoints")
	}
	return list, nil
}
