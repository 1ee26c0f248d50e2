// SPDX-License-Identifier: MIT

package level

import (
	"strings"
	"testing"
)

// The table must list each level once, in order, and end with the newest.
func TestEncodingsListEachLevelOnce(t *testing.T) {
	for i, e := range Encodings {
		if e.Level != Level(i+1) || e.Description == "" || e.Readers == 0 {
			t.Errorf("row %d is out of order or incomplete: %+v", i, e)
		}
	}
	if last := Encodings[len(Encodings)-1].Level; last != Newest {
		t.Errorf("the table ends with level %d, the newest is %d", last, Newest)
	}
}

// An entry of an older build must not keep the group from encodings that entries are never sent.
func TestAffectsOnlyReadersOfNewEncodings(t *testing.T) {
	if Affects(Entries, Chunked, Negotiated) || !Affects(Entries, Compressed, Negotiated) || !Affects(Members, Chunked, Suspects) || Affects(Members, Negotiated, Negotiated) {
		t.Error("Affects differs from the readers in the table")
	}
}

// The error must say what was found and what is supported, also when it is wrapped.
func TestUnsupportedErrorNamesFoundAndSupported(t *testing.T) {
	err := Unsupported("a snapshot", 7, 5)
	if text := err.Error(); !IsUnsupported(err) || !strings.Contains(text, "level 7") || !strings.Contains(text, "up to 5") {
		t.Error(text)
	}
}
