// SPDX-License-Identifier: MIT

package message

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/registry"
)

func makeEndpoints(n int) []Endpoint {
	var all []Endpoint
	for i := range n {
		all = append(all, Endpoint{Down: i%7 == 0, Endpoint: registry.Endpoint{
			ID: fmt.Sprintf("i-%08x", i*2654435761), Service: fmt.Sprint("s", i%2), Slots: 8, Sequence: uint64(i),
			Address: fmt.Sprintf("10.%d.64.%d:%d", i%6, i%250, 8000+i%700), DataCentre: fmt.Sprint("hall-", i%6),
		}})
	}
	return all
}

func TestPackRoundTrip(t *testing.T) {
	for _, n := range []int{1, 40, 3000} {
		got, err := Pack(makeEndpoints(n)).Unpack()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(makeEndpoints(n), got); diff != "" {
			t.Errorf("%d endpoints: %s", n, diff)
		}
	}
	if got, err := Packed(nil).Unpack(); err != nil || len(got) != 0 {
		t.Errorf("an empty list decoded to %v, %v", got, err)
	}
}

func TestDamagedPackedIsRejected(t *testing.T) {
	for _, data := range []Packed{{1}, []byte("nonsense"), Pack(makeEndpoints(40))[:60]} {
		if got, err := data.Unpack(); err == nil {
			t.Errorf("%d damaged bytes decoded to %v", len(data), got)
		}
	}
}

// BenchmarkPack measures encoding and decoding of a page, as an owner sends it, and of larger lists.
func BenchmarkPack(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000} {
		all := makeEndpoints(n)
		packed := Pack(all)
		b.Run(fmt.Sprintf("pack %d", n), func(b *testing.B) {
			for range b.N {
				packed = Pack(all)
			}
			b.ReportMetric(float64(len(packed)), "bytes")
		})
		b.Run(fmt.Sprintf("unpack %d", n), func(b *testing.B) {
			for range b.N {
				if _, err := packed.Unpack(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
