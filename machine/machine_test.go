// SPDX-License-Identifier: MIT

package machine

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
)

func randomCommand(t *rapid.T, n int) Command {
	c := Command{Time: rapid.Int64Range(0, 4*ClaimTTL).Draw(t, "time")}
	tier := catalog.Tier{Name: fmt.Sprintf("t%d", rapid.IntRange(1, 3).Draw(t, "tier")), Rank: rapid.IntRange(1, 4).Draw(t, "rank")}
	claim := Claim{
		Team: "team", Key: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key"),
		Request: event.RequestID(rapid.SampledFrom([]string{"r", "s", "t"}).Draw(t, "request")),
	}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		c.Catalog = &CatalogChange{
			ID: fmt.Sprint(rapid.IntRange(0, n+1).Draw(t, "id")), Operator: "o",
			Expect: rapid.Uint64Range(0, uint64(n)).Draw(t, "expect"), Changes: []catalog.Change{{Tier: &tier}},
		}
	case 1:
		c.Claims = []Claim{claim}
	case 2:
		c.Releases = []Claim{claim}
	}
	return c
}

// TestReplicasAgree applies the same commands to two machines, one of which is
// restored from snapshots in between. Both must reach the same state; versions must
// not decrease, a command's result must not change, a claim must keep its holder.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b State
		results := make(map[string]string)
		for n := range rapid.IntRange(1, 30).Draw(t, "commands") {
			c := randomCommand(t, n)
			data := c.Encode()
			_, before := a.Catalog()
			held, wasHeld := a.Claim("team", "k")
			for _, s := range []*State{&a, &b} {
				if err := s.Apply(data); err != nil {
					t.Fatal(err)
				}
			}
			if _, after := a.Catalog(); after < before {
				t.Fatalf("version %d after %d", after, before)
			}
			if h, ok := a.Claim("team", "k"); ok && wasHeld && h.Request != held.Request && len(c.Releases) == 0 && h.Time-held.Time <= ClaimTTL {
				t.Fatalf("a claim in force moved from request %s to %s", held.Request, h.Request)
			}
			if c.Catalog != nil {
				r, ok := a.Result(c.Catalog.ID)
				result := fmt.Sprint(r)
				if first, seen := results[c.Catalog.ID]; !ok || (seen && first != result) {
					t.Fatalf("command %s: result %s, at first %s", c.Catalog.ID, result, first)
				}
				results[c.Catalog.ID] = result
			}
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				if err := b.Restore(b.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
		}
		if !bytes.Equal(a.Snapshot(), b.Snapshot()) {
			t.Fatalf("the machines differ:\n%s\n%s", a.Snapshot(), b.Snapshot())
		}
	})
}
