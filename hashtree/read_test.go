// SPDX-License-Identifier: MIT

package hashtree

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/routing"
)

// usual reads a node by encoding/json alone.
func usual(plain []byte) (*node, error) {
	n := &node{}
	err := json.Unmarshal(plain, n)
	return n, err
}

var inNodes = cmp.AllowUnexported(routes{})

// TestRunsAreReadWithoutJSON: each run of a large table must take the short way, and read the same.
func TestRunsAreReadWithoutJSON(t *testing.T) {
	table := tableOf(3, 2000, 16, 2)
	for _, list := range runs(table.Routes) {
		plain := encode(&node{Routes: shapeRoutes(list)})
		run, ok := make(shapes).readRun(plain)
		if !ok {
			t.Fatalf("not read: %.200s", plain)
		}
		want, err := usual(plain)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want.Routes, run, inNodes); diff != "" {
			t.Error(diff)
		}
	}
}

// FuzzReadNode: whatever bytes a node has, the short way reads it as encoding/json does or leaves it to that.
func FuzzReadNode(f *testing.F) {
	table := tableOf(5, 300, 3, 2)
	for _, list := range runs(table.Routes) {
		f.Add(encode(&node{Routes: shapeRoutes(list)}))
	}
	odd := []routing.Route{{Name: "ü", Host: "\\", Prefix: "/<\n>/"}, {Name: "a b"}, {}}
	for i := range odd {
		f.Add(encode(&node{Routes: shapeRoutes(odd[i : i+1])}))
	}
	for _, text := range []string{
		`{"r":{"s":[]}}`, `{"r":{"n":"a","i":[0,01],"s":[{}]}}`, `{"r":{"n":"a","i":[-1],"s":[{}]}}`, `{"r":{"i":[],"s":[{}]}}`,
		`{"r":{"n":"a","s":[{}]},"s":[]}}`, `{"r":{"n":"a","s":[{}]}} `, `{"r":{"n":"a","n":"b","s":[{}]}}`, `{"r":{"n":"a","s":null}}`,
		`{"r":{"n":"a","i":[1,2],"s":[{"Name":"x"}],"l":[]}}`, `{"r":{"i":[9999999999],"s":[{}]}}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, plain []byte) {
		run, ok := make(shapes).readRun(plain)
		if !ok {
			return
		}
		want, err := usual(plain)
		if err != nil {
			t.Fatalf("read though encoding/json does not: %v: %q", err, plain)
		}
		if diff := cmp.Diff(want, &node{Routes: run}, inNodes); diff != "" {
			t.Fatalf("%q: %s", plain, diff)
		}
	})
}
