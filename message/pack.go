// SPDX-License-Identifier: MIT

package message

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/pkg/errors"
)

// packedMost bounds what Unpack reads, in bytes: some 200 times the 161 kB that 3,000
// endpoints take before they are compressed.
const packedMost = 36 << 20

// Packed is a list of endpoints, encoded and compressed. A list for many entries is packed
// once: 3,000 endpoints for each of 300 entries would otherwise be encoded 900,000 times.
// They take 57 kB packed and 161 kB encoded alone.
type Packed []byte

// Pack packs a list.
func Pack(list []Endpoint) Packed {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is one that there is
	}
	if err := gob.NewEncoder(w).Encode(list); err != nil {
		panic(err) // texts and numbers always encode
	}
	if err := w.Close(); err != nil {
		panic(err) // a buffer takes all
	}
	return b.Bytes()
}

// Unpack returns the list; none of no bytes.
func (p Packed) Unpack() ([]Endpoint, error) {
	if len(p) == 0 {
		return nil, nil
	}
	var list []Endpoint
	r := io.LimitReader(flate.NewReader(bytes.NewReader(p)), packedMost)
	if err := gob.NewDecoder(r).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "packed endpoints")
	}
	return list, nil
}
