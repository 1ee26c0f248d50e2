// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"hash/fnv"
	"testing"

	"lynxramp.org/event"
)

// TestArrivalOrderUnchanged guards the order of arrival against changes made for the order by
// expected work: the totals were recorded before that order was added.
func TestArrivalOrderUnchanged(t *testing.T) {
	climate, postal := climateLoad(), postalLoad()
	for _, test := range [...]struct {
		name string
		load load
		want string
	}{
		{"worst", worstLoad(3), "9099b4a0938d2b88"},
		{"climate", climate.load(3), "29ce21ddbeb6a7a2"},
		{"postal", postal.load(3), "7d279118c04e1d19"},
	} {
		test.load.length = min(test.load.length, event.Time(12*event.Second))
		digest := fnv.New64a()
		r := runLoad(test.load)
		_, _ = fmt.Fprint(digest, r.earned, r.earnedLong, r.timedOut, r.refused, r.refusedTwice, r.cutOff, r.wastedSeconds, r.runSeconds)
		if got := fmt.Sprintf("%016x", digest.Sum64()); got != test.want {
			t.Errorf("%s: totals have digest %s, want %s", test.name, got, test.want)
		}
	}
}
