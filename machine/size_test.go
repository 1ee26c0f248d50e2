// SPDX-License-Identifier: MIT

package machine

import (
	"encoding/json"
	"fmt"
	"testing"

	"lynxramp.org/catalog"
)

// BenchmarkApply measures a change of one team, and reports the size of the whole
// catalog and of the change.
func BenchmarkApply(b *testing.B) {
	for _, teams := range [...]int{5, 120, 1200} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c := catalog.Catalog{Tiers: []catalog.Tier{{Name: "gold", Rank: 3}}}
			for i := range teams {
				name := fmt.Sprintf("team-%04d", i)
				c.Teams = append(c.Teams, catalog.Team{Name: name, Tier: "gold", KeyHashes: []string{catalog.HashKey(name)}})
			}
			var s State
			first := Command{Catalog: &CatalogChange{ID: "first", Changes: []catalog.Change{{Whole: &c}}}}
			if err := s.Apply(first.Encode()); err != nil {
				b.Fatal(err)
			}
			change := []catalog.Change{{Team: &c.Teams[0]}}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				next := Command{Catalog: &CatalogChange{ID: fmt.Sprint(i), Expect: uint64(i + 1), Changes: change}}
				if err := s.Apply(next.Encode()); err != nil {
					b.Fatal(err)
				}
			}
			whole, _ := json.Marshal(c)
			part, _ := json.Marshal(change)
			b.ReportMetric(float64(len(whole)), "whole-B")
			b.ReportMetric(float64(len(part)), "change-B")
		})
	}
}
