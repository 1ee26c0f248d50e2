// SPDX-License-Identifier: MIT

package message

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/registry"
)

// makeInstances returns n endpoints with varied names, start times and addresses.
func makeInstances(n int) []Endpoint {
	r := rand.New(rand.NewPCG(1, 2))
	var all []Endpoint
	for i := range n {
		all = append(all, Endpoint{Down: i%7 == 0, Endpoint: registry.Endpoint{
			ID:      registry.InstanceID(fmt.Sprintf("i-%010x", r.Uint64N(1<<40)), 1764740000000+r.Uint64N(30000)),
			Service: fmt.Sprint("huvo", i%2), Slots: 6 + 2*(i%2), Leaving: i%50 == 0,
			Address: fmt.Sprintf("10.%d.64.%d:%d", i%6, r.IntN(250), 8000+r.IntN(700)), DataCentre: fmt.Sprint("hall-", i%6),
		}})
	}
	return all
}

func TestListingRoundTrip(t *testing.T) {
	irregular := makeInstances(5)
	irregular[0].Address, irregular[1].Address, irregular[2].ID, irregular[3].ID, irregular[4].Service = "[::1]:80", "name:80", "bare", "", ""
	mixed := makeInstances(3)
	mixed[1].ID = "bare"
	versions := makeInstances(30)
	for i := range versions {
		versions[i].Version = fmt.Sprint("v", i%3)
	}
	versions[7].Version = ""
	for _, list := range [][]Endpoint{makeInstances(1), makeInstances(40), makeInstances(3000), irregular, mixed, versions} {
		got, err := NewListing(list).Endpoints()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(list, got); diff != "" {
			t.Errorf("%d endpoints: %s", len(list), diff)
		}
	}
	if got, err := Listing(nil).Endpoints(); err != nil || len(got) != 0 {
		t.Errorf("an empty listing decoded to %v, %v", got, err)
	}
}

// TestListingIsSmallerThanPacked: endpoint lists are most of what entries are sent after a restart of all processes.
func TestListingIsSmallerThanPacked(t *testing.T) {
	all := makeInstances(1000)
	if listed, packed := len(NewListing(all)), len(Pack(all)); listed > packed*6/10 {
		t.Errorf("%d bytes for 1,000 endpoints, %d bytes packed", listed, packed)
	}
}

func TestInvalidListingIsRejected(t *testing.T) {
	encode := func(change func(*columns)) Listing {
		c := columnsOf(makeInstances(4))
		change(c)
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			t.Fatal(err)
		}
		if err := gob.NewEncoder(w).Encode(c); err != nil {
			t.Fatal(err)
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		return b.Bytes()
	}
	for name, l := range map[string]Listing{
		"nonsense": []byte("nonsense"), "truncated": NewListing(makeInstances(40))[:60],
		"missing name":         encode(func(c *columns) { c.Names = "a b c" }),
		"missing port byte":    encode(func(c *columns) { c.Ports = c.Ports[1:] }),
		"both address forms":   encode(func(c *columns) { c.Addresses = []string{"a", "b", "c", "d"} }),
		"no texts":             encode(func(c *columns) { c.Texts = nil }),
		"missing start time":   encode(func(c *columns) { c.Born = c.Born[:len(c.Born)-1] }),
		"no flags":             encode(func(c *columns) { c.Flags = nil }),
		"no slots":             encode(func(c *columns) { c.Slots = nil }),
		"service out of range": encode(func(c *columns) { c.Service[0] = 255 }),
		"version out of range": encode(func(c *columns) { c.Version = []byte{255, 0, 0, 0, 0, 0, 0, 0} }),
		"missing version":      encode(func(c *columns) { c.Version = make([]byte, 7) }),
	} {
		if got, err := l.Endpoints(); err == nil {
			t.Errorf("%s: decoded to %+v", name, got)
		}
	}
}

// FuzzListing: any bytes are either rejected or decode to a list that can be encoded and decoded again.
func FuzzListing(f *testing.F) {
	f.Add([]byte(NewListing(makeInstances(3))))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := Listing(data).Endpoints()
		if err != nil || len(list) == 0 {
			return
		}
		if _, err := NewListing(list).Endpoints(); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkListing measures the size, encoding and decoding of 1,000 endpoints as Listing and as Packed.
func BenchmarkListing(b *testing.B) {
	all := makeInstances(1000)
	listed, packed := NewListing(all), Pack(all)
	b.Run("list", func(b *testing.B) {
		for range b.N {
			NewListing(all)
		}
		b.ReportMetric(float64(len(listed)), "bytes")
	})
	b.Run("read listed", func(b *testing.B) {
		for range b.N {
			if _, err := listed.Endpoints(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("pack", func(b *testing.B) {
		for range b.N {
			Pack(all)
		}
		b.ReportMetric(float64(len(packed)), "bytes")
	})
	b.Run("read packed", func(b *testing.B) {
		for range b.N {
			if _, err := packed.Unpack(); err != nil {
				b.Fatal(err)
			}
		}
	})
}
