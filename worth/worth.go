// SPDX-License-Identifier: MIT

package worth

import "lynxramp.org/event"

// What callers gain and lose, in parts of what an answer in time is worth.
const (
	// Late is the worth of an answer that begins after its target: callers of all kinds
	// that were measured value it at 0.29 to 0.31.
	Late = 0.3
	// Second is what a second refusal costs, and an attempt that fails after a refusal.
	Second = 0.3
)

// How the cost of a wait without an answer grows: from 0 at freePart of the target to all
// of the request's worth at fullPart of the time that the caller had, evenly.
const (
	freePart = 1.0 / 8
	fullPart = 3.0 / 4
)

// NeverSoon is the wait of what is not expected to be served at all, and the longest that
// is told apart from it.
const NeverSoon = 3600 * event.Second

// Case is a request that has no place yet, and what is known of its way to one.
type Case struct {
	// Waited is how long ago its caller first asked, and Target within which time from
	// then on the answer is to begin.
	Waited, Target event.Span
	// Left is how much longer the caller waits.
	Left event.Span
	// Wait is how much longer the request is expected to wait for a place, and Begin how
	// long its answer then takes to begin.
	Wait, Begin event.Span
	// Overload is how long the overload has lasted that the request waits out; 0 is none.
	// Wait comes after it.
	Overload event.Span
	// Asked says that the caller was refused before. Again is the chance that who asks
	// again is served.
	Asked bool
	Again float64
}

// Weighing is what the two ways are worth to a caller.
type Weighing struct {
	InTime float64 // chance of an answer in time
	Any    float64 // chance of an answer
	Keep   float64
	Refuse float64
}

// IsRefused reports whether the request is to be refused now. Where both ways are worth the
// same, to know is better than not to know.
func (w Weighing) IsRefused() bool { return w.Refuse >= w.Keep }

// Weigh weighs a case.
func Weigh(c Case) Weighing {
	c.Target, c.Left, c.Wait = max(0, c.Target), max(0, c.Left), max(0, c.Wait)
	var w Weighing
	w.Any = chance(c.Wait, c.Left-c.Begin) * over(c.Overload, c.Left)
	w.InTime = min(w.Any, chance(c.Wait, c.Target-c.Waited-c.Begin)*over(c.Overload, c.Target-c.Waited))
	second := 0.0
	if c.Asked {
		second = Second
	}
	lost := held(c, c.Waited+min(c.Wait+c.Overload, c.Left)) + second
	w.Keep = w.InTime + Late*(w.Any-w.InTime) - (1-w.Any)*lost
	w.Refuse = -held(c, c.Waited)
	if c.Asked {
		w.Refuse -= Second
	} else {
		w.Refuse += c.Again*Late - (1-c.Again)*Second
	}
	return w
}

// held is what a wait costs that ends without an answer at an age.
func held(c Case, age event.Span) float64 {
	free := freePart * c.Target.Seconds()
	full := fullPart * (c.Waited + c.Left).Seconds()
	if age.Seconds() <= free {
		return 0
	}
	if full <= free {
		return 1
	}
	return min(1, (age.Seconds()-free)/(full-free))
}

// over is the chance that an overload that has lasted so long is over within a time.
func over(lasted, within event.Span) float64 {
	switch {
	case lasted <= 0:
		return 1
	case within <= 0:
		return 0
	}
	return float64(within) / float64(lasted+within)
}

// chance is that of a wait that is expected to last so long to end within a time.
func chance(expected, within event.Span) float64 {
	switch {
	case within <= 0:
		return 0
	case expected <= 0:
		return 1
	}
	ratio := float64(expected) / float64(within)
	ratio *= ratio
	return 1 / (1 + ratio*ratio)
}
