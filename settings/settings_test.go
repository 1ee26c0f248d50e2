// SPDX-License-Identifier: MIT

package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func write(t *testing.T, name, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// check compares the problems in a file with want, a line each, without the file's directory.
func check(t *testing.T, content string, want []string) {
	t.Helper()
	file := write(t, "f.yaml", content)
	_, err := Check(file)
	var got []string
	if err != nil {
		got = strings.Split(strings.ReplaceAll(err.Error(), filepath.Dir(file)+"/", ""), "\n")
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

// TestCatalogProblems guards against catalog problems that are missed or reported at the wrong place.
func TestCatalogProblems(t *testing.T) {
	check(t, `tiers:
  - {name: gold, rank: high}
  - {name: silver, rank: 2, colour: grey}
teams:
  - name: blogs
    key_hashes: [abc]
    tier: platinum
  - {name: Blogs, tier: silver}
services:
  - {name: chef, kind: model, pool: nowhere, deadline: soon}
pools:
  - {name: p, max_waiting: 10, endpoints: [{name: e, concurrency: 0}, {name: e, concurrency: 1}]}
rules:
  - {team: blogs, service: "*", tier: silver}
  - {team: "*", service: chef, tier: gold}
  - {team: nobody, service: chef, tier: gold}
`, []string{
		`f.yaml:2: tiers[0].rank: "high" is not a whole number`,
		`f.yaml:3: tiers[1].colour: unknown key`,
		`f.yaml:10: services[0].deadline: time: invalid duration "soon"`,
		`f.yaml:2: tiers[0].rank: 0 is not between 1 and 100`,
		`f.yaml:12: pools[0].endpoints[0].concurrency: 0 is not between 1 and 10000`,
		`f.yaml:12: pools[0].endpoints[1].name: duplicate name "e"`,
		`f.yaml:7: teams[0].tier: there is no tier "platinum"`,
		`f.yaml:6: teams[0].key_hashes[0]: not a SHA-256 hash in hex`,
		`f.yaml:8: teams[1].name: "Blogs" is not a valid name (lower-case letters, digits, . _ -)`,
		`f.yaml:10: services[0].pool: there is no pool "nowhere"`,
		`f.yaml:10: services[0].deadline: 0s is not between 0 and 1h`,
		`f.yaml:10: services[0].models: a model service needs a model name`,
		`f.yaml:15: rules[1]: overlaps rules[0] and neither is more specific`,
		`f.yaml:16: rules[2].team: there is no team "nobody"`,
	})
}

// TestBoxProblems guards against box settings faults that are missed or reported at the wrong place.
func TestBoxProblems(t *testing.T) {
	check(t, `id: a
id: b
roles: [entry, control, cook]
listen: {callers: localhost:80}
key_file: [k]
limits: {requests: -1}
log: {level: loud}
control:
  - {id: a, address: "10.0.0.1"}
`, []string{
		`f.yaml:2: id: duplicate key`,
		`f.yaml:5: key_file: expected a single value`,
		`f.yaml:1: data_centre: required value is missing`,
		`f.yaml:5: key_file: required value is missing`,
		`f.yaml:3: roles[2]: "cook" is neither "entry" nor "control"`,
		`f.yaml:4: listen.callers: "localhost:80" is not an address (IP:port)`,
		`f.yaml:1: catalog: required value is missing`,
		`f.yaml:1: data: required value is missing`,
		`f.yaml:1: operator_key_file: required value is missing`,
		`f.yaml:4: listen.boxes: "" is not an address (IP:port)`,
		`f.yaml:9: control[0].address: "10.0.0.1" is not an address (IP:port)`,
		`f.yaml:6: limits: a limit is negative`,
		`f.yaml:7: log.level: "loud" is not debug, info, warn or error`,
	})
}

// TestSlotProblems guards against slot settings faults that are missed or reported at the wrong place.
func TestSlotProblems(t *testing.T) {
	check(t, "endpoint: e\npool: p\nkind: cake\nlisten: x\n", []string{
		`f.yaml:1: data_centre: required value is missing`,
		`f.yaml:1: key_file: required value is missing`,
		`f.yaml:3: kind: "cake" is neither "model" nor "plain"`,
		`f.yaml:4: listen: "x" is not an address (IP:port)`,
		`f.yaml:1: endpoint_address: "" is not an address (IP:port)`,
		`f.yaml:1: control: no control box given`,
	})
}

// TestExamples guards against example files that don't load.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.yaml")
	if err != nil || len(files) < 6 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, f := range files {
		if _, err := Check(f); err != nil {
			t.Errorf("%v", err)
		}
	}
}

// FuzzCatalog guards against problems without a line or a message.
func FuzzCatalog(f *testing.F) {
	f.Add([]byte("tiers: [{name: gold, rank: 3}]\nrules: [{team: '*', service: '*', tier: gold}]\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, problems := parseCatalog("f", data)
		for _, one := range problems {
			if one.Line < 1 || one.Message == "" {
				t.Errorf("problem without a line or a message: %v", one)
			}
		}
	})
}
