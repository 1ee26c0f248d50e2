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

// This file simulates an endpoint that sets and withdraws a rate limit while faults are injected into
// entries and control boxes. The tests check the requests that arrive at the endpoint.

// Bounds on the requests that a rate-limited endpoint receives: in any window of limitWindow at most
// limitFactor times what the limit allows, plus limitSlack.
const (
	limitWindow = 4 * event.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitPropagation is the time after the response with the limit from which an entry must respect it.
	limitPropagation = 500 * event.Millisecond
)

// limitedEndpoint is an endpoint that may send a rate limit in its responses.
type limitedEndpoint struct {
	random          *rand.Rand
	feedback        backpressure.Feedback
	limitedSince    event.Time // when it first sent a limit; 0 if it has not
	arrivals        []event.Time
	total           int // arrivals, including those from entries that have not received the limit yet
	limitReceivedAt map[*gateway.OwnerClient]event.Time
	responses       []limitedResponse
	blocked         int            // granted requests that the gate of their entry blocked
	maxResponseTime event.Duration // largest delay of a response's headers; 0 means 0.8 s
}

// limitedResponse is a response in transit to an entry.
type limitedResponse struct {
	at, sent   event.Time // sent: when the request was sent, by the entry's clock
	entry      *fleetEntry
	client     *gateway.OwnerClient
	id         event.RequestID
	isDegraded bool
	// feedbackAtStart is the feedback when the request arrived. Some responses carry it; others (nil) carry
	// that of the time they arrive.
	feedbackAtStart *backpressure.Feedback
}

// dispatch sends a granted request to the endpoint, unless the entry's gate blocks it.
func (l *limitedEndpoint) dispatch(f *fleetSim, e *fleetEntry, now event.Time, c *fleetCall, d gateway.Decision) {
	gate := e.client.Gate()
	result := message.Finish{Finished: event.Finished{ID: c.id, Pool: "s", Void: true, Unused: true}, Endpoint: "e", Unsent: true}
	if l.random.IntN(40) == 0 {
		e.client.Finish(now, result) // the caller cancelled the request
		return
	}
	if gate.Check(now, d.Endpoint, d.Permit) != backpressure.NotStopped {
		l.blocked++
		e.client.ObserveFeedback(now, gate.LastReport(now, d.Endpoint))
		e.client.Finish(now, result)
		return
	}
	l.total++
	if at, ok := l.limitReceivedAt[e.client]; l.limitedSince == 0 || ok && f.now.Sub(at) >= limitPropagation {
		l.arrivals = append(l.arrivals, f.now)
	}
	result.Void, result.Unused, result.Unsent = false, false, false
	longest := cmp.Or(l.maxResponseTime, 800*event.Millisecond)
	run := event.Duration(l.random.IntN(int(longest/event.Millisecond))) * event.Millisecond
	e.finishes = append(e.finishes, fleetFinish{at: f.now.Add(run), finish: result})
	response := limitedResponse{at: f.now.Add(run * event.Duration(l.random.IntN(100)) / 100), sent: now, entry: e, client: e.client, id: c.id, isDegraded: d.Degraded}
	if feedback := l.feedback; l.random.IntN(2) == 0 {
		response.feedbackAtStart = &feedback
	}
	l.responses = append(l.responses, response)
}

// deliverResponses delivers the responses that are due to an entry.
func (l *limitedEndpoint) deliverResponses(f *fleetSim, e *fleetEntry, now event.Time) {
	var pending []limitedResponse
	for _, response := range l.responses {
		if response.entry != e || f.now < response.at {
			pending = append(pending, response)
			continue
		}
		if response.client != e.client {
			continue // the entry was restarted
		}
		gate, feedback := e.client.Gate(), l.feedback
		if response.feedbackAtStart != nil {
			feedback = *response.feedbackAtStart
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
		gate.Observe(now, response.sent, "e", feedback, !response.isDegraded)
		e.client.ObserveFeedback(now, backpressure.Report{Endpoint: "e", Request: response.id, Word: feedback})
	}
	l.responses = pending
}

// maxSince returns the largest number of arrivals in a window, of those since a time, and the time of the
// window's last arrival.
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

// TestRateLimitHoldsUnderFaults: whatever faults owners, entries and connections have, an endpoint receives
// no more requests than its limit allows from entries that have received the limit, and more again once it
// is withdrawn.
func TestRateLimitHoldsUnderFaults(t *testing.T) {
	cases := []limitCase{
		{4, 106}, // guards against an owner that uses the shares of partitioned, degraded entries
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

// limitCase is a case of the simulation.
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
	maxInterval := []int{1800, 6000}[(c.seed-1)%2] // ms between faults: frequent faults, or time to use the whole limit
	for range 25 {
		f.runFleet(event.Duration(f.random.IntN(maxInterval)) * event.Millisecond / 10 * 10)
		f.injectFault()
		f.demand = 1000 * (20 + 4*rate) // 20 + 4*rate requests per second
	}
	most, at := l.maxSince(l.limitedSince.Add(settleTime))
	allowed := rate*limitWindow.Seconds()*limitFactor + limitSlack
	t.Logf("limit %.1f: %d in a window, allowed %.1f; %d in all, %d grants blocked", rate, most, allowed, l.total, l.blocked)
	if float64(most) > allowed {
		t.Errorf("%d requests in the %v up to %v, allowed %.1f", most, limitWindow, event.Duration(at), allowed)
	}
	l.feedback = backpressure.Feedback{}
	f.demand = 3 * fleetTeam.Rate
	f.runFleet(12 * event.Second) // faults end, and a response carries the withdrawal
	before := l.total
	f.runFleet(4 * event.Second)
	if n := l.total - before; float64(n) < 4*10 {
		t.Errorf("only %d requests in 4 s, 12 s after the limit was withdrawn: it still applies", n)
	}
}

// TestWithdrawnRateLimitEnds guards against a withdrawn limit that stays in force: slow responses with and
// without the limit arrive in any order, without faults.
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
					f.runFleet(6 * event.Second) // twice the slowest response
					before := l.total
					f.runFleet(4 * event.Second)
					if n := l.total - before; float64(n) < 4*40 {
						t.Errorf("only %d requests in 4 s, 6 s after the limit was withdrawn: it still applies", n)
					}
				}
			})
		}
	}
}
