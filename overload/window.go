// SPDX-License-Identifier: MIT

package overload

import "time"

// Parameters of a window.
const (
	// minWindow is the shortest time for which connections are admitted, and maxWindow the longest time that is waited for
	// handshakes.
	minWindow, maxWindow = 5 * time.Millisecond, 50 * time.Millisecond
	// unusedConnections is how many connections are expected in a window in which none is accepted; minUnused and maxUnused
	// limit its time. On a saturated link no handshake ends in a shorter one.
	unusedConnections    = 10
	minUnused, maxUnused = 100 * time.Millisecond, time.Second
	// maxDebt is how many bursts more are accepted whose handshakes are under way when a window ends: their callers send
	// their requests anyway.
	maxDebt = 3
	// offeredWeight is the weight of a new measurement in window.offered.
	offeredWeight = 0.5
	// handshakeWeight is the weight of a new handshake in window.handshake.
	handshakeWeight = 1.0 / 8
)

// window decides when connections are admitted, by a limit. It is a reducer: all times are passed to it. While connections
// are admitted, more than were accepted are under way; the window ends when all of them use up what the limit allows.
type window struct {
	bucket bucket
	// losesHandshakes is set if those under way when a window ends are reset.
	losesHandshakes bool

	isOpen    bool
	openedAt  time.Time
	closedAt  time.Time
	used      int           // connections accepted since openedAt
	offered   float64       // connections a second that callers begin while the window is open
	handshake time.Duration // average time of handshakes
	isFirst   bool          // the window began without a limit
	isBusy    bool          // the last window used up half of a burst at least: offered holds
	isForced  bool          // the window began during a pause
}

func newWindow(now time.Time, losesHandshakes bool) window {
	return window{bucket: newBucket(), losesHandshakes: losesHandshakes, isOpen: true, openedAt: now, isFirst: true}
}

// setLimit changes the limit.
func (w *window) setLimit(now time.Time, perSecond float64, isPaused bool) {
	hadLimit := w.bucket.hasLimit()
	w.bucket.set(now, perSecond, isPaused)
	if !hadLimit && w.bucket.hasLimit() {
		w.openedAt, w.used, w.isFirst, w.isBusy = now, 0, true, true
	}
}

// observeRate updates the rate of connections while there is no limit.
func (w *window) observeRate(perSecond float64) {
	if !w.bucket.hasLimit() {
		w.offered += offeredWeight * (perSecond - w.offered)
	}
}

// accept counts an accepted connection, whose handshake took some time.
func (w *window) accept(now time.Time, handshake time.Duration) {
	w.used++
	w.bucket.spend(now, 1)
	w.handshake += time.Duration(handshakeWeight * float64(handshake-w.handshake))
}

// underWay returns how many connections are expected to be accepted after the window.
func (w *window) underWay(now time.Time) float64 {
	if !w.isBusy || w.losesHandshakes {
		return 0
	}
	return max(0, w.offered*now.Sub(w.openedAt).Seconds()-float64(w.used))
}

// mustEnd reports whether no more connections may begin for now.
func (w *window) mustEnd(now time.Time) bool {
	openFor := now.Sub(w.openedAt)
	if !w.isOpen || !w.bucket.hasLimit() || openFor < w.minLength() {
		return false
	}
	if w.used == 0 && !w.isFirst && (w.bucket.isPaused || w.losesHandshakes) && openFor < w.unusedLength() {
		return false
	}
	w.bucket.refill(now)
	return w.bucket.isPaused || w.bucket.tokens-w.underWay(now) < 1
}

// minLength returns the shortest length of the window.
func (w *window) minLength() time.Duration {
	if !w.losesHandshakes || w.isFirst {
		return minWindow
	}
	return min(max(w.handshake, minWindow), maxWindow)
}

// unusedLength returns the length of the window if no connection is accepted.
func (w *window) unusedLength() time.Duration {
	length := time.Duration(unusedConnections / max(w.offered, 1) * float64(time.Second))
	if !w.losesHandshakes {
		return min(length, maxUnused)
	}
	return min(max(length, minUnused), maxUnused)
}

// end ends the window.
func (w *window) end(now time.Time) { w.isOpen, w.closedAt = false, now }

// mayDrain reports whether connections that are complete may be accepted before the window ends, if the others are lost.
func (w *window) mayDrain(now time.Time) bool {
	w.bucket.refill(now)
	return w.losesHandshakes && !w.bucket.isPaused && w.bucket.tokens > -maxDebt*w.bucket.burst()
}

// mustDrop reports whether what is under way from a window that has ended must not be accepted. One connection of each
// window is, and no more of a window during a pause.
func (w *window) mustDrop(now time.Time) bool {
	w.bucket.refill(now)
	return w.bucket.hasLimit() && w.used > 0 && (w.isForced || w.bucket.tokens <= -maxDebt*w.bucket.burst())
}

// untilBegin returns the time until a new window may begin: when a burst is allowed again and all that was under way was
// accepted.
func (w *window) untilBegin(now time.Time) time.Duration {
	wait := min(w.bucket.untilFull(now), w.closedAt.Add(maxClosed).Sub(now))
	if w.losesHandshakes {
		return max(0, wait)
	}
	return max(0, wait, w.closedAt.Add(min(w.handshake, maxWindow)).Sub(now))
}

// begin begins a window.
func (w *window) begin(now time.Time) {
	if !w.isFirst {
		openFor := max(w.closedAt.Sub(w.openedAt), minWindow).Seconds()
		w.offered += offeredWeight * (float64(w.used)/openFor - w.offered)
		w.isBusy = float64(w.used) >= w.bucket.burst()/2
	}
	w.isOpen, w.isFirst, w.isForced, w.openedAt, w.used = true, false, w.bucket.isPaused, now, 0
}
