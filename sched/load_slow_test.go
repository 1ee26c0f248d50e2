// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"lynxramp.org/event"
)

// This file extends the simulation of load_test.go: endpoints whose speed is reduced by turns, their reports of it,
// and plain calls.

// loadSwingPeriod is the period of an oscillating load.
const loadSwingPeriod = 17 * event.Second

// swingAt returns the factor on the load at a time.
func (l *load) swingAt(at event.Time) float64 {
	return 1 + l.swing*math.Sin(2*math.Pi*event.Duration(at).Seconds()/loadSwingPeriod.Seconds())
}

// slowTurns slows each endpoint by a factor, for a time, so that a share of them is slowed at any moment.
type slowTurns struct {
	share  float64
	factor float64
	length event.Duration
}

// slowTurn is a time in which an endpoint takes factor times as long.
type slowTurn struct {
	from, to event.Time
	factor   float64
}

// turnsOf returns the turns of an endpoint. They depend on the seed and the endpoint only, so that different
// schedulers are compared under the same ones.
func (l *load) turnsOf(id event.EndpointID) []slowTurn {
	if l.turns.share == 0 {
		return nil
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	random := rand.New(rand.NewPCG(l.seed, h.Sum64()))
	meanPause := l.turns.length.Seconds() * (1 - l.turns.share) / l.turns.share
	var list []slowTurn
	at := event.Time(0)
	for at < l.length.Add(20*event.Second) {
		at = at.Add(event.Duration(random.ExpFloat64() * meanPause * float64(event.Second)))
		list = append(list, slowTurn{from: at, to: at.Add(l.turns.length), factor: l.turns.factor})
		at = at.Add(l.turns.length)
	}
	return list
}

// factor returns how many times as long work takes at a time.
func (e *loadEngine) factor(at event.Time) float64 {
	for _, t := range e.turns {
		if at >= t.from && at < t.to {
			return t.factor
		}
	}
	return 1
}

// after returns when work is done that begins at a time and takes d while the endpoint is not slowed.
func (e *loadEngine) after(at event.Time, d event.Duration) event.Time {
	for _, t := range e.turns {
		if at >= t.to {
			continue
		}
		if at < t.from {
			if at.Add(d) <= t.from {
				break
			}
			d -= t.from.Sub(at)
			at = t.from
		}
		slowed := event.Duration(float64(d) * t.factor)
		if at.Add(slowed) <= t.to {
			return at.Add(slowed)
		}
		d -= event.Duration(float64(t.to.Sub(at)) / t.factor)
		at = t.to
	}
	return at.Add(d)
}

// slowdownReport returns the slowdown that an endpoint reports at a time when its work takes factor times as long;
// 0 for no report.
type slowdownReport func(id event.EndpointID, at event.Time, factor float64) float64

// honest reports the slowdown as it is.
func honest(_ event.EndpointID, _ event.Time, factor float64) float64 { return factor }

func (r *simulation) reported(e *loadEngine, at event.Time) float64 {
	if r.load.report == nil {
		return 0
	}
	return r.load.report(e.id, at, e.factor(at))
}

// newCall returns a request of a plain kind.
func (r *simulation) newCall(kind *loadKind) *loadRequest {
	k := &loadRequest{kind: kind, firstTry: r.now, weight: 1}
	k.ticket = event.Ticket{Team: fmt.Sprintf("t%02d", r.random.IntN(16)), Rank: kind.rank, Service: pool, Pool: pool}
	r.result.possible[r.kindIndex(kind)] += kind.value
	return k
}

// runCall runs a plain call on an engine. Its response and report arrive when it is done.
func (r *simulation) runCall(e *loadEngine, k *loadRequest, id event.RequestID, granted event.Time) {
	deadline := k.firstTry.Add(k.kind.deadline)
	end := e.after(r.now, event.Duration(float64(k.kind.callTime)*e.slowness))
	r.at(min(end, deadline), func() {
		e.free()
		slowdown := r.reported(e, r.now)
		r.at(r.now.Add(r.load.oneWay()), func() {
			e.granted--
			e.outstanding -= k.kind.meanWork()
			// The entry measures from when it sends the call.
			took := end.Sub(granted.Add(r.load.oneWay()))
			f := &event.Finished{ID: id, Pool: pool, FirstAfter: took, Failed: end > deadline, Slowdown: slowdown}
			r.finish(k, f, granted, end, end <= deadline)
		})
	})
}

// placementResult has the totals of where requests were placed.
type placementResult struct {
	samples          int
	busiest          float64 // sum over samples of the ratio of the busiest endpoint to the mean
	refusedWhileFree int
	grants           int
	slowGrants       int // to an endpoint that is slowed
	late             int // responses that missed their target
	completed        int
	completion       float64 // sum over completed requests, in seconds from the grant
}

func (p *placementResult) add(o *placementResult) {
	p.samples += o.samples
	p.busiest += o.busiest
	p.refusedWhileFree += o.refusedWhileFree
	p.grants += o.grants
	p.slowGrants += o.slowGrants
	p.late += o.late
	p.completed += o.completed
	p.completion += o.completion
}

// busiestRatio returns the mean ratio of the busiest endpoint to the mean endpoint, in the expected time until they
// complete what they were granted.
func (p *placementResult) busiestRatio() float64 { return p.busiest / float64(max(1, p.samples)) }

// slowShare returns the share of the grants at endpoints that were slowed.
func (p *placementResult) slowShare() float64 {
	return float64(p.slowGrants) / float64(max(1, p.grants))
}

func (p *placementResult) String() string {
	return fmt.Sprintf("busiest endpoint %.2f of the mean, %.1f %% granted to slowed endpoints, %d refused while a slot was free, %.1f %% late, mean completion %.1f ms",
		p.busiestRatio(), 100*p.slowShare(), p.refusedWhileFree,
		100*float64(p.late)/float64(max(1, p.completed)), 1000*p.completion/float64(max(1, p.completed)))
}

// meanWork returns the mean work of the kind, in seconds at speed 1.
func (k *loadKind) meanWork() float64 {
	if k.callTime > 0 {
		return k.callTime.Seconds()
	}
	return k.prompt/56600 + k.output*0.0055
}

// sampleLoad adds a sample of the load of each endpoint: the expected time until it completes what it was granted.
func (r *simulation) sampleLoad() {
	if r.now >= r.load.length || r.now < event.Time(event.Second) {
		return
	}
	busiest, sum := 0.0, 0.0
	for i := range r.load.endpoints {
		e, ok := r.engines[loadEndpoint(i)]
		if !ok {
			continue
		}
		left := e.outstanding * e.slowness * e.factor(r.now)
		busiest = max(busiest, left)
		sum += left
	}
	if sum < 1e-9 {
		return
	}
	r.result.placement.samples++
	r.result.placement.busiest += busiest * float64(len(r.engines)) / sum
}

// observeDecisions counts grants and passes decisions on.
func (r *simulation) observeDecisions(out *event.Effects) {
	for _, g := range out.Grants {
		r.result.placement.grants++
		if e, ok := r.engines[g.Endpoint]; ok && e.factor(r.now) > 1 {
			r.result.placement.slowGrants++
		}
		if r.decisions != nil {
			r.decisions(r.now, g, nil)
		}
	}
	for i := range out.Refusals {
		if r.decisions != nil {
			r.decisions(r.now, event.Granted{}, &out.Refusals[i])
		}
	}
}

// countRefusal counts a refusal while an endpoint has a free slot.
func (r *simulation) countRefusal() {
	for i := range r.s.views {
		if r.s.views[i].free > 0 {
			r.result.placement.refusedWhileFree++
			return
		}
	}
}

// plainKinds are the plain kinds of a service of three endpoints with 6 slots each; rates are for 54 endpoints.
var plainKinds = []loadKind{
	{rank: -2, perSecond: 111 * 18, target: 300 * event.Millisecond, deadline: 3 * event.Second, value: 0.3, lateValue: 0.09, callTime: 60 * event.Millisecond},
	{rank: -2, perSecond: 44 * 18, target: 300 * event.Millisecond, deadline: 3 * event.Second, value: 0.3, lateValue: 0.09, callTime: 60 * event.Millisecond},
}

// plainLoad returns the load of a plain service whose endpoints are slowed by turns.
func plainLoad(seed uint64) load {
	return load{
		seed: seed, endpoints: 3, slots: 6, baseLoad: 1, burst: 1.4, length: event.Time(34 * event.Second), swing: 0.55,
		kinds: plainKinds, slowness: []float64{1}, turns: commonTurns, report: honest,
	}
}

// commonTurns slow 15% of the endpoints at any moment, each for some 600 ms.
var commonTurns = slowTurns{share: 0.15, factor: 2.5, length: 600 * event.Millisecond}

// streamKinds are the streams of a service of 57 endpoints with 7 slots each; rates are for 54 endpoints.
var streamKinds = []loadKind{
	{rank: 0, perSecond: 127 * 54.0 / 57, prompt: 2890, output: 50, maxOutput: 500, target: 600 * event.Millisecond, deadline: 6 * event.Second, value: 6.5, lateValue: 1.9, promptSigma: 0.5, outputSigma: 0.6},
	{rank: -1, perSecond: 156 * 54.0 / 57, prompt: 1800, output: 25, maxOutput: 250, target: 500 * event.Millisecond, deadline: 4 * event.Second, value: 2.1, lateValue: 0.62, promptSigma: 0.5, outputSigma: 0.6},
	{rank: -2, perSecond: 159 * 54.0 / 57, prompt: 543, output: 280, maxOutput: 2800, target: 400 * event.Millisecond, deadline: 15 * event.Second, value: 0.38, lateValue: 0.11, promptSigma: 0.5, outputSigma: 1},
}

// streamLoad returns the load of a model service whose endpoints are slowed by turns.
func streamLoad(seed uint64) load {
	return load{
		seed: seed, endpoints: 57, slots: 7, baseLoad: 1, burst: 1.4, length: event.Time(34 * event.Second), swing: 0.55, guessSigma: 0.5,
		kinds: streamKinds, slowness: []float64{0.6, 0.8, 1, 1.3, 1.7}, turns: commonTurns, report: honest,
	}
}
