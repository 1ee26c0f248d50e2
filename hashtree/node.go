// SPDX-License-Identifier: MIT

package hashtree

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"

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

// routes are a run of routes. What many of them have alike is there once, and what each has for itself in
// long texts: 14,000 whole routes as JSON took 97 ms to read, with what they have alike once 37 ms, and
// this way two thirds of that (BenchmarkTree, in turn, beside load). The processor is what entries have
// least of.
type routes struct {
	// Names, Hosts and Prefixes are of all routes in order, with a separator between two.
	Names    string `json:"n,omitempty"`
	Hosts    string `json:"h,omitempty"`
	Prefixes string `json:"p,omitempty"`
	// Numbers are those of the routes' shapes; none where there is one shape.
	Numbers []int           `json:"i,omitempty"`
	Shapes  []routing.Route `json:"s,omitempty"` // without name, host and prefix
	// Plain are the routes of a run in which a text has the separator; nothing else is set then.
	Plain []routing.Route `json:"l,omitempty"`

	list []routing.Route // as it was read
}

// separator stands between texts. A path that is asked for has none.
const separator = " "

// shapeRoutes returns a run as it is sent.
func shapeRoutes(list []routing.Route) *routes {
	run := &routes{Numbers: make([]int, len(list))}
	numbers := make(map[string]int)
	var names, hosts, prefixes []string
	for i, r := range list {
		if strings.Contains(r.Name+r.Host+r.Prefix, separator) {
			return &routes{Plain: list}
		}
		shape := r
		shape.Name, shape.Host, shape.Prefix = "", "", ""
		plain := string(encode(&shape))
		number, ok := numbers[plain]
		if !ok {
			number = len(run.Shapes)
			numbers[plain] = number
			run.Shapes = append(run.Shapes, shape)
		}
		run.Numbers[i] = number
		names, hosts, prefixes = append(names, r.Name), append(hosts, r.Host), append(prefixes, r.Prefix)
	}
	if len(run.Shapes) == 1 {
		run.Numbers = nil
	}
	run.Names, run.Hosts = strings.Join(names, separator), strings.Join(hosts, separator)
	run.Prefixes = strings.Join(prefixes, separator)
	return run
}

// read makes the list of a run that came.
func (r *routes) read() error {
	if len(r.Plain) > 0 {
		r.list, r.Plain = r.Plain, nil
		return nil
	}
	r.list = make([]routing.Route, strings.Count(r.Names, separator)+1)
	names, hosts, prefixes := r.Names, r.Hosts, r.Prefixes
	for i := range r.list {
		number := 0
		if i < len(r.Numbers) {
			number = r.Numbers[i]
		}
		if number < 0 || number >= len(r.Shapes) {
			return errors.Wrapf(ErrDamaged, "shape %d of %d", number, len(r.Shapes))
		}
		one := &r.list[i]
		*one = r.Shapes[number]
		one.Name, names, _ = strings.Cut(names, separator)
		one.Host, hosts, _ = strings.Cut(hosts, separator)
		one.Prefix, prefixes, _ = strings.Cut(prefixes, separator)
	}
	*r = routes{list: r.list}
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
	shapes shapes
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
	if u.shapes == nil {
		u.shapes = make(shapes)
	}
	n, err := u.shapes.readNode(u.plain.Bytes())
	if err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	if n.Routes != nil {
		return n, n.Routes.read()
	}
	return n, nil
}
