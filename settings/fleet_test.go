// SPDX-License-Identifier: MIT

package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validFleet = `id: "n1"
role: entry
listen:
  callers: "127.0.0.1:80"
  readiness: "127.0.0.1:81"
  link: "127.0.0.1:82"
seeds: ["127.0.0.1:83"]
unprotected: true
bounds:
  quota_window: 8s
`

func writeFleet(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "fleet.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestFleetSettings guards against a valid file that is refused, and against lost values or
// defaults.
func TestFleetSettings(t *testing.T) {
	file := writeFleet(t, validFleet)
	f, err := LoadFleet(file)
	if err != nil {
		t.Fatal(err)
	}
	if time.Duration(f.Bounds.QuotaWindow) != 8*time.Second || time.Duration(f.Bounds.ConfigValidity) != defaultConfigValidity {
		t.Errorf("bounds %+v", f.Bounds)
	}
	if kind, err := Check(file); kind != KindFleet || err != nil {
		t.Errorf("checked as %s: %v", kind, err)
	}
}

// TestFleetProblemsHavePaths guards against faults that are accepted or reported at the wrong
// place.
func TestFleetProblemsHavePaths(t *testing.T) {
	for name, c := range map[string]struct{ old, with, want string }{
		"no seed":       {`["127.0.0.1:83"]`, `[]`, ":7: seeds:"},
		"unprotected":   {"unprotected: true", "unprotected: false", ":8: unprotected:"},
		"role":          {"role: entry", "role: king", ":2: role:"},
		"address":       {`"127.0.0.1:81"`, `"here"`, ":5: listen.readiness:"},
		"unknown key":   {"quota_window", "quota_windows", "bounds.quota_windows:"},
		"negative":      {"8s", "-8s", "bounds.quota_window:"},
		"placement":     {"quota_window: 8s", "placement: luck", "bounds.placement:"},
		"queue order":   {"quota_window: 8s", "queue_order: luck", "bounds.queue_order:"},
		"exposed share": {"quota_window: 8s", "expose_share: 1.5", "bounds.expose_share:"},
		"held share":    {"seeds:", "held: {share: 0.9}\nseeds:", "held.share:"},
		"held response": {"seeds:", "held: {response_kb: 8}\nseeds:", "held.response_kb:"},
		"held rate":     {"seeds:", "held: {rate: -1}\nseeds:", "held.rate:"},
		"held pause":    {"seeds:", "held: {pause: 3s}\nseeds:", "held.pause:"},
		"short stop":    {"quota_window: 8s", "stop: 400ms", "bounds.stop:"},
		"long stop":     {"quota_window: 8s", "stop: 6m", "bounds.stop:"},
		"negative stop": {"quota_window: 8s", "stop: -1s", "bounds.stop:"},
		"short heads":   {"seeds:", "endpoints: {head_kb: 15}\nseeds:", "endpoints.head_kb:"},
		"long heads":    {"seeds:", "endpoints: {head_kb: 1025}\nseeds:", "endpoints.head_kb:"},
		"short delay":   {"seeds:", "overload: {delay: 10ms}\nseeds:", "overload.delay:"},
		"long delay":    {"seeds:", "overload: {delay: 1s}\nseeds:", "overload.delay:"},
		"no number":     {"quota_window: 8s", "expose_share: .nan", "bounds.expose_share:"},
		"exposed slack": {"quota_window: 8s", "expose_slack: -1", "bounds.expose_slack:"},
		"no data":       {"role: entry", "role: control", "data:"},
		"link bind":     {"link:", "link_bind: x\n  link:", "listen.link_bind:"},
		"not YAML":      {"seeds:", "seeds: [", ":"},
		"wrong literal": {"unprotected: true", "unprotected: maybe", ":8: unprotected:"},
	} {
		_, err := LoadFleet(writeFleet(t, strings.Replace(validFleet, c.old, c.with, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want a problem at %s", name, err, c.want)
		}
	}
}
