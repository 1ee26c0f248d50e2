// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/gateway"
	"lynxramp.org/message"
)

// The simulation of this file has an endpoint that names a limit and takes it back, beside entries and control
// boxes that are harmed. What it checks is what the endpoint gets.

// Bounds on what an endpoint gets that names a limit.
const (
	limitWindow = 4 * event.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitKnown is how long after its answer named the limit an entry counts as one that knows it.
	limitPropagation = 500 * event.Millisecond
)

// simLimit is an endpoint that names a limit.
type limitedEndpoint struct {
	random          *rand.Rand
	feedback        backpressure.Feedback
	limitedSince    event.Time // when it first did; 0 before
	arrivals        []event.Time
	total           int // arrivals, of entries that do not know of the limit too
	limitReceivedAt map[*gateway.OwnerClient]event.Time
	responses       []limitedResponse
	blocked         int
	maxResponseTime event.Duration // time to an answer's head; 0.8 s if it is not set
}

// simAnswer is an answer on its way to an entry.
type limitedResponse struct {
	at, sent   event.Time // sent by the entry's own clock
	entry      *fleetEntry
	client     *gateway.OwnerClient
	id         event.RequestID
	isDegraded bool
	// began is what the endpoint asked for when it took the request: some answers have that, others what it asks
	// for when they come.
	feedbackAtStart *backpressure.Feedback
}

// dispatch sends a request that was granted, unless the gate stops it.
func (l *limitedEndpoint) dispatch(f *fleetSim, e *fleetEntry, now event.Time, c *fleetCall, d gateway.Decision) {
	gate := e.client.Gate()
	end := message.Finish{Finished: event.Finished{ID: c.id, Pool: "s", Void: true, Unused: true}, Endpoint: "e", Unsent: true}
	if l.random.IntN(40) == 0 {
		e.client.Finish(now, end) // its caller left
		return
	}
	if gate.Check(now, d.Endpoint, d.Permit) != backpressure.NotStopped {
		l.blocked++
		e.client.Heard(now, gate.LastReport(now, d.Endpoint))
		e.client.Finish(now, end)
		return
	}
	l.total++
	if at, ok := l.limitReceivedAt[e.client]; l.limitedSince == 0 || ok && f.now.Sub(at) >= limitPropagation {
		l.arrivals = append(l.arrivals, f.now)
	}
	end.Void, end.Unused, end.Unsent = false, false, false
	longest := cmp.Or(l.maxResponseTime, 800*event.Millisecond)
	run := event.Duration(l.random.IntN(int(longest/event.Millisecond))) * event.Millisecond
	e.finishes = append(e.finishes, fleetFinish{at: f.now.Add(run), finish: end})
	a := limitedResponse{at: f.now.Add(run * event.Duration(l.random.IntN(100)) / 100), sent: now, entry: e, client: e.client, id: c.id, isDegraded: d.Alone}
	if feedback := l.feedback; l.random.IntN(2) == 0 {
		a.feedbackAtStart = &feedback
	}
	l.responses = append(l.responses, a)
}

// deliverResponses has an entry hear the answers that have come to it, with what the endpoint asks for now.
func (l *limitedEndpoint) deliverResponses(f *fleetSim, e *fleetEntry, now event.Time) {
	var left []limitedResponse
	for _, a := range l.responses {
		if a.entry != e || f.now < a.at {
			left = append(left, a)
			continue
		}
		if a.client != e.client {
			continue // its life is over
		}
		gate, feedback := e.client.Gate(), l.feedback
		if a.feedbackAtStart != nil {
			feedback = *a.feedbackAtStart
		}
		if !feedback.Restricts() && !gate.IsLimited("e") {
			continue
		}
		if feedback.Limited {
			if l.limitedSince == 0 {
				l.limitedSince = f.now
			}
			if _, ok := l.limitReceivedAt[e.client]; !ok {
				l.limitReceivedAt[e.client] = f.now
			}
		}
		gate.Observe(now, a.sent, "e", feedback, !a.isDegraded)
		e.client.Heard(now, backpressure.Report{Endpoint: "e", Request: a.id, Word: feedback})
	}
	l.responses = left
}

// maxSince returns the most arrivals in a window, of those from a moment on.
func (l *limitedEndpoint) maxSince(from event.Time) (most int, at event.Time) {
	first := 0
	for i, arrived := range l.arrivals {
		for l.arrivals[first] < from && first < i || arrived.Sub(l.arrivals[first]) > limitWindow {
			first++
		}
		if arrived >= from && i-first+1 > most {
			most, at = i-first+1, arrived
		}
	}
	return most, at
}

// TestRateLimitHoldsUnderFaults: whatever happens to owners, entries and the ways between them, an
// endpoint gets no more from the entries that know its limit than that allows, and more again when it is over.
func TestRateLimitHoldsUnderFaults(t *testing.T) {
	cases := []limitCase{
		{4, 106}, // an owner spent the parts of entries that were cut off and decided alone
	}
	for entries, seeds := range map[int]uint64{4: 24, 22: 12, 103: 6} {
		for seed := range seeds * seedFactor(t) {
			cases = append(cases, limitCase{entries, seed + 1})
		}
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d entries, seed %d", c.entries, c.seed), func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// limitCase is a run of the simulation.
type limitCase struct {
	entries int
	seed    uint64
}

func (c limitCase) run(t *testing.T) {
	f := newFleetSim(t, c.entries, c.seed)
	l := &limitedEndpoint{random: rand.New(rand.NewPCG(c.seed-1, 5)), limitReceivedAt: make(map[*gateway.OwnerClient]event.Time)}
	f.limited = l
	f.runFleet(4 * event.Second)
	rate := 0.5 * math.Exp2(6*l.random.Float64())
	l.feedback = backpressure.Feedback{Limited: true, Rate: rate}
	between := []int{1800, 6000}[(c.seed-1)%2] // ms at the most: much harm, or time to use the limit in full
	for range 25 {
		f.runFleet(event.Duration(f.random.IntN(between)) * event.Millisecond / 10 * 10)
		f.injectFault()
		f.demand = 1000 * (20 + 4*rate) // that many requests a second, and others come elsewhere
	}
	most, at := l.maxSince(l.limitedSince.Add(settleTime))
	allowed := rate*limitWindow.Seconds()*limitFactor + limitSlack
	t.Logf("limit %.1f: %d in a window, allowed %.1f; %d in all, %d grants stopped", rate, most, allowed, l.total, l.blocked)
	if float64(most) > allowed {
		t.Errorf("%d requests in %v to %v, %.1f are allowed", most, limitWindow, event.Duration(at), allowed)
	}
	l.feedback = backpressure.Feedback{}
	f.demand = 3 * fleetTeam.Rate
	f.runFleet(12 * event.Second) // what is harmed comes back, and a request hears the end
	before := l.total
	f.runFleet(4 * event.Second)
	if n := l.total - before; float64(n) < 4*10 {
		t.Errorf("%d requests in 4 s, 12 s after the limit was over", n)
	}
}

// TestWithdrawnRateLimitEnds: nothing is harmed, and answers take long, so that those that name the limit and
// those that do not come in any order.
func TestWithdrawnRateLimitEnds(t *testing.T) {
	for entries, seeds := range map[int]uint64{1: 40, 4: 24, 22: 4} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed+1), func(t *testing.T) {
				t.Parallel()
				f := newFleetSim(t, entries, seed+1)
				l := &limitedEndpoint{random: rand.New(rand.NewPCG(seed, 5)), limitReceivedAt: make(map[*gateway.OwnerClient]event.Time), maxResponseTime: 3 * event.Second}
				f.limited = l
				f.runFleet(2 * event.Second)
				for range 2 {
					l.feedback = backpressure.Feedback{Limited: true, Rate: 2 + 6*l.random.Float64()}
					f.runFleet(9 * event.Second)
					l.feedback = backpressure.Feedback{}
					f.runFleet(6 * event.Second) // two answers of the longest
					before := l.total
					f.runFleet(4 * event.Second)
					if n := l.total - before; float64(n) < 4*40 {
						t.Errorf("%d requests in 4 s, 6 s after the limit was over", n)
					}
				}
			})
		}
	}
}
