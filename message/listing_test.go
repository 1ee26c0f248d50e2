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

// started returns endpoints as unlike as those of users, with their starts.
func started(n int) []Endpoint {
	r := rand.New(rand.NewPCG(1, 2))
	var all []Endpoint
	for i := range n {
		all = append(all, Endpoint{Down: i%7 == 0, Endpoint: registry.Endpoint{
			ID:      registry.StartID(fmt.Sprintf("i-%010x", r.Uint64N(1<<40)), 1764740000000+r.Uint64N(30000)),
			Service: fmt.Sprint("huvo", i%2), Slots: 6 + 2*(i%2), Leaving: i%50 == 0,
			Address: fmt.Sprintf("10.%d.64.%d:%d", i%6, r.IntN(250), 8000+r.IntN(700)), DataCentre: fmt.Sprint("hall-", i%6),
		}})
	}
	return all
}

func TestListingComesBack(t *testing.T) {
	odd := started(5)
	odd[0].Address, odd[1].Address, odd[2].ID, odd[3].ID, odd[4].Service = "[::1]:80", "name:80", "bare", "", ""
	six := started(3)
	six[1].ID = "bare"
	for _, list := range [][]Endpoint{started(1), started(40), started(3000), odd, six} {
		got, err := List(list).Endpoints()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(list, got); diff != "" {
			t.Errorf("%d endpoints: %s", len(list), diff)
		}
	}
	if got, err := Listing(nil).Endpoints(); err != nil || len(got) != 0 {
		t.Errorf("nothing came back as %v, %v", got, err)
	}
}

// TestListingIsShort: a thousand entries that start anew before 10,000 endpoints are sent ten million of them.
func TestListingIsShort(t *testing.T) {
	all := started(1000)
	if listed, packed := len(List(all)), len(Pack(all)); listed > packed*6/10 {
		t.Errorf("%d bytes for 1,000 endpoints, %d row by row", listed, packed)
	}
}

func TestOddListingIsNotRead(t *testing.T) {
	encode := func(change func(*columns)) Listing {
		c := columnsOf(started(4))
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
		"nonsense": []byte("nonsense"), "cut short": List(started(40))[:60],
		"a name less":       encode(func(c *columns) { c.Names = "a b c" }),
		"a place less":      encode(func(c *columns) { c.Ports = c.Ports[1:] }),
		"both forms":        encode(func(c *columns) { c.Addresses = []string{"a", "b", "c", "d"} }),
		"no text":           encode(func(c *columns) { c.Texts = nil }),
		"a start less":      encode(func(c *columns) { c.Born = c.Born[:len(c.Born)-1] }),
		"no flags":          encode(func(c *columns) { c.Flags = nil }),
		"no slots":          encode(func(c *columns) { c.Slots = nil }),
		"a service too far": encode(func(c *columns) { c.Service[0] = 255 }),
	} {
		if got, err := l.Endpoints(); err == nil {
			t.Errorf("%s: read as %+v", name, got)
		}
	}
}

// FuzzListing: whatever bytes come, they are read as a list that comes back, or not at all.
func FuzzListing(f *testing.F) {
	f.Add([]byte(List(started(3))))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := Listing(data).Endpoints()
		if err != nil || len(list) == 0 {
			return
		}
		if _, err := List(list).Endpoints(); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkListing measures what 1,000 endpoints with their starts take, in bytes, and in time to make and to read,
// column by column and row by row.
func BenchmarkListing(b *testing.B) {
	all := started(1000)
	listed, packed := List(all), Pack(all)
	b.Run("list", func(b *testing.B) {
		for range b.N {
			List(all)
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
