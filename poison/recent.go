// SPDX-License-Identifier: MIT

package poison

import "lynxramp.org/event"

// recentSuccesses records which requests had a successful run within successWindow, at least the latest
// maxSuccesses of them, in two generations. The zero value is empty.
type recentSuccesses struct {
	current, previous map[Print]event.Time
	currentSince      event.Time // when current was started
}

func (r *recentSuccesses) add(now event.Time, p Print) {
	if r.current == nil || len(r.current) >= maxSuccesses || now.Sub(r.currentSince) >= successWindow {
		r.current, r.previous = make(map[Print]event.Time), r.current
		r.currentSince = now
	}
	r.current[p] = now
}

func (r *recentSuccesses) has(now event.Time, p Print) bool {
	at, ok := r.current[p]
	if !ok {
		at, ok = r.previous[p]
	}
	return ok && now.Sub(at) < successWindow
}
