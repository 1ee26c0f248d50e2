// SPDX-License-Identifier: MIT

package routing

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func validTable() *Table {
	return &Table{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Timeout: time.Second, Split: []WeightedService{{"plain", 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Timeout: time.Second, Split: []WeightedService{{"plain", 9}, {"model", 1}}},
		},
		Services: []Service{{Name: "plain"}, {Name: "model"}},
		Teams:    []Team{{Name: "t1", Keys: []string{"k1", "k2"}}, {Name: "t2", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := validTable()
	table.Index()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.example:8080", "/x/y/", "deep"},
		{"a.example", "/x/y", "all"},
		{"a.example", "/x/yy/z", "all"},
		{"b.example", "/x/y/z", ""},
		{"a.example", "*", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := &validTable().Routes[1]
	for draw, want := range map[float64]string{0: "plain", 0.89: "plain", 0.91: "model", 0.999: "model"} {
		if got := r.Pick(draw); got != want {
			t.Errorf("draw %v: %s, want %s", draw, got, want)
		}
	}
}

func TestTeamByKeyAndUnknownKey(t *testing.T) {
	table := validTable()
	table.Index()
	if got := table.TeamByKey("k2"); got == nil || got.Name != "t1" {
		t.Errorf("team of k2: %v", got)
	}
	if got := table.TeamByKey("k4"); got != nil {
		t.Errorf("team of an unknown key: %v", got)
	}
}

func TestCheckNamesEachFault(t *testing.T) {
	for name, c := range map[string]struct {
		corrupt func(*Table)
		want    string
	}{
		"unknown service":      {func(t *Table) { t.Routes[0].Split[0].Service = "none" }, "routes[0].split"},
		"same host and prefix": {func(t *Table) { t.Routes[1].Prefix = "/" }, "routes[1]"},
		"no weight":            {func(t *Table) { t.Routes[0].Split[0].Weight = 0 }, "routes[0].split"},
		"no timeout":           {func(t *Table) { t.Routes[1].Timeout = 0 }, "routes[1].timeout"},
		"shared key":           {func(t *Table) { t.Teams[1].Keys[0] = "k1" }, "teams[1].keys"},
		"no slash":             {func(t *Table) { t.Routes[0].Prefix = "/x" }, "routes[0].prefix"},
	} {
		table := validTable()
		c.corrupt(table)
		found := Check(table)
		if len(found) != 1 || found[0].Path != c.want {
			t.Errorf("%s: %v, want one at %s", name, found, c.want)
		}
		if !strings.Contains(found.Error(), c.want) {
			t.Errorf("%s: error text does not contain the path: %s", name, found)
		}
	}
	if diff := cmp.Diff(Problems(nil), Check(validTable())); diff != "" {
		t.Error(diff)
	}
}
