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

// sumBytes is the length of a Sum; collisions of 128 bits are not expected.
const sumBytes = 16

// maxNodeBytes bounds the uncompressed length of a node. Runs end at maxRunBytes; only a single
// long item makes a longer node.
const maxNodeBytes = 64 << 20

var (
	// ErrDamaged says that a node does not match its Sum, or can't be decoded.
	ErrDamaged = errors.New("configuration node is damaged")
)

// Sum identifies a node by its content: the first 128 bits of its SHA-256. The zero Sum means none.
type Sum [sumBytes]byte

// MarshalText implements encoding.TextMarshaler.
func (s Sum) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, s[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Sum) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != sumBytes {
		return errors.Errorf("configuration node sum has %d hex digits", len(text))
	}
	_, err := hex.Decode(s[:], text)
	return errors.Wrap(err, "decoding a configuration node sum")
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (s Sum) MarshalBinary() ([]byte, error) { return s[:], nil }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (s *Sum) UnmarshalBinary(data []byte) error {
	if len(data) != sumBytes {
		return errors.Errorf("configuration node sum has %d bytes", len(data))
	}
	copy(s[:], data)
	return nil
}

// Packed is an encoded and compressed node.
type Packed []byte

// Child is a reference to a node in its parent.
type Child struct {
	Sum Sum `json:"s"`
	// Bytes is its encoded length.
	Bytes int `json:"b"`
}

// key is a key of a team. Keys are separate items because one team may have very many.
type key struct {
	Team string `json:"t"`
	Key  string `json:"k"`
}

// node is one node: exactly one field is set.
type node struct {
	Children []Child           `json:"c,omitempty"`
	Routes   *routes           `json:"r,omitempty"`
	Services []routing.Service `json:"s,omitempty"`
	Teams    []routing.Team    `json:"t,omitempty"`
	Keys     []key             `json:"k,omitempty"`
	Limits   *routing.Limits   `json:"l,omitempty"`
}

// routes is a run of routes. Everything but name, host and prefix is stored once per distinct
// value, as a template, and each of those three as one long string, which takes far less processor
// time to read than whole routes in JSON: 14,000 routes took 97 ms whole, 37 ms with templates, and two thirds of that
// with the long strings (BenchmarkTree).
type routes struct {
	// Names, Hosts and Prefixes have those of all routes in order, joined by the separator.
	Names    string `json:"n,omitempty"`
	Hosts    string `json:"h,omitempty"`
	Prefixes string `json:"p,omitempty"`
	// TemplateIndexes has the template of each route; empty if there is only one template.
	TemplateIndexes []int           `json:"i,omitempty"`
	Templates       []routing.Route `json:"s,omitempty"` // without name, host and prefix
	// Verbatim has the routes of a run in which a string contains the separator; no other field is
	// set then.
	Verbatim []routing.Route `json:"l,omitempty"`

	list []routing.Route // the decoded run
}

// separator joins strings. Request paths do not contain it.
const separator = " "

// encodeRoutes returns a run in its encoded form.
func encodeRoutes(list []routing.Route) *routes {
	run := &routes{TemplateIndexes: make([]int, len(list))}
	indexes := make(map[string]int)
	var names, hosts, prefixes []string
	for i, r := range list {
		if strings.Contains(r.Name+r.Host+r.Prefix, separator) {
			return &routes{Verbatim: list}
		}
		template := r
		template.Name, template.Host, template.Prefix = "", "", ""
		plain := string(encode(&template))
		index, ok := indexes[plain]
		if !ok {
			index = len(run.Templates)
			indexes[plain] = index
			run.Templates = append(run.Templates, template)
		}
		run.TemplateIndexes[i] = index
		names, hosts, prefixes = append(names, r.Name), append(hosts, r.Host), append(prefixes, r.Prefix)
	}
	if len(run.Templates) == 1 {
		run.TemplateIndexes = nil
	}
	run.Names, run.Hosts = strings.Join(names, separator), strings.Join(hosts, separator)
	run.Prefixes = strings.Join(prefixes, separator)
	return run
}

// decode fills the list from the encoded form, which it drops.
func (r *routes) decode() error {
	if len(r.Verbatim) > 0 {
		r.list, r.Verbatim = r.Verbatim, nil
		return nil
	}
	r.list = make([]routing.Route, strings.Count(r.Names, separator)+1)
	names, hosts, prefixes := r.Names, r.Hosts, r.Prefixes
	for i := range r.list {
		index := 0
		if i < len(r.TemplateIndexes) {
			index = r.TemplateIndexes[i]
		}
		if index < 0 || index >= len(r.Templates) {
			return errors.Wrapf(ErrDamaged, "template %d of %d", index, len(r.Templates))
		}
		route := &r.list[i]
		*route = r.Templates[index]
		route.Name, names, _ = strings.Cut(names, separator)
		route.Host, hosts, _ = strings.Cut(hosts, separator)
		route.Prefix, prefixes, _ = strings.Cut(prefixes, separator)
	}
	*r = routes{list: r.list}
	return nil
}

func sumOf(plain []byte) Sum {
	whole := sha256.Sum256(plain)
	return Sum(whole[:sumBytes])
}

// packer compresses nodes and reuses its buffers.
type packer struct {
	out    bytes.Buffer
	writer *flate.Writer
}

func newPacker() *packer {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(err) // the compression level is valid
	}
	return &packer{writer: w}
}

func (p *packer) pack(plain []byte) Packed {
	p.out.Reset()
	p.writer.Reset(&p.out)
	if _, err := p.writer.Write(plain); err != nil {
		panic(err) // a buffer never fails
	}
	if err := p.writer.Close(); err != nil {
		panic(err)
	}
	return bytes.Clone(p.out.Bytes())
}

// unpacker decodes nodes and reuses its buffers.
type unpacker struct {
	in            bytes.Reader
	reader        io.ReadCloser
	plain         bytes.Buffer
	templateCache templateCache
}

// unpack decodes a node and checks it against its sum.
func (u *unpacker) unpack(sum Sum, packed Packed) (*node, error) {
	u.in.Reset(packed)
	if u.reader == nil {
		u.reader = flate.NewReader(&u.in)
	} else if err := u.reader.(flate.Resetter).Reset(&u.in, nil); err != nil {
		return nil, errors.Wrap(err, "resetting the node decompressor")
	}
	u.plain.Reset()
	if _, err := u.plain.ReadFrom(io.LimitReader(u.reader, maxNodeBytes)); err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	if sumOf(u.plain.Bytes()) != sum {
		return nil, ErrDamaged
	}
	if u.templateCache == nil {
		u.templateCache = make(templateCache)
	}
	n, err := u.templateCache.readNode(u.plain.Bytes())
	if err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	if n.Routes != nil {
		return n, n.Routes.decode()
	}
	return n, nil
}
