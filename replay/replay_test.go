// SPDX-License-Identifier: MIT

package replay

import (
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/trace"
)

// TestStatedOutcomes replays the recorded traces against what is stated in them.
func TestStatedOutcomes(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl.gz")
	if err != nil || len(files) != len(trace.Deployments)*len(trace.Scenarios) {
		t.Fatalf("%d traces, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			recorded, err := trace.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			r := Run(recorded, Policies[0].New)
			for _, m := range r.Violations(recorded.Header.Objectives) {
				t.Error(m)
			}
		})
	}
}

// TestBaselinesMiss checks that the stated outcomes of a burst are out of every
// baseline's reach: a check that cannot fail would be none.
func TestBaselinesMiss(t *testing.T) {
	recorded, err := trace.Load("testdata/casablanca-burst.jsonl.gz")
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range Policies[1:] {
		if r := Run(recorded, p.New); len(r.Violations(recorded.Header.Objectives)) == 0 {
			t.Errorf("%s reaches the stated outcomes", p.Name)
		}
	}
}

// TestReplayRepeats checks that a replay gives the same result each time.
func TestReplayRepeats(t *testing.T) {
	recorded, err := trace.Generate("tbilisi", "mix", 4)
	if err != nil {
		t.Fatal(err)
	}
	recorded.Requests = recorded.Requests[:800]
	first := Run(recorded, Policies[0].New)
	if diff := cmp.Diff(first, Run(recorded, Policies[0].New)); diff != "" {
		t.Errorf("the second replay differs (-first +second):\n%s", diff)
	}
}
