// SPDX-License-Identifier: MIT

package hashtree

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"lynxramp.org/routing"
)

// sumBytes is the length of a Sum: two contents with the same 128 bits are not met.
const sumBytes = 16

// plainMost bounds the length of a node before it is packed, in bytes. Runs end at runBytes; only an
// item that is longer by itself makes a longer node.
const plainMost = 64 << 20

// Errors of nodes that come over a link.
var (
	// ErrDamaged says that a node is not the one that its Sum names.
	ErrDamaged = errors.New("a node of the configuration is damaged")
)

// Sum names a node by its content. The zero Sum names none.
type Sum [sumBytes]byte

// MarshalText implements encoding.TextMarshaler.
func (s Sum) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, s[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Sum) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != sumBytes {
		return errors.Errorf("a sum of %d signs", len(text))
	}
	_, err := hex.Decode(s[:], text)
	return errors.Wrap(err, "sum")
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (s Sum) MarshalBinary() ([]byte, error) { return s[:], nil }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (s *Sum) UnmarshalBinary(data []byte) error {
	if len(data) != sumBytes {
		return errors.Errorf("a sum of %d bytes", len(data))
	}
	copy(s[:], data)
	return nil
}

// Packed is a node, encoded and compressed.
type Packed []byte

// Child is a node as the one above it names it.
type Child struct {
	Sum Sum `json:"s"`
	// Bytes is how long it is on a link.
	Bytes int `json:"b"`
}

// key is a key of a team. Keys have items of their own: one team may have very many.
type key struct {
	Team string `json:"t"`
	Key  string `json:"k"`
}

// node is one node: exactly one of its fields is set.
type node struct {
	Children []Child           `json:"c,omitempty"`
	Routes   *routes           `json:"r,omitempty"`
	Services []routing.Service `json:"s,omitempty"`
	Teams    []routing.Team    `json:"t,omitempty"`
	Keys     []key             `json:"k,omitempty"`
	Limits   *routing.Limits   `json:"l,omitempty"`
}

// routes are a run of routes. What many of them have alike is there once: a node of 64 routes is read
// in half the time so, which is what binds on an entry of 0.144 of a core.
type routes struct {
	Places []place         `json:"p"`
	Shapes []routing.Route `json:"s"` // without name, host and prefix
	list   []routing.Route // as it was read
}

// place is where a route stands, and its shape by number.
type place struct {
	Name   string `json:"n"`
	Host   string `json:"h"`
	Prefix string `json:"p"`
	Shape  int    `json:"s"`
}

// shapeRoutes returns a run as it is sent.
func shapeRoutes(list []routing.Route) *routes {
	run := &routes{Places: make([]place, len(list))}
	numbers := make(map[string]int)
	for i, r := range list {
		shape := r
		shape.Name, shape.Host, shape.Prefix = "", "", ""
		plain := string(encode(&shape))
		number, ok := numbers[plain]
		if !ok {
			number = len(run.Shapes)
			numbers[plain] = number
			run.Shapes = append(run.Shapes, shape)
		}
		run.Places[i] = place{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Shape: number}
	}
	return run
}

// read makes the list of a run that came.
func (r *routes) read() error {
	r.list = make([]routing.Route, len(r.Places))
	for i, p := range r.Places {
		if p.Shape < 0 || p.Shape >= len(r.Shapes) {
			return errors.Wrapf(ErrDamaged, "shape %d of %d", p.Shape, len(r.Shapes))
		}
		r.list[i] = r.Shapes[p.Shape]
		r.list[i].Name, r.list[i].Host, r.list[i].Prefix = p.Name, p.Host, p.Prefix
	}
	r.Places, r.Shapes = nil, nil
	return nil
}

func sumOf(plain []byte) Sum {
	whole := sha256.Sum256(plain)
	return Sum(whole[:sumBytes])
}

// packer compresses nodes one after another.
type packer struct {
	out    bytes.Buffer
	writer *flate.Writer
}

func newPacker() *packer {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is one that there is
	}
	return &packer{writer: w}
}

func (p *packer) pack(plain []byte) Packed {
	p.out.Reset()
	p.writer.Reset(&p.out)
	if _, err := p.writer.Write(plain); err != nil {
		panic(err) // a buffer takes all
	}
	if err := p.writer.Close(); err != nil {
		panic(err)
	}
	return bytes.Clone(p.out.Bytes())
}

// unpacker reads nodes one after another.
type unpacker struct {
	in     bytes.Reader
	reader io.ReadCloser
	plain  bytes.Buffer
}

// unpack reads a node and checks that it is the one that sum names.
func (u *unpacker) unpack(sum Sum, packed Packed) (*node, error) {
	u.in.Reset(packed)
	if u.reader == nil {
		u.reader = flate.NewReader(&u.in)
	} else if err := u.reader.(flate.Resetter).Reset(&u.in, nil); err != nil {
		return nil, errors.Wrap(err, "node")
	}
	u.plain.Reset()
	if _, err := u.plain.ReadFrom(io.LimitReader(u.reader, plainMost)); err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	if sumOf(u.plain.Bytes()) != sum {
		return nil, ErrDamaged
	}
	n := &node{}
	if err := json.Unmarshal(u.plain.Bytes(), n); err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	if n.Routes != nil {
		return n, n.Routes.read()
	}
	return n, nil
}
