// SPDX-License-Identifier: MIT

package admission

import "lynxramp.org/event"

// binsPerWindow is how finely a window slides.
const binsPerWindow = 160

// window sums amounts over the last span of time. Older parts leave it bin by
// bin, never early. The zero value is not ready; see newWindow.
type window struct {
	bin    event.Span
	bins   [binsPerWindow + 1]int
	newest int64 // number of the newest bin
	sum    int
}

func newWindow(span event.Span) *window { return &window{bin: span / binsPerWindow} }

// slide forgets what is too old at now.
func (w *window) slide(now event.Time) {
	number := int64(now) / int64(w.bin)
	for steps := 0; w.newest < number && steps <= binsPerWindow; steps++ {
		w.newest++
		slot := w.slot(w.newest)
		w.sum -= w.bins[slot]
		w.bins[slot] = 0
	}
	w.newest = max(w.newest, number)
}

func (w *window) slot(number int64) int {
	n := int64(len(w.bins))
	return int((number%n + n) % n)
}

// add counts an amount at now.
func (w *window) add(now event.Time, amount int) { w.addAt(now, now, amount) }

// addAt counts an amount that was spent at an earlier moment.
func (w *window) addAt(now, at event.Time, amount int) {
	w.slide(now)
	number := int64(at) / int64(w.bin)
	if number <= w.newest-int64(len(w.bins)) {
		return
	}
	w.bins[w.slot(number)] += amount
	w.sum += amount
}

// remove takes back an amount that was counted at a moment, if it still counts.
func (w *window) remove(now, at event.Time, amount int) {
	w.slide(now)
	number := int64(at) / int64(w.bin)
	if number <= w.newest-int64(len(w.bins)) {
		return
	}
	slot := w.slot(number)
	part := min(amount, w.bins[slot])
	w.bins[slot] -= part
	w.sum -= part
}

// total returns the sum at now.
func (w *window) total(now event.Time) int {
	w.slide(now)
	return w.sum
}

// room returns how long it takes until the window's sum is at most limit, if
// nothing is added.
func (w *window) room(now event.Time, limit float64) event.Span {
	left := float64(w.total(now))
	for back := int64(len(w.bins)) - 1; back >= 0; back-- {
		if left <= limit {
			return max(0, event.Span(int64(len(w.bins))-1-back)*w.bin)
		}
		left -= float64(w.bins[w.slot(w.newest-back)])
	}
	return event.Span(len(w.bins)) * w.bin
}

// each calls f for each part that is still counted, with its age, oldest first.
func (w *window) each(now event.Time, f func(age event.Span, amount int)) {
	w.slide(now)
	for back := int64(len(w.bins)) - 1; back >= 0; back-- {
		if amount := w.bins[w.slot(w.newest-back)]; amount > 0 {
			f(min(event.Span(back)*w.bin, w.bin*binsPerWindow), amount)
		}
	}
}
