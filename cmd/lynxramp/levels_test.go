// SPDX-License-Identifier: MIT

package main

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/internal/endless"
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

// TestHighestGroupLevelIsReported guards against levels that are compared as text, so that 9 counts as higher than 10.
func TestHighestGroupLevelIsReported(t *testing.T) {
	r := newLevelReport()
	for _, group := range []string{"9", "10", "8"} {
		if err := r.read(strings.NewReader("lynxramp_control_level " + group + "\n")); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	if err := r.print(&out); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out.String(), "the group's level: 10\n") {
		t.Errorf("the report is\n%s", out.String())
	}
}

// TestEndlessMetricsAreRefused guards against a box whose metrics have no end and fill the memory of the command, or keep it.
func TestEndlessMetricsAreRefused(t *testing.T) {
	line := `lynxramp_control_level_held{by="` + strings.Repeat("b", 1000) + "\"} 1\n"
	for name, start := range map[string]string{
		"head": "", "by close": "HTTP/1.1 200 OK\r\n\r\n", "by length": "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peer := endless.Serve(t, start, line, 0)
			if err := newLevelReport().fetch(t.Context(), "http://"+peer.Address+"/metrics"); err == nil {
				t.Error("no error")
			}
			peer.AwaitClosed(t, time.Second)
			if sent := peer.Sent(); sent > 2*maxMetricsBytes {
				t.Errorf("%d bytes were taken", sent)
			}
		})
	}
}
