// SPDX-License-Identifier: MIT

package lang

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"lynxramp.org/catalog"
)

var rows = []Row{
	{Team: "blogs", Tier: "silver", Pool: "chef", Count: 5},
	{Team: "portal", Tier: "gold", Pool: "chef", Count: 2},
	{Team: "portal", Tier: "gold", Pool: "card", Count: 4},
	{Team: "tagging", Tier: "bronze", Pool: "chef", Count: 9},
}

// TestQuery guards against wrong filters, groups, sorting or limits.
func TestQuery(t *testing.T) {
	tests := []struct {
		line string
		want []Row
	}{
		{"show waiting", []Row{{Count: 20}}},
		{"show waiting by team order by count desc limit 2", []Row{{Team: "tagging", Count: 9}, {Team: "portal", Count: 6}}},
		{"show waiting by tier, pool where team = portal", []Row{{Tier: "gold", Pool: "card", Count: 4}, {Tier: "gold", Pool: "chef", Count: 2}}},
		{"show waiting by team where pool != card and tier != gold", []Row{{Team: "blogs", Count: 5}, {Team: "tagging", Count: 9}}},
		{`show refused by reason where team = "nobody"`, []Row{}},
	}
	for _, test := range tests {
		s, err := Parse(test.line)
		if err != nil {
			t.Errorf("%s: %v", test.line, err)
			continue
		}
		if diff := cmp.Diff(test.want, s.Query.Run(rows)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.line, diff)
		}
	}
}

// TestSyntaxErrorColumns guards against syntax errors reported at the wrong column.
func TestSyntaxErrorColumns(t *testing.T) {
	for line, column := range map[string]int{
		"show running by teem":        17,
		"show waiting limit many":     20,
		"drain endpoint":              15,
		"set pool chef colour red":    15,
		"show waiting where team ~ x": 25,
	} {
		_, err := Parse(line)
		var syntaxError *SyntaxError
		if !errors.As(err, &syntaxError) || syntaxError.Column != column {
			t.Errorf("%s: %v, want column %d", line, err, column)
		}
	}
}

// TestCommands guards against commands without effect on a catalog, or with an invalid result.
func TestCommands(t *testing.T) {
	current := catalog.Catalog{
		Tiers: []catalog.Tier{{Name: "gold", Rank: 3}, {Name: "bronze", Rank: 1}},
		Teams: []catalog.Team{{Name: "blogs", Tier: "gold"}},
		Pools: []catalog.Pool{{Name: "chef", MaxWaiting: 10, Endpoints: []catalog.Endpoint{{Name: "chef-01", Concurrency: 4}}}},
	}
	for _, line := range []string{
		"drain endpoint chef-01", "set tier gold rank 5", "set pool chef max_waiting 500 at 7",
		"set pool chef prefill_weight 2.5", "set team blogs tier bronze", "set rule * * tier bronze",
	} {
		s, err := Parse(line)
		if err != nil {
			t.Errorf("%s: %v", line, err)
			continue
		}
		changes, err := s.Command.Changes(current)
		if err != nil {
			t.Errorf("%s: %v", line, err)
			continue
		}
		next, problems := catalog.Apply(current, changes)
		if len(problems) > 0 || cmp.Equal(current, next) {
			t.Errorf("%s: problems %v, catalog %+v", line, problems, next)
		}
	}
	s, err := Parse("drain endpoint nowhere")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Command.Changes(current); err == nil {
		t.Error("a missing endpoint was drained")
	}
}
