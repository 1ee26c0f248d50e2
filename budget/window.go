// SPDX-License-Identifier: MIT

package budget

import "lynxramp.org/event"

// binsPerWindow is the number of bins by which a window slides.
const binsPerWindow = 160

// Window is a sliding sum over the last span of time. Amounts expire bin by bin, never
// early. The zero value is not usable; see NewWindow.
type Window struct {
	bin    event.Duration
	bins   [binsPerWindow + 1]int
	newest int64 // number of the newest bin
	sum    int
}

// NewWindow returns a window over a span.
func NewWindow(span event.Duration) *Window { return &Window{bin: span / binsPerWindow} }

// slide removes the bins that have expired at now.
func (w *Window) slide(now event.Time) {
	number := int64(now) / int64(w.bin)
	if w.sum == 0 {
		// All bins are empty.
		w.newest = max(w.newest, number)
		return
	}
	for steps := 0; w.newest < number && steps <= binsPerWindow; steps++ {
		w.newest++
		slot := w.binIndex(w.newest)
		w.sum -= w.bins[slot]
		w.bins[slot] = 0
	}
	w.newest = max(w.newest, number)
}

func (w *Window) binIndex(number int64) int {
	n := int64(len(w.bins))
	return int((number%n + n) % n)
}

// Add adds an amount at now.
func (w *Window) Add(now event.Time, amount int) { w.AddAt(now, now, amount) }

// AddAt adds an amount that was spent at an earlier time.
func (w *Window) AddAt(now, at event.Time, amount int) {
	w.slide(now)
	w.put(at, amount)
}

// put adds an amount to the bin of a time. The window must have slid to the present.
func (w *Window) put(at event.Time, amount int) {
	number := int64(at) / int64(w.bin)
	if number <= w.newest-int64(len(w.bins)) {
		return
	}
	w.bins[w.binIndex(number)] += amount
	w.sum += amount
}

// Remove subtracts an amount that was added for the given time, unless it has expired.
func (w *Window) Remove(now, at event.Time, amount int) {
	w.slide(now)
	number := int64(at) / int64(w.bin)
	if number <= w.newest-int64(len(w.bins)) {
		return
	}
	slot := w.binIndex(number)
	removed := min(amount, w.bins[slot])
	w.bins[slot] -= removed
	w.sum -= removed
}

// Total returns the sum at now.
func (w *Window) Total(now event.Time) int {
	w.slide(now)
	return w.sum
}

// TimeUntilAtMost returns how long it takes until the sum is at most limit, if nothing is
// added.
func (w *Window) TimeUntilAtMost(now event.Time, limit float64) event.Duration {
	left := float64(w.Total(now))
	for back := int64(len(w.bins)) - 1; back >= 0; back-- {
		if left <= limit {
			return max(0, event.Duration(int64(len(w.bins))-1-back)*w.bin)
		}
		left -= float64(w.bins[w.binIndex(w.newest-back)])
	}
	return event.Duration(len(w.bins)) * w.bin
}

// each calls f for each bin that is not empty, oldest first, with the least age that the
// amount may have.
func (w *Window) each(now event.Time, f func(age event.Duration, amount int)) {
	w.slide(now)
	for back := int64(len(w.bins)) - 1; back >= 0; back-- {
		if amount := w.bins[w.binIndex(w.newest-back)]; amount > 0 {
			f(event.Duration(max(0, back-1))*w.bin, amount)
		}
	}
}
