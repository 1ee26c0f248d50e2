// SPDX-License-Identifier: MIT

package main

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLevelReport guards against metrics that are missing in the report: the group's level, its
// blockers, and each box's build and level.
func TestLevelReport(t *testing.T) {
	r := newLevelReport()
	if err := r.read(strings.NewReader(`lynxramp_control_level 4
lynxramp_control_level_held{by="member b@01 of build "} 1
lynxramp_control_box_level{box="a",role="control",build="0123456789ab"} 5
lynxramp_control_box_level{box="b",role="control",build=""} 4
go_goroutines 7
`)); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := r.print(&out); err != nil {
		t.Fatal(err)
	}
	want := `the group's level: 4
held back by member b@01 of build 
box  role     level  build
a    control  5      0123456789ab
b    control  4      before levels
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
