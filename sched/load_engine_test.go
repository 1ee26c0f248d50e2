// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// This file has the endpoints of the simulation in load_test.go.

// loadEngine simulates an endpoint that runs ten requests at once and queues the others.
type loadEngine struct {
	id           event.EndpointID
	slowness     float64
	turns        []slowTurn
	granted      int     // requests granted and not ended
	outstanding  float64 // mean work of the kinds of these requests, in seconds at speed 1
	running      int
	waiting      []func()
	prefillUntil event.Time // end of the last prefill
}

const (
	// loadCapacity is how many requests an endpoint runs at once.
	loadCapacity = 10
	// loadLatency is the one-way latency between an endpoint and the owner.
	loadLatency = 4 * event.Millisecond
)

func (r *simulation) granted(g event.Granted) {
	k := r.requests[g.ID]
	k.placed = true
	e, ok := r.engines[g.Endpoint]
	if !ok {
		e = &loadEngine{id: g.Endpoint, slowness: r.slowness(g.Endpoint), turns: r.load.turnsOf(g.Endpoint)}
		r.engines[g.Endpoint] = e
	}
	e.granted++
	e.outstanding += k.kind.meanWork()
	granted := r.now
	r.at(r.now.Add(r.load.oneWay()), func() {
		run := func() { r.run(e, k, g.ID, granted) }
		if e.running == r.slots() {
			e.waiting = append(e.waiting, run)
			return
		}
		run()
	})
}

// run starts a request on an engine.
func (r *simulation) run(e *loadEngine, k *loadRequest, id event.RequestID, granted event.Time) {
	e.running++
	if k.kind.callTime > 0 {
		r.runCall(e, k, id, granted)
		return
	}
	prefill := event.Duration(float64(k.ticket.PromptTokens) / 56600 * e.slowness * float64(event.Second))
	begin := e.after(max(r.now, e.prefillUntil), prefill+16*event.Millisecond)
	e.prefillUntil = begin
	gap := event.Duration(5.5 * e.slowness * float64(event.Millisecond))
	deadline := k.firstTry.Add(k.kind.deadline)
	end := e.after(begin, gap*event.Duration(k.length))
	gap = event.Duration(float64(gap) * e.factor(begin.Add(end.Sub(begin)/2)))
	if begin < deadline {
		slowdown := r.reported(e, begin)
		r.at(begin.Add(r.load.oneWay()), func() {
			r.step(&event.Begun{ID: id, Pool: pool, After: r.now.Sub(granted), Slowdown: slowdown})
		})
	}
	r.at(min(end, deadline), func() {
		e.free()
		r.at(r.now.Add(r.load.oneWay()), func() {
			e.granted--
			e.outstanding -= k.kind.meanWork()
			r.end(id, k, granted, begin, gap, end <= deadline)
		})
	})
}

// free ends a request and starts the next one queued at the engine.
func (e *loadEngine) free() {
	e.running--
	if len(e.waiting) > 0 {
		run := e.waiting[0]
		e.waiting = e.waiting[1:]
		run()
	}
}

func (r *simulation) end(id event.RequestID, k *loadRequest, granted, begin event.Time, gap event.Duration, completed bool) {
	f := &event.Finished{ID: id, Pool: pool, Tokens: k.length, FirstAfter: begin.Sub(granted), TokenGap: gap, Failed: !completed}
	r.finish(k, f, granted, begin, completed)
}

// finish ends a request with its Finished event. Its response began at a time.
func (r *simulation) finish(k *loadRequest, f *event.Finished, granted, begin event.Time, completed bool) {
	delete(r.requests, f.ID)
	r.result.runSeconds += r.now.Sub(granted).Seconds()
	if !completed {
		if f.TokenGap > 0 {
			f.Tokens = int(max(0, r.now.Sub(begin)) / f.TokenGap)
		}
		r.result.cutOff++
		r.result.wastedSeconds += r.now.Sub(granted).Seconds()
		r.step(f)
		return
	}
	value := k.kind.value
	r.result.placement.completed++
	r.result.placement.completion += r.now.Sub(granted).Seconds()
	late := begin.Sub(k.firstTry) > k.kind.target
	if late {
		r.result.placement.late++
		value = k.kind.lateValue
	}
	r.countServed(k, late)
	i := r.kindIndex(k.kind)
	r.result.earned[i] += value * k.weight
	if k.isLong {
		r.result.earnedLong[i] += value * k.weight
	}
	r.step(f)
}
