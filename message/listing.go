// SPDX-License-Identifier: MIT

package message

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net/netip"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"lynxramp.org/registry"
)

// Listing is a list of endpoints, column by column and compressed, for boxes that read level.Instances. It has
// what entries need: not the count of an endpoint's messages. 1,000 endpoints with their starts take 13 kB
// (BenchmarkListing), as Packed 22, and 29 with the counts: that is most of what a thousand entries are sent when all processes
// start anew.
type Listing []byte

// columns are the endpoints of a listing.
type columns struct {
	// Prefix is what all names begin with, and Names the rest of each, of NameBytes if they are all as long,
	// else separated by blanks, which no name has.
	Prefix, Names string
	NameBytes     int
	Earliest      uint64 // the earliest start that any tells
	// Born is how long after Earliest each started, plus one, as varints; 0 for one that does not tell.
	Born []byte
	// Hosts and Ports are the addresses: all first bytes of hosts, then all second ones and so on, and two bytes
	// a port. If there is an address of another form, all are in Addresses.
	Hosts, Ports []byte
	Addresses    []string
	// Service and DataCentre are indexes into the texts, two bytes each.
	Texts               []string
	Service, DataCentre []byte
	Slots               []int
	Flags               []byte
}

// Flags of an endpoint in a listing.
const (
	flagLeaving = 1 << iota
	flagDown
)

// List makes a listing.
func List(list []Endpoint) Listing {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is one that there is
	}
	if err := gob.NewEncoder(w).Encode(columnsOf(list)); err != nil {
		panic(err) // texts and numbers always encode
	}
	if err := w.Close(); err != nil {
		panic(err) // a buffer takes all
	}
	return b.Bytes()
}

func columnsOf(list []Endpoint) *columns {
	c := &columns{}
	names := make([]string, len(list))
	for i := range list {
		name, born := registry.ParseID(list[i].ID)
		names[i] = name
		if born > 0 && (c.Earliest == 0 || born < c.Earliest) {
			c.Earliest = born
		}
	}
	c.addNames(names)
	texts := make(map[string]uint16)
	index := func(text string) uint16 {
		i, ok := texts[text]
		if !ok {
			i = uint16(len(texts))
			texts[text] = i
			c.Texts = append(c.Texts, text)
		}
		return i
	}
	for i := range list {
		e := &list[i]
		after := uint64(0)
		if _, born := registry.ParseID(e.ID); born > 0 {
			after = born - c.Earliest + 1
		}
		c.Born = binary.AppendUvarint(c.Born, after)
		c.Service = binary.BigEndian.AppendUint16(c.Service, index(e.Service))
		c.DataCentre = binary.BigEndian.AppendUint16(c.DataCentre, index(e.DataCentre))
		c.Slots = append(c.Slots, e.Slots)
		flags := byte(0)
		if e.Leaving {
			flags |= flagLeaving
		}
		if e.Down {
			flags |= flagDown
		}
		c.Flags = append(c.Flags, flags)
	}
	c.addAddresses(list)
	return c
}

// addNames writes the names of a list.
func (c *columns) addNames(names []string) {
	if len(names) == 0 {
		return
	}
	c.Prefix = names[0]
	for _, name := range names {
		for !strings.HasPrefix(name, c.Prefix) {
			c.Prefix = c.Prefix[:len(c.Prefix)-1]
		}
	}
	c.NameBytes = len(names[0]) - len(c.Prefix)
	rests := make([]string, len(names))
	for i, name := range names {
		rests[i] = name[len(c.Prefix):]
		if len(rests[i]) != c.NameBytes {
			c.NameBytes = 0
		}
	}
	separator := " "
	if c.NameBytes > 0 {
		separator = ""
	}
	c.Names = strings.Join(rests, separator)
}

// names returns the names of a list of n endpoints; fewer or more if they don't fit.
func (c *columns) names() []string {
	if c.NameBytes <= 0 {
		return strings.Split(c.Names, " ")
	}
	var list []string
	for rest := range slices.Chunk([]byte(c.Names), c.NameBytes) {
		list = append(list, string(rest))
	}
	return list
}

// born returns the starts of n endpoints.
func (c *columns) born(n int) ([]uint64, error) {
	list := make([]uint64, n)
	rest := c.Born
	for i := range list {
		after, size := binary.Uvarint(rest)
		if size <= 0 {
			return nil, errListing
		}
		if after > 0 {
			list[i] = c.Earliest + after - 1
		}
		rest = rest[size:]
	}
	if len(rest) > 0 {
		return nil, errListing
	}
	return list, nil
}

// addAddresses writes the addresses of a list in the shorter form, if all have it.
func (c *columns) addAddresses(list []Endpoint) {
	n := len(list)
	c.Hosts = make([]byte, 4*n)
	for i := range list {
		a, err := netip.ParseAddrPort(list[i].Address)
		if err != nil || !a.Addr().Is4() || a.String() != list[i].Address {
			c.Hosts, c.Ports, c.Addresses = nil, nil, make([]string, len(list))
			for i := range list {
				c.Addresses[i] = list[i].Address
			}
			return
		}
		for k, b := range a.Addr().As4() {
			c.Hosts[k*n+i] = b
		}
		c.Ports = binary.BigEndian.AppendUint16(c.Ports, a.Port())
	}
}

// errListing says that a listing's columns don't fit together.
var errListing = errors.New("the columns of listed endpoints don't fit together")

// Endpoints returns the list; none of no bytes.
func (l Listing) Endpoints() ([]Endpoint, error) {
	if len(l) == 0 {
		return nil, nil
	}
	c := &columns{}
	r := io.LimitReader(flate.NewReader(bytes.NewReader(l)), packedMost)
	if err := gob.NewDecoder(r).Decode(c); err != nil {
		return nil, errors.Wrap(err, "listed endpoints")
	}
	n := len(c.Flags)
	names := c.names()
	short := len(c.Hosts) == 4*n && len(c.Ports) == 2*n && len(c.Addresses) == 0
	long := len(c.Addresses) == n && len(c.Hosts)+len(c.Ports) == 0
	if len(names) != n || len(c.Service) != 2*n || len(c.DataCentre) != 2*n || len(c.Slots) != n || !short && !long {
		return nil, errListing
	}
	born, err := c.born(n)
	if err != nil {
		return nil, err
	}
	list := make([]Endpoint, n)
	for i := range list {
		service, dataCentre := int(binary.BigEndian.Uint16(c.Service[2*i:])), int(binary.BigEndian.Uint16(c.DataCentre[2*i:]))
		if max(service, dataCentre) >= len(c.Texts) {
			return nil, errListing
		}
		e := &list[i]
		e.ID = registry.StartID(c.Prefix+names[i], born[i])
		e.Service, e.DataCentre, e.Slots = c.Texts[service], c.Texts[dataCentre], c.Slots[i]
		e.Leaving, e.Down = c.Flags[i]&flagLeaving != 0, c.Flags[i]&flagDown != 0
		if long {
			e.Address = c.Addresses[i]
			continue
		}
		host := netip.AddrFrom4([4]byte{c.Hosts[i], c.Hosts[n+i], c.Hosts[2*n+i], c.Hosts[3*n+i]})
		e.Address = netip.AddrPortFrom(host, binary.BigEndian.Uint16(c.Ports[2*i:])).String()
	}
	return slices.Clip(list), nil
}

// List returns the endpoints that a view tells of, in either form.
func (v *View) List() ([]Endpoint, error) {
	if len(v.Listed) > 0 {
		return v.Listed.Endpoints()
	}
	return v.Endpoints.Unpack()
}
