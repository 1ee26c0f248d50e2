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

// Listing is a list of endpoints, encoded by column and compressed, for boxes that read level.Instances. It
// leaves out the sequence, which entries don't need. Endpoints are most of what is sent to entries when all
// processes restart: 1,000 of them take 13 kB, and 22 kB as Packed (BenchmarkListing).
type Listing []byte

// columns is a decompressed Listing.
type columns struct {
	// Prefix is the common prefix of all names, Names the remainder of each. If these are equally long,
	// NameBytes is their length; else it is 0 and they are separated by spaces, which no name contains.
	Prefix, Names string
	NameBytes     int
	Earliest      uint64 // earliest start time of the endpoints that report one
	// Born has each start time as milliseconds since Earliest plus one, as varints; 0 for an unknown one.
	Born []byte
	// Hosts has the IPv4 addresses: the first bytes of all, then the second bytes and so on. Ports has two bytes
	// for each. If any address isn't an IPv4 address with port, all are in Addresses instead.
	Hosts, Ports []byte
	Addresses    []string
	// Service and DataCentre are indexes into Texts, two bytes each.
	Texts               []string
	Service, DataCentre []byte
	// Version is an index into Texts, two bytes each; it is empty if no endpoint has a version. Builds
	// before level.Rollouts ignore it.
	Version []byte
	Slots   []int
	Flags   []byte
}

// Flags of an endpoint in a listing.
const (
	flagDraining = 1 << iota
	flagDown
)

// NewListing encodes a list of endpoints.
func NewListing(list []Endpoint) Listing {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // can't fail: the compression level is valid
	}
	if err := gob.NewEncoder(w).Encode(columnsOf(list)); err != nil {
		panic(err) // can't fail for strings and numbers
	}
	if err := w.Close(); err != nil {
		panic(err) // can't fail for a bytes.Buffer
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
	hasVersions := slices.ContainsFunc(list, func(e Endpoint) bool { return e.Version != "" })
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
		if hasVersions {
			c.Version = binary.BigEndian.AppendUint16(c.Version, index(e.Version))
		}
		flags := byte(0)
		if e.Leaving {
			flags |= flagDraining
		}
		if e.Down {
			flags |= flagDown
		}
		c.Flags = append(c.Flags, flags)
	}
	c.addAddresses(list)
	return c
}

// addNames sets Prefix, Names and NameBytes.
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
	suffixes := make([]string, len(names))
	for i, name := range names {
		suffixes[i] = name[len(c.Prefix):]
		if len(suffixes[i]) != c.NameBytes {
			c.NameBytes = 0
		}
	}
	separator := " "
	if c.NameBytes > 0 {
		separator = ""
	}
	c.Names = strings.Join(suffixes, separator)
}

// names returns the names without the prefix. The caller checks their number.
func (c *columns) names() []string {
	if c.NameBytes <= 0 {
		return strings.Split(c.Names, " ")
	}
	var list []string
	for suffix := range slices.Chunk([]byte(c.Names), c.NameBytes) {
		list = append(list, string(suffix))
	}
	return list
}

// startTimes returns the start times of n endpoints.
func (c *columns) startTimes(n int) ([]uint64, error) {
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

// addAddresses sets Hosts and Ports if all endpoints have IPv4 addresses, else Addresses.
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

// errListing is returned for a listing whose columns don't match in length or content.
var errListing = errors.New("endpoint listing has inconsistent columns")

// Endpoints decodes the list; an empty Listing has no endpoints.
func (l Listing) Endpoints() ([]Endpoint, error) {
	if len(l) == 0 {
		return nil, nil
	}
	c := &columns{}
	r := io.LimitReader(flate.NewReader(bytes.NewReader(l)), maxUnpackedBytes)
	if err := gob.NewDecoder(r).Decode(c); err != nil {
		return nil, errors.Wrap(err, "decoding an endpoint listing")
	}
	n := len(c.Flags)
	names := c.names()
	hasHosts := len(c.Hosts) == 4*n && len(c.Ports) == 2*n && len(c.Addresses) == 0
	hasAddresses := len(c.Addresses) == n && len(c.Hosts)+len(c.Ports) == 0
	if len(names) != n || len(c.Service) != 2*n || len(c.DataCentre) != 2*n || len(c.Slots) != n || !hasHosts && !hasAddresses {
		return nil, errListing
	}
	hasVersions := len(c.Version) > 0
	if hasVersions && len(c.Version) != 2*n {
		return nil, errListing
	}
	born, err := c.startTimes(n)
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
		e.ID = registry.InstanceID(c.Prefix+names[i], born[i])
		if hasVersions {
			version := int(binary.BigEndian.Uint16(c.Version[2*i:]))
			if version >= len(c.Texts) {
				return nil, errListing
			}
			e.Version = c.Texts[version]
		}
		e.Service, e.DataCentre, e.Slots = c.Texts[service], c.Texts[dataCentre], c.Slots[i]
		e.Leaving, e.Down = c.Flags[i]&flagDraining != 0, c.Flags[i]&flagDown != 0
		if hasAddresses {
			e.Address = c.Addresses[i]
			continue
		}
		host := netip.AddrFrom4([4]byte{c.Hosts[i], c.Hosts[n+i], c.Hosts[2*n+i], c.Hosts[3*n+i]})
		e.Address = netip.AddrPortFrom(host, binary.BigEndian.Uint16(c.Ports[2*i:])).String()
	}
	return slices.Clip(list), nil
}

// DecodeEndpoints returns the endpoints of the view in either encoding.
func (v *View) DecodeEndpoints() ([]Endpoint, error) {
	if len(v.Listed) > 0 {
		return v.Listed.Endpoints()
	}
	return v.Endpoints.Unpack()
}
