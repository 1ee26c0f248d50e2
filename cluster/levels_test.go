// SPDX-License-Identifier: MIT

package cluster

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"lynxramp.org/affinity"
	"lynxramp.org/budget"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
	"lynxramp.org/rollout"
)

// fullMachine returns a state machine that has applied all kinds of commands of a format version.
func fullMachine(t *testing.T, l level.Level) *stateMachine {
	t.Helper()
	m := &stateMachine{}
	d := Document{Version: 3, Data: []byte(`{"version":3}`)}
	commands := [][]byte{
		encodeEndpoint(registry.Endpoint{ID: "e", Service: "s", Address: "127.0.0.1:1", Sequence: 1}),
		encodeEndpoint(registry.Endpoint{ID: "f", Service: "s", Address: "127.0.0.1:2", Sequence: 1}),
		encodeRemove("f"),
		encodeBudgets(budget.Record{Lines: []budget.Line{{Account: "team/t", Spent: []int{1, 2}, Headroom: 7, Leased: 8}}}),
		d.encodeWhole(),
	}
	if l >= level.Chunked {
		d.pack()
		commands[len(commands)-1] = d.packed.encodePart(0)
		commands = append(commands, encodeBudgets(budget.Record{Partial: true, Lines: []budget.Line{{Account: "team/u", Headroom: 1}}}))
	}
	if l >= level.Suspects {
		commands = append(commands, encodePoison(poison.Record{Lines: []poison.Line{{Fingerprint: "0123456789abcdef", Terminations: []uint64{7}}}}))
	}
	if l >= level.Negotiated {
		commands = append(commands, encodeFormatVersion(l))
	}
	if l >= level.Instances {
		commands = append(commands, encodeEndpoint(registry.Endpoint{ID: "g", Born: 7, Service: "s", Address: "127.0.0.1:3", Sequence: 1}))
	}
	if l >= level.Rollouts {
		commands = append(commands, encodeEndpoint(registry.Endpoint{ID: "h", Service: "s", Address: "127.0.0.1:4", Version: "v2", Sequence: 1}),
			encodeRollout(rollout.Record{Order: rollout.Order{Service: "s", Version: "v2", Duration: event.Second}, Number: 1, Ceiling: 3}))
	}
	if l >= level.Versions {
		commands = append(commands, encodeEndpoint(registry.Endpoint{ID: "i", Service: "r", Address: "127.0.0.1:5", Version: "v1", Sequence: 1}),
			encodeVersions(affinity.Record{Service: "r", Version: "v2"}))
	}
	if l >= level.PastOrders {
		for i, phase := range []rollout.Phase{rollout.PhaseCompleted, rollout.PhaseRolledBack, rollout.PhaseRolledBack, rollout.PhaseCanary} {
			order := rollout.Order{Service: "r", Version: fmt.Sprint("v", i), Duration: event.Second}
			commands = append(commands, encodeRollout(rollout.Record{Order: order, Number: uint64(i + 2), Phase: phase}))
		}
	}
	for i, c := range commands {
		if _, err := m.apply(consensus.Index(i+1), c); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

// contents returns the whole state as text, for comparisons.
func (m *stateMachine) contents(t *testing.T) string {
	t.Helper()
	m.registry.IsRemoved("") // builds the derived fields, which a restored state may lack
	data, err := json.Marshal([]any{
		m.formatVersion, m.document.Version, m.document.Data, m.upload.key, m.upload.parts, m.registry, m.budgets.Record(), m.poison.Record(), &m.rollouts, &m.versions,
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestSnapshotsOfAllFormatVersions: this build must restore the snapshots of all format versions, and write those
// of an earlier one for a group that has it.
func TestSnapshotsOfAllFormatVersions(t *testing.T) {
	for _, l := range []level.Level{level.Listed, level.Chunked, level.Suspects, level.Negotiated, level.Instances, level.Rollouts, level.Versions, level.PastOrders} {
		m := fullMachine(t, l)
		var restored stateMachine
		if err := restored.restore(m.snapshot(), level.Newest); err != nil {
			t.Errorf("format version %d: %v", l, err)
			continue
		}
		if diff := cmp.Diff(m.contents(t), restored.contents(t)); diff != "" {
			t.Errorf("format version %d (-want +got):\n%s", l, diff)
		}
		if m.formatVersion != l {
			t.Errorf("a log with encodings up to format version %d has format version %d", l, m.formatVersion)
		}
	}
}

// TestSnapshotOfLaterBuildIsUnsupported: a snapshot of a later build must be reported as such, not as
// damaged, or an operator would discard an intact disk.
func TestSnapshotOfLaterBuildIsUnsupported(t *testing.T) {
	var m stateMachine
	later := append([]byte{formatVersioned, byte(level.Newest + 2)}, fullMachine(t, level.Negotiated).snapshot()[2:]...)
	for name, c := range map[string]struct {
		data     []byte
		wantText string
	}{
		"later format version": {later, fmt.Sprint("level ", level.Newest+2)},
		"a later format":       {[]byte{lastFormat + 1, 0, 0}, "format 4"},
	} {
		err := m.restore(c.data, level.Newest)
		if !level.IsUnsupported(err) || !strings.Contains(err.Error(), c.wantText) || !strings.Contains(err.Error(), fmt.Sprint(level.Newest)) {
			t.Errorf("%s: %v, want an error with the format version found and the one supported", name, err)
		}
	}
	for name, data := range map[string][]byte{"not a snapshot": []byte("?"), "truncated JSON": []byte(`{"version":`), "format byte alone": {formatVersioned}} {
		if err := m.restore(data, level.Newest); level.IsUnsupported(err) || !errors.Is(err, errSnapshot) {
			t.Errorf("%s: %v, want errSnapshot", name, err)
		}
	}
}

// TestWholeDocumentIsNotParsedAsPart: a whole configuration and a part of one are commands of the same kind
// and must be distinguished by content.
func TestWholeDocumentIsNotParsedAsPart(t *testing.T) {
	for _, text := range []string{"{}", "\t{}", " {}", "\n\n{}", `{"version":2,"routes":[]}`} {
		var m stateMachine
		d := Document{Version: 2, Data: []byte(text)}
		if c, err := m.apply(1, d.encodeWhole()); err != nil || !c.document || string(m.document.Data) != text {
			t.Errorf("%q whole: %v, %q", text, err, m.document.Data)
		}
		m = stateMachine{}
		d.pack()
		if c, err := m.apply(1, d.packed.encodePart(0)); err != nil || !c.document || string(m.document.Data) != text {
			t.Errorf("%q in parts: %v, %q", text, err, m.document.Data)
		}
	}
}

// TestCommandsOfLaterBuildAreUnsupported: a box that skips commands it does not know would diverge from the
// other members.
func TestCommandsOfLaterBuildAreUnsupported(t *testing.T) {
	for name, command := range map[string][]byte{"unknown kind": {lastCommand + 1, 1}, "later format version": encodeFormatVersion(level.Newest + 1)} {
		if err := checkReadable(command, level.Newest); !level.IsUnsupported(err) {
			t.Errorf("%s: error %v, want an UnsupportedError", name, err)
		}
	}
	for _, command := range [][]byte{{}, {0, 1}, encodeFormatVersion(level.Newest), encodeRemove("e")} {
		if err := checkReadable(command, level.Newest); err != nil {
			t.Errorf("readable command %v is rejected: %v", command, err)
		}
	}
}

// FuzzCommand: a command of arbitrary bytes is applied, or returns an error and changes at most an
// incomplete upload.
func FuzzCommand(f *testing.F) {
	d := Document{Version: 2, Data: []byte(`{"version":2}`)}
	f.Add(d.encodeWhole())
	d.pack()
	f.Add(d.packed.encodePart(0))
	f.Add(encodeFormatVersion(level.Negotiated))
	f.Add(encodeRemove("e"))
	f.Fuzz(func(t *testing.T, command []byte) {
		var m stateMachine
		before := m.contents(t)
		if _, err := m.apply(2, command); err != nil && m.contents(t) != before && m.upload.key == (documentKey{}) {
			t.Errorf("error %v, but the state has changed", err)
		}
	})
}
