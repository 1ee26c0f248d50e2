// SPDX-License-Identifier: MIT

package rollout

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"lynxramp.org/event"
)

// TestLedgerKeepsEndedOrders guards against a decided state that a late record changes.
func TestLedgerKeepsEndedOrders(t *testing.T) {
	var l Ledger
	ended := Record{Order: testOrder, Number: 2, Phase: PhaseRolledBack, Ceiling: 10}
	l.Apply(0, ended)
	for _, late := range []Record{
		{Order: testOrder, Number: 2, Phase: PhaseCanary, Ceiling: 20},
		{Order: testOrder, Number: 2, Phase: PhaseCompleted},
		{Order: testOrder, Number: 1, Phase: PhaseShifting},
	} {
		l.Apply(1, late)
		if got, _ := l.Get("s"); got != ended {
			t.Errorf("record %+v after %+v", got, late)
		}
	}
}

// TestLedgerMergesRecords guards against a change of phase that is ignored, or lowers the
// ceiling, because it was proposed before an earlier record was committed.
func TestLedgerMergesRecords(t *testing.T) {
	var l Ledger
	l.Apply(0, Record{Order: testOrder, Number: 1, Ceiling: 20, Requests: 100, Elapsed: 2 * event.Second})
	l.Apply(1, Record{Order: testOrder, Number: 1, Phase: PhaseShifting, Ceiling: 15, Requests: 120, Elapsed: event.Second})
	want := Record{Order: testOrder, Number: 1, Phase: PhaseShifting, Ceiling: 20, Requests: 120, Elapsed: 2 * event.Second}
	if got, _ := l.Get("s"); got != want {
		t.Errorf("record %+v, want %+v", got, want)
	}
}

// TestLedgerEncoding guards against boxes whose snapshots differ, and against records that a
// snapshot loses.
func TestLedgerEncoding(t *testing.T) {
	var l, m Ledger
	for i := range 20 {
		l.Apply(0, Record{Order: Order{Service: fmt.Sprint(i % 7), Version: "v"}, Number: uint64(i), Phase: PhaseCompleted})
	}
	data, err := json.Marshal(&l)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &m); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(&m)
	if err != nil || !bytes.Equal(data, again) {
		t.Errorf("encoding %s, decoded and encoded again %s, error %v", data, again, err)
	}
	if r, ok := m.Get("5"); !ok || r.Number != 19 || r.Phase != PhaseCompleted {
		t.Errorf("record of service 5 is %+v", r)
	}
	var empty Ledger
	if data, err := json.Marshal(&empty); err != nil || string(data) != "[]" {
		t.Errorf("empty ledger is %s, error %v", data, err)
	}
}

// TestLedgerRejectsMalformedJSON guards against a damaged snapshot that is loaded in part.
func TestLedgerRejectsMalformedJSON(t *testing.T) {
	for _, text := range []string{`{}`, `[null]`, `[{"newest":{"Phase":"late"}}]`} {
		var l Ledger
		if err := json.Unmarshal([]byte(text), &l); err == nil {
			t.Errorf("%s is accepted", text)
		}
		if len(l.lines) != 0 {
			t.Errorf("%s leaves %d services", text, len(l.lines))
		}
	}
}

// TestLedgerIsBounded guards against a state that grows with each service that ever existed.
func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	l.Apply(0, Record{Order: testOrder, Number: 0})
	for i := range maxServices + 10 {
		l.Apply(0, Record{Order: Order{Service: fmt.Sprint(i)}, Number: uint64(i + 1), Phase: PhaseCompleted})
	}
	if len(l.lines) != maxServices {
		t.Errorf("%d services, want %d", len(l.lines), maxServices)
	}
	if _, ok := l.Get("s"); !ok {
		t.Error("an order in progress was removed")
	}
}
