// SPDX-License-Identifier: MIT

package explain

import (
	"strings"
	"testing"
)

const testLog = `
  5.1 entry1 {"level":"info","time":"2026-01-01T10:00:01Z","msg":"configuration in force","box":"entry1","version":4}
a line that is not JSON
{"level":"info","time":"2026-01-01T10:00:02Z","msg":"owner found","box":"entry1","address":"10.0.0.1:7600"}
{"level":"info","time":"2026-01-01T10:00:09Z","msg":"admitted","box":"entry1","request":"r1","id":"e-1","at":"2026-01-01T10:00:05Z","service":"s"}
{"level":"info","time":"2026-01-01T10:00:09Z","msg":"dispatched","box":"entry1","request":"r1","id":"e-1","at":"2026-01-01T10:00:05.1Z","endpoint":"i-1"}
{"level":"info","time":"2026-01-01T10:00:09Z","msg":"attempt failed","box":"entry1","request":"r1","id":"e-1","at":"2026-01-01T10:00:06Z","endpoint":"i-1","outcome":"unknown","cause":"connection reset"}
{"level":"info","time":"2026-01-01T10:00:09Z","msg":"ended","box":"entry1","request":"r1","id":"e-1","at":"2026-01-01T10:00:06.1Z","status":502,"why":"the endpoint's answer was lost"}
{"level":"info","time":"2026-01-01T10:00:09Z","msg":"refused","box":"entry1","request":"r2","id":"e-2","at":"2026-01-01T10:00:07Z","reason":"quota","spent":90,"limit":100}
{"level":"info","time":"2026-01-01T10:00:09Z","msg":"ended","box":"entry1","request":"r2","id":"e-2","at":"2026-01-01T10:00:07Z","status":429,"why":"quota"}
`

// TestExplainPrintsCause guards against an explanation without the cause of the outcome,
// and against one for a request that is in no line.
func TestExplainPrintsCause(t *testing.T) {
	lines, err := Read(strings.NewReader(testLog))
	if err != nil || len(lines) != 8 {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	for id, want := range map[string][]string{
		"r1":  {"owner found", "version=4", "cause: the endpoint's answer was lost (status 502); at endpoint i-1: unknown (connection reset)"},
		"e-1": {"dispatched"},
		"r2":  {"cause: refused before dispatch to an endpoint; refused for quota: 90 of 100 spent"},
	} {
		var out strings.Builder
		if err := Explain(&out, id, lines); err != nil {
			t.Fatal(err)
		}
		for _, one := range want {
			if !strings.Contains(out.String(), one) {
				t.Errorf("%s: %q is missing in\n%s", id, one, out.String())
			}
		}
	}
	if err := Explain(&strings.Builder{}, "r9", lines); err == nil {
		t.Error("a request that is in no line was explained")
	}
}

// TestExplainPrintsRestrictions guards against an explanation that does not say which versions of the service were not
// used, as of the last owner, and of no other service.
func TestExplainPrintsRestrictions(t *testing.T) {
	lines, err := Read(strings.NewReader(testLog + `
{"level":"info","time":"2026-01-01T10:00:01Z","msg":"restriction of a version changed","box":"c1","service":"s","version":"v0","mode":"blocked","cause":"stopping","order":1}
{"level":"info","time":"2026-01-01T10:00:02Z","msg":"owns the pools","box":"c2"}
{"level":"info","time":"2026-01-01T10:00:03Z","msg":"restriction of a version changed","box":"c2","service":"s","version":"v2","mode":"blocked","cause":"rolled_back","order":7}
{"level":"info","time":"2026-01-01T10:00:03Z","msg":"restriction of a version changed","box":"c2","service":"s","version":"v3","mode":"canary","cause":"unproved","order":8}
{"level":"info","time":"2026-01-01T10:00:04Z","msg":"restriction of a version changed","box":"c2","service":"s","version":"v3","mode":"normal","cause":"none","order":0}
{"level":"info","time":"2026-01-01T10:00:04Z","msg":"restriction of a version changed","box":"c2","service":"other","version":"v4","mode":"blocked","cause":"rolled_back","order":9}
`))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := Explain(&out, "r1", lines); err != nil {
		t.Fatal(err)
	}
	if want := "c2: version v2 is blocked since 10:00:03.000 (2.0 s): rolled_back, order 7"; !strings.Contains(out.String(), want) {
		t.Errorf("%q is missing in\n%s", want, out.String())
	}
	for _, other := range []string{"v0", "v3", "v4"} {
		if strings.Contains(out.String(), "version "+other) {
			t.Errorf("%s is named in\n%s", other, out.String())
		}
	}
}
