// SPDX-License-Identifier: MIT

package affinity

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

const (
	at   = event.Time(event.Second)
	life = 10 * event.Second
)

func checkVersion(t *testing.T, table *Table, now event.Time, key Key, want string, wantOK bool) {
	t.Helper()
	if got, ok := table.Version(now, key); got != want || ok != wantOK {
		t.Errorf("version %q, known %v; want %q, %v", got, ok, want, wantOK)
	}
}

// TestVersionOfRetriedStream: an attempt that was granted at two versions is bound to the one that brought the first
// event, and to none before.
func TestVersionOfRetriedStream(t *testing.T) {
	table := NewTable(10)
	table.Grant(at, "a", "v1", life)
	checkVersion(t, table, at, "a", "v1", true)
	table.Grant(at, "a", "v2", life)
	checkVersion(t, table, at, "a", "", false)
	table.Begin(at, "a", "v2", life)
	checkVersion(t, table, at, "a", "v2", true)
	checkVersion(t, table, at.Add(life), "a", "", false)
}

// TestReusedAttemptIsUnknown: two requests with the same ID that began at two versions are bound to none.
func TestReusedAttemptIsUnknown(t *testing.T) {
	table := NewTable(10)
	table.Begin(at, "a", "v1", life)
	table.Begin(at, "a", "v2", life)
	checkVersion(t, table, at, "a", "", false)
	table.Begin(at, "a", "v2", life)
	checkVersion(t, table, at, "a", "", false)
}

// TestTableIsBounded: a Table has at most its limit of streams, makes room when streams expire, and does not forget
// others for new ones.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(100)
	for i := range 1000 {
		table.Grant(at, Key(fmt.Sprint(i)), "v1", life)
	}
	if table.Len() != 100 {
		t.Errorf("%d streams", table.Len())
	}
	checkVersion(t, table, at, "0", "v1", true)
	table.Begin(at.Add(life), "new", "v1", life)
	checkVersion(t, table, at.Add(life), "new", "v1", true)
	if table.Len() != 1 {
		t.Errorf("%d streams after they expired", table.Len())
	}
	for i := range 2 * maxNames {
		table.Begin(at, "of many versions", fmt.Sprint(i), life)
	}
	if len(table.names) > maxNames {
		t.Errorf("%d versions", len(table.names))
	}
}

// TestKeysOfTeamsDiffer: a team can't name the stream of another one, nor that of another service.
func TestKeysOfTeamsDiffer(t *testing.T) {
	keys := []Key{MakeKey("a", "s", "1"), MakeKey("b", "s", "1"), MakeKey("a", "s1", ""), MakeKey("a", "s", "2"), MakeKey("", "s", "1")}
	slices.Sort(keys)
	if len(slices.Compact(keys)) != 5 {
		t.Error("different streams have the same key")
	}
	if again := MakeKey("a", "s", "1"); !slices.Contains(keys, again) {
		t.Error("the key of a stream changes")
	}
}

func TestIsValidAttempt(t *testing.T) {
	for id, want := range map[string]bool{"9c41d07be2a35f68": true, "": false, "a b": false, "a,b": false, "a\x00": false, "é": false, string(make([]byte, 129)): false} {
		if IsValidAttempt(id) != want {
			t.Errorf("%q: valid %v", id, !want)
		}
	}
}

// TestSecondVersionIsNotAdmittedByItsEndpoint: the first endpoint of a second version must not make it usable; later
// versions are used at once, as no entry relies on a single one then.
func TestSecondVersionIsNotAdmittedByItsEndpoint(t *testing.T) {
	var l Ledger
	l.Endpoint("s", "v1", 1)
	l.Endpoint("s", "v2", 2)
	if version, ok := l.Sole("s"); !ok || version != "v1" || l.IsAdmitted("s", "v2") {
		t.Errorf("versions %q", l.Versions("s"))
	}
	l.Apply(Record{Service: "s", Version: "v2"}, 3)
	l.Endpoint("s", "v3", 4)
	if _, ok := l.Sole("s"); ok || !slices.Equal(l.Versions("s"), []string{"v1", "v2", "v3"}) {
		t.Errorf("versions %q", l.Versions("s"))
	}
}

// TestVersionIsNotRetiredWhileItsEndpointsReturn: a record that was proposed before an endpoint of the version registered
// again changes nothing.
func TestVersionIsNotRetiredWhileItsEndpointsReturn(t *testing.T) {
	var l Ledger
	l.Endpoint("s", "v1", 1)
	l.Apply(Record{Service: "s", Version: "v2"}, 2)
	l.Endpoint("s", "v1", 7)
	if l.Apply(Record{Service: "s", Version: "v1", Retired: 6}, 8) {
		t.Error("the version was retired")
	}
	if !l.Apply(Record{Service: "s", Version: "v1", Retired: 7}, 9) {
		t.Error("the version was not retired")
	}
	if l.Apply(Record{Service: "s", Version: "v2", Retired: 20}, 21) {
		t.Error("the only version was retired")
	}
}

// TestServiceOfEarlierBuildsHasNoSoleVersion: streams that began before versions were recorded may have any.
func TestServiceOfEarlierBuildsHasNoSoleVersion(t *testing.T) {
	var l Ledger
	l.Start("s", 1)
	l.Endpoint("s", "v1", 2)
	if _, ok := l.Sole("s"); ok || !l.IsAdmitted("s", "v2") {
		t.Errorf("versions %q", l.Versions("s"))
	}
	l.Apply(Record{Service: "s", Version: Unknown, Retired: 3}, 4)
	if version, ok := l.Sole("s"); !ok || version != "v1" {
		t.Errorf("versions %q", l.Versions("s"))
	}
}

// TestLedgerIsTheSameAfterRestore: a member restored from a snapshot has the versions of the others, whatever the
// order of commands, and services and versions are bounded.
func TestLedgerIsTheSameAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		for index := range uint64(200) {
			service, version := rapid.SampledFrom([]string{"s", "r"}).Draw(t, "service"), fmt.Sprint("v", rapid.IntRange(0, 100).Draw(t, "version"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				l.Start(service, index)
			case 1:
				l.Endpoint(service, version, index)
			case 2:
				l.Apply(Record{Service: service, Version: version}, index)
			case 3:
				l.Apply(Record{Service: service, Version: version, Retired: index}, index)
			}
			if n := len(l.Versions(service)); n > maxVersions+1 {
				t.Fatalf("%d versions", n)
			}
		}
		data, err := json.Marshal(&l)
		if err != nil {
			t.Fatal(err)
		}
		var restored Ledger
		if err := json.Unmarshal(data, &restored); err != nil {
			t.Fatal(err)
		}
		for _, service := range l.Services() {
			if !slices.Equal(l.Versions(service), restored.Versions(service)) {
				t.Fatalf("versions %q, restored %q", l.Versions(service), restored.Versions(service))
			}
		}
	})
}

// BenchmarkTable measures what a stream costs an owner whose service has several versions.
func BenchmarkTable(b *testing.B) {
	table := NewTable(MaxOwnerStreams)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		key := MakeKey("team", "s", fmt.Sprint(i))
		now := event.Time(i) * event.Time(50*event.Microsecond)
		table.Grant(now, key, "v1", life)
		table.Begin(now, key, "v1", life)
		table.Sweep(now)
	}
}
