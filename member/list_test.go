// SPDX-License-Identifier: MIT

package member

import (
	"strings"
	"testing"
)

// TestParse guards against taking a box of an unknown state for draining, and against using part of an invalid list.
func TestParse(t *testing.T) {
	got, err := parse(strings.NewReader(`[{"address":"10.0.0.1","state":"live"},{"address":"10.0.0.2","state":"leaving"},{"address":"10.0.0.3","state":"new"}]`))
	if err != nil || len(got) != 1 || !got["10.0.0.2"] {
		t.Errorf("draining boxes %v, error %v, want only 10.0.0.2", got, err)
	}
	for _, bad := range []string{"", "{}", `[{"address":"host"}]`} {
		if _, err := parse(strings.NewReader(bad)); err == nil {
			t.Errorf("invalid list %q was accepted", bad)
		}
	}
}
