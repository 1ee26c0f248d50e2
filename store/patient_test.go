// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/zap"

	"lynxramp.org/consensus"
)

// fullDisk fails a number of saves.
type fullDisk struct{ refusals, saves int }

func (d *fullDisk) Save(*consensus.Ready) error {
	if d.refusals > 0 {
		d.refusals--
		return errors.New("no space left on device")
	}
	d.saves++
	return nil
}

func TestFullDiskIsRetried(t *testing.T) {
	disk := &fullDisk{refusals: 3}
	d := &RetryingDisk{Disk: disk, Context: context.Background(), Log: zap.NewNop()}
	if err := d.Save(&consensus.Ready{}); err != nil || disk.saves != 1 {
		t.Errorf("error %v, %d saves; want none and 1", err, disk.saves)
	}
}

func TestRetryEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d := &RetryingDisk{Disk: &fullDisk{refusals: 1 << 30}, Context: ctx, Log: zap.NewNop()}
	if err := d.Save(&consensus.Ready{}); err == nil {
		t.Error("Save returned no error though nothing was saved")
	}
}

// A write that fails half-way and is retried must leave the folder intact.
func TestFailedWriteIsRepaired(t *testing.T) {
	dir := t.TempDir()
	s, _, _, err := Open(dir, "box", 7)
	if err != nil {
		t.Fatal(err)
	}
	entry := func(i consensus.Index, data string) *consensus.Ready {
		return &consensus.Ready{Entries: []consensus.Entry{{Index: i, Term: 1, Kind: consensus.EntryCommand, Data: []byte(data)}}}
	}
	if err := s.Save(entry(1, "first")); err != nil {
		t.Fatal(err)
	}
	// a partial record, as a full disk leaves it
	if _, err := s.log.Write([]byte("\xb1lyx half of a record")); err != nil {
		t.Fatal(err)
	}
	s.needsRepair = true
	if err := s.Save(entry(2, "second")); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	_, _, r, err := Open(dir, "box", 7)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Entries) != 2 || string(r.Entries[1].Data) != "second" {
		t.Errorf("the folder holds %+v, want both entries", r.Entries)
	}
}
