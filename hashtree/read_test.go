// SPDX-License-Identifier: MIT

package hashtree

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/routing"
)

// decodeJSON decodes a node by encoding/json alone.
func decodeJSON(plain []byte) (*node, error) {
	n := &node{}
	err := json.Unmarshal(plain, n)
	return n, err
}

var compareRoutes = cmp.AllowUnexported(routes{})

// The fast parser must accept every run of a large table and decode it as encoding/json does.
func TestRoutesAreParsedWithoutEncodingJSON(t *testing.T) {
	table := tableOf(3, 2000, 16, 2)
	for _, list := range splitRuns(table.Routes) {
		plain := encode(&node{Routes: encodeRoutes(list)})
		run, ok := make(templateCache).readRun(plain)
		if !ok {
			t.Fatalf("the fast parser rejected a run of routes: %.200s", plain)
		}
		want, err := decodeJSON(plain)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want.Routes, run, compareRoutes); diff != "" {
			t.Error(diff)
		}
	}
}

// For any input, the fast parser must decode as encoding/json does, or reject it and leave it to
// encoding/json.
func FuzzReadNode(f *testing.F) {
	table := tableOf(5, 300, 3, 2)
	for _, list := range splitRuns(table.Routes) {
		f.Add(encode(&node{Routes: encodeRoutes(list)}))
	}
	unusual := []routing.Route{{Name: "ü", Host: "\\", Prefix: "/<\n>/"}, {Name: "a b"}, {}}
	for i := range unusual {
		f.Add(encode(&node{Routes: encodeRoutes(unusual[i : i+1])}))
	}
	for _, text := range []string{
		`{"r":{"s":[]}}`, `{"r":{"n":"a","i":[0,01],"s":[{}]}}`, `{"r":{"n":"a","i":[-1],"s":[{}]}}`, `{"r":{"i":[],"s":[{}]}}`,
		`{"r":{"n":"a","s":[{}]},"s":[]}}`, `{"r":{"n":"a","s":[{}]}} `, `{"r":{"n":"a","n":"b","s":[{}]}}`, `{"r":{"n":"a","s":null}}`,
		`{"r":{"n":"a","i":[1,2],"s":[{"Name":"x"}],"l":[]}}`, `{"r":{"i":[9999999999],"s":[{}]}}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, plain []byte) {
		run, ok := make(templateCache).readRun(plain)
		if !ok {
			return
		}
		want, err := decodeJSON(plain)
		if err != nil {
			t.Fatalf("the fast parser accepted a node that encoding/json rejects: %v: %q", err, plain)
		}
		if diff := cmp.Diff(want, &node{Routes: run}, compareRoutes); diff != "" {
			t.Fatalf("%q is decoded differently (-want +got):\n%s", plain, diff)
		}
	})
}
