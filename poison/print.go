// SPDX-License-Identifier: MIT

package poison

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/pkg/errors"
)

// fingerprintBytes is the length of a Fingerprint: 128 bits, so that collisions cannot be found.
const fingerprintBytes = 16

// Fingerprint identifies the content of a request: requests with equal Fingerprints are of one
// team and have the same method, host, URI and body. It has fingerprintBytes raw bytes of a keyed
// hash; it is empty for a request without one.
type Print string

// String returns the fingerprint in hexadecimal, as in logs.
func (p Print) String() string { return hex.EncodeToString([]byte(p)) }

// MarshalText implements encoding.TextMarshaler.
func (p Print) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Print) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "decode request fingerprint")
	}
	*p = Print(data)
	return nil
}

// Fingerprinter computes the Fingerprint of a request incrementally while its body arrives:
// hashing a large body at once would block a box for milliseconds. The body is written to it.
type Printer struct{ hash hash.Hash }

// NewFingerprinter returns a Fingerprinter for a request of a team, whose name may be empty. The
// team is the key of the hash, so that no team can forge a request with another team's fingerprint.
func NewPrinter(team, method, host, uri string) *Printer {
	p := &Printer{hash: hmac.New(sha256.New, []byte(team))}
	for _, field := range []string{method, host, uri} {
		p.hash.Write(binary.AppendUvarint(nil, uint64(len(field))))
		p.hash.Write([]byte(field))
	}
	return p
}

// Write adds a part of the body. It never fails.
func (p *Printer) Write(part []byte) (int, error) { return p.hash.Write(part) }

// Sum returns the fingerprint of the request with the body written so far.
func (p *Printer) Print() Print { return Print(p.hash.Sum(nil)[:fingerprintBytes]) }
