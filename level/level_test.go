// SPDX-License-Identifier: MIT

package level

import (
	"strings"
	"testing"
)

// TestFormsAreInOrder: the table lists each level once, and ends with the newest.
func TestFormsAreInOrder(t *testing.T) {
	for i, f := range Forms {
		if f.Level != Level(i+1) || f.What == "" || f.Readers == 0 {
			t.Errorf("row %d: %+v", i, f)
		}
	}
	if last := Forms[len(Forms)-1].Level; last != Newest {
		t.Errorf("the table ends with level %d, the newest is %d", last, Newest)
	}
}

// TestEntriesHoldBackOnlyTheirForms: an entry that never upgrades must not keep the group from forms that
// it is not sent.
func TestEntriesHoldBackOnlyTheirForms(t *testing.T) {
	if ReadBy(Entries, Parts, Told) || !ReadBy(Entries, Packed, Told) || !ReadBy(Members, Parts, Suspects) || ReadBy(Members, Told, Told) {
		t.Error("who must read the forms between two levels is another than in the table")
	}
}

// TestAboveNamesBoth: the error says what was found and what is read, and is found behind others.
func TestAboveNamesBoth(t *testing.T) {
	err := TooNew("a snapshot", 7, 5)
	if text := err.Error(); !IsAbove(err) || !strings.Contains(text, "level 7") || !strings.Contains(text, "up to 5") {
		t.Error(text)
	}
}
