// SPDX-License-Identifier: MIT

package sched

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"lynxramp.org/event"
)

// This file replays the worst load in simulated time: callers of three kinds before endpoints
// of three speeds, a burst of twice the usual for some seconds while a quarter of the endpoints
// takes no new work and one team sends many times its usual. Lengths of answers differ by a hundred
// times, callers guess them, and who is refused comes back once.

// loadKind is a kind of request.
type loadKind struct {
	rank                       int
	perSecond                  float64 // usual, for each 54 endpoints
	prompt, output             float64 // mean tokens
	most                       int     // output tokens
	target, deadline           event.Span
	worth, lateWorth           float64
	spreadPrompt, spreadOutput float64 // deviation of the logarithm
}

var loadKinds = [...]loadKind{
	{rank: 0, perSecond: 84, prompt: 6670, output: 384, most: 3840, target: 800 * event.Millisecond, deadline: 15 * event.Second, worth: 9, lateWorth: 2.7, spreadPrompt: 1, spreadOutput: 1.3},
	{rank: -1, perSecond: 215, prompt: 690, output: 294, most: 2940, target: 800 * event.Millisecond, deadline: 15 * event.Second, worth: 1.1, lateWorth: 0.33, spreadPrompt: 0.8, spreadOutput: 1.3},
	{rank: -2, perSecond: 123, prompt: 1860, output: 24, most: 228, target: 1500 * event.Millisecond, deadline: 3 * event.Second, worth: 0.3, lateWorth: 0.09, spreadPrompt: 0.9, spreadOutput: 1.3},
}

// load is what is replayed.
type load struct {
	seed      uint64
	endpoints int
	usual     float64 // times what the places just serve
	burst     float64 // times the usual, from 2 to 7 s
	length    event.Time
	guess     float64 // deviation of the logarithm of guess over length
	baseline  bool    // placed where the fewest run, in the order of arrival
	// limited is how many endpoints name a limit of limit requests a second, or are away all the time if limit is
	// below 0; no others are lost then.
	limited int
	limit   float64
}

// worstLoad is the load at its worst.
func worstLoad(seed uint64) load {
	return load{seed: seed, endpoints: 54, usual: 0.85, burst: 2, length: event.Time(14 * event.Second), guess: 0.5}
}

// loadRequest is one caller's request.
type loadRequest struct {
	kind   *loadKind
	ticket event.Ticket
	first  event.Time // its caller's first try
	length int
	share  float64 // of its kind's worth, by its size
	long   bool    // of the tenth of its kind with the most tokens out
	tries  int
	placed bool
}

// loadResult is what came of a replay.
type loadResult struct {
	owed, earned [len(loadKinds)]float64
	owedLong     [len(loadKinds)]float64 // of that, what the longest tenth is owed
	earnedLong   [len(loadKinds)]float64
	held         int // left with their deadline over, neither placed nor told
	refused      int
	again        int     // refused at their second try
	againWorth   float64 // of these
	cut          int     // answers that their deadline cut
	useless      float64 // place-seconds of these
	placeSeconds float64
}

// share returns the part of what is owed that was earned, of all kinds.
func (r *loadResult) share() float64 {
	owed, earned := 0.0, 0.0
	for i := range r.owed {
		owed += r.owed[i]
		earned += r.earned[i]
	}
	return earned / owed
}

func (r *loadResult) add(o *loadResult) {
	for i := range r.owed {
		r.owed[i] += o.owed[i]
		r.earned[i] += o.earned[i]
		r.owedLong[i] += o.owedLong[i]
		r.earnedLong[i] += o.earnedLong[i]
	}
	r.held += o.held
	r.refused += o.refused
	r.again += o.again
	r.againWorth += o.againWorth
	r.cut += o.cut
	r.useless += o.useless
	r.placeSeconds += o.placeSeconds
}

// worst returns the smallest part of what a kind of request, or its longest answers, is owed
// that was earned.
func (r *loadResult) worst() float64 {
	worst := 1.0
	for i := range r.owed {
		worst = min(worst, r.earned[i]/r.owed[i], r.earnedLong[i]/r.owedLong[i])
	}
	return worst
}

func (r *loadResult) String() string {
	owed := 0.0
	for i := range r.owed {
		owed += r.owed[i]
	}
	text := fmt.Sprintf("worth %.3f, worst %.3f, again %.3f, of kinds", r.share(), r.worst(), r.againWorth/owed)
	for i := range r.owed {
		text += fmt.Sprintf(" %.3f (longest %.3f)", r.earned[i]/r.owed[i], r.earnedLong[i]/r.owedLong[i])
	}
	return text + fmt.Sprintf(", held %d, refused %d, again %d, cut %d, useless place-seconds %.1f %%",
		r.held, r.refused, r.again, r.cut, 100*r.useless/r.placeSeconds)
}

// replay plays a load on a scheduler.
type replay struct {
	load     load
	random   *rand.Rand
	s        *State
	now      event.Time
	todo     todoHeap
	order    int
	requests map[event.RequestID]*loadRequest
	engines  map[event.EndpointID]*loadEngine
	result   loadResult
}

type todo struct {
	at    event.Time
	order int
	do    func()
}

type todoHeap []todo

func (h todoHeap) Len() int { return len(h) }
func (h todoHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h todoHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *todoHeap) Push(x any)   { *h = append(*h, x.(todo)) }
func (h *todoHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (r *replay) at(t event.Time, do func()) {
	r.order++
	heap.Push(&r.todo, todo{at: t, order: r.order, do: do})
}

func (r *replay) step(e event.Event) {
	var out event.Effects
	r.s.Step(r.now, e, &out)
	for _, g := range out.Grants {
		r.granted(g)
	}
	for _, f := range out.Refusals {
		r.refused(f)
	}
}

// playLoad returns what came of a load.
func playLoad(l load) *loadResult {
	r := &replay{
		load: l, random: rand.New(rand.NewPCG(l.seed, 7)), requests: make(map[event.RequestID]*loadRequest),
		engines: make(map[event.EndpointID]*loadEngine),
		s: New(0, event.Pool{Name: pool, MaxWaiting: 4000, Discovered: true, Profile: event.Profile{
			PrefillRate: 40000, TokenGap: 5 * event.Millisecond, CallTime: 30 * event.Millisecond,
		}, LeastOutstanding: l.baseline}, l.seed),
	}
	for i := range l.endpoints {
		r.seeEndpoint(i, false)
	}
	if l.limited == 0 {
		r.at(event.Time(3*event.Second), func() { r.lose(true) })
		r.at(event.Time(6*event.Second), func() { r.lose(false) })
	}
	for i := range loadKinds {
		r.arrive(&loadKinds[i], 0)
	}
	r.tick()
	for len(r.todo) > 0 {
		next := heap.Pop(&r.todo).(todo)
		r.now = next.at
		next.do()
	}
	return &r.result
}

// loadSpeeds are how much slower than the fastest the thirds of the endpoints are.
var loadSpeeds = [...]float64{0.55, 1, 2.8}

func loadEndpoint(i int) event.EndpointID { return event.EndpointID(fmt.Sprintf("e%03d", i)) }

func (r *replay) slowness(id event.EndpointID) float64 {
	n := 0
	_, _ = fmt.Sscanf(string(id), "e%d", &n)
	return loadSpeeds[n%len(loadSpeeds)]
}

func (r *replay) seeEndpoint(i int, down bool) {
	r.step(&event.EndpointSeen{
		Endpoint: event.Endpoint{ID: loadEndpoint(i), Concurrency: 10, Speed: 1}, Address: "10.0.0.1:80", Down: down || i < r.load.limited && r.load.limit < 0,
		Limited: i < r.load.limited && r.load.limit > 0, Limit: r.load.limit,
	})
}

// lose has a quarter of the endpoints fall silent, or come back. What runs there goes on.
func (r *replay) lose(down bool) {
	for i := range r.load.endpoints {
		if i%4 == 1 {
			r.seeEndpoint(i, down)
		}
	}
}

func (r *replay) tick() {
	r.step(&event.Tick{})
	if r.now < r.load.length.Add(16*event.Second) {
		r.at(r.now.Add(50*event.Millisecond), r.tick)
	}
}

// arrive has a caller of a kind come, and the next one after it.
func (r *replay) arrive(kind *loadKind, at event.Time) {
	rate := r.load.usual * kind.perSecond * float64(r.load.endpoints) / 54
	if at >= event.Time(2*event.Second) && at < event.Time(7*event.Second) {
		rate *= r.load.burst
	}
	at = at.Add(event.Span(r.random.ExpFloat64() / rate * float64(event.Second)))
	if at >= r.load.length {
		return
	}
	r.at(at, func() {
		r.submit(r.newRequest(kind))
		r.arrive(kind, r.now)
	})
}

// logNormal returns a number of a mean, whose logarithm has a deviation.
func (r *replay) logNormal(mean, deviation float64) float64 {
	return mean * math.Exp(r.random.NormFloat64()*deviation-deviation*deviation/2)
}

func (r *replay) newRequest(kind *loadKind) *loadRequest {
	prompt := max(60, int(r.logNormal(kind.prompt, kind.spreadPrompt)))
	length := min(kind.most, max(6, int(r.logNormal(kind.output, kind.spreadOutput))))
	guess := min(kind.most, max(1, int(r.logNormal(float64(length), r.load.guess)*math.Exp(r.load.guess*r.load.guess/2))))
	team := r.random.IntN(16)
	if r.now >= event.Time(4*event.Second) && r.now < event.Time(9*event.Second) && r.random.IntN(4) == 0 {
		team = 0
	}
	k := &loadRequest{kind: kind, first: r.now, length: length}
	size := float64(prompt) + 10*float64(length)
	k.share = min(4, 0.3+0.7*size/(kind.prompt+10*kind.output))
	k.long = float64(length) > kind.output*2.4
	k.ticket = event.Ticket{
		Team: fmt.Sprintf("t%02d", team), Rank: kind.rank, Service: pool, Pool: pool, PromptTokens: prompt, OutputTokens: guess,
	}
	i := r.index(kind)
	r.result.owed[i] += kind.worth * k.share
	if k.long {
		r.result.owedLong[i] += kind.worth * k.share
	}
	return k
}

func (r *replay) index(kind *loadKind) int {
	for i := range loadKinds {
		if &loadKinds[i] == kind {
			return i
		}
	}
	panic("no such kind")
}

// submit sends a caller's try.
func (r *replay) submit(k *loadRequest) {
	k.tries++
	r.order++
	k.ticket.ID = event.RequestID(fmt.Sprintf("r%d", r.order))
	k.ticket.Deadline = k.first.Add(k.kind.deadline).Sub(r.now)
	k.ticket.Target = k.kind.target
	k.ticket.Returned = k.tries > 1
	k.ticket.Patience = min(k.ticket.Deadline/2, k.kind.target*9/10)
	r.requests[k.ticket.ID] = k
	id := k.ticket.ID
	r.at(k.first.Add(k.kind.deadline), func() { r.leave(id) })
	r.step(&event.Submitted{Entry: "entry", Ticket: k.ticket})
}

// leave has a caller go whose time is over.
func (r *replay) leave(id event.RequestID) {
	if k, ok := r.requests[id]; ok && !k.placed {
		delete(r.requests, id)
		r.result.held++
		r.step(&event.Withdrawn{Entry: "entry", ID: id, Pool: pool})
	}
}

// refused has a caller come back once, when it was told to, within a third of its time.
func (r *replay) refused(f event.Refused) {
	k := r.requests[f.ID]
	delete(r.requests, f.ID)
	if f.Reason == event.ReasonDeadline {
		r.result.held++
		return
	}
	r.result.refused++
	if k.tries > 1 {
		r.result.again++
		r.result.againWorth += k.kind.worth * k.share
		return
	}
	left := k.first.Add(k.kind.deadline).Sub(r.now)
	r.at(r.now.Add(min(f.RetryAfter, left/3)), func() { r.submit(k) })
}

// loadEngine is an endpoint of ten places; what comes beyond them waits there.
type loadEngine struct {
	slowness float64
	running  int
	waiting  []func()
	reading  event.Time // until when prompts are read
}

const (
	loadPlaces = 10
	// loadWay is how long a word takes from an endpoint to the owner, by its entry, or back.
	loadWay = 4 * event.Millisecond
)

func (r *replay) granted(g event.Granted) {
	k := r.requests[g.ID]
	k.placed = true
	e, ok := r.engines[g.Endpoint]
	if !ok {
		e = &loadEngine{slowness: r.slowness(g.Endpoint)}
		r.engines[g.Endpoint] = e
	}
	granted := r.now
	r.at(r.now.Add(loadWay), func() {
		run := func() { r.run(e, k, g.ID, granted) }
		if e.running == loadPlaces {
			e.waiting = append(e.waiting, run)
			return
		}
		run()
	})
}

// run has an engine begin with a request.
func (r *replay) run(e *loadEngine, k *loadRequest, id event.RequestID, granted event.Time) {
	e.running++
	read := event.Span(float64(k.ticket.PromptTokens) / 56600 * e.slowness * float64(event.Second))
	begin := max(r.now, e.reading).Add(read + 16*event.Millisecond)
	e.reading = begin
	gap := event.Span(5.5 * e.slowness * float64(event.Millisecond))
	deadline := k.first.Add(k.kind.deadline)
	end := begin.Add(gap * event.Span(k.length))
	if begin < deadline {
		r.at(begin.Add(loadWay), func() { r.step(&event.Begun{ID: id, Pool: pool, After: r.now.Sub(granted)}) })
	}
	r.at(min(end, deadline), func() {
		e.free()
		r.at(r.now.Add(loadWay), func() { r.end(id, k, granted, begin, gap, end <= deadline) })
	})
}

// free gives a place to who waits at the engine.
func (e *loadEngine) free() {
	e.running--
	if len(e.waiting) > 0 {
		run := e.waiting[0]
		e.waiting = e.waiting[1:]
		run()
	}
}

func (r *replay) end(id event.RequestID, k *loadRequest, granted, begin event.Time, gap event.Span, whole bool) {
	delete(r.requests, id)
	f := &event.Finished{ID: id, Pool: pool, Tokens: k.length, FirstAfter: begin.Sub(granted), TokenGap: gap, Failed: !whole}
	r.result.placeSeconds += r.now.Sub(granted).Seconds()
	if !whole {
		f.Tokens = int(max(0, r.now.Sub(begin)) / gap)
		r.result.cut++
		r.result.useless += r.now.Sub(granted).Seconds()
		r.step(f)
		return
	}
	worth := k.kind.worth
	if begin.Sub(k.first) > k.kind.target {
		worth = k.kind.lateWorth
	}
	i := r.index(k.kind)
	r.result.earned[i] += worth * k.share
	if k.long {
		r.result.earnedLong[i] += worth * k.share
	}
	r.step(f)
}

// playSeeds plays the worst load with several seeds.
func playSeeds(seeds int, change func(*load)) *loadResult {
	sum := &loadResult{}
	for seed := range seeds {
		l := worstLoad(uint64(seed))
		if change != nil {
			change(&l)
		}
		sum.add(playLoad(l))
	}
	return sum
}

// TestNobodyIsHeldToTheEnd: under the worst load who gets no place is told so, and told in
// time to come back.
func TestNobodyIsHeldToTheEnd(t *testing.T) {
	r := playSeeds(4, nil)
	t.Log(r)
	if r.held > 0 {
		t.Errorf("%d callers were held until their time was over", r.held)
	}
}

// TestWaysUnderTheWorstLoad compares, on the same seeds, the baseline that places each request
// where the fewest run, the policy, and the policy with callers that know the lengths of their
// answers or nothing of them: what more could be had by knowing, and what is lost where guesses
// mislead.
func TestWaysUnderTheWorstLoad(t *testing.T) {
	const seeds = 6
	baseline := playSeeds(seeds, func(l *load) { l.baseline = true })
	policy := playSeeds(seeds, nil)
	known := playSeeds(seeds, func(l *load) { l.guess = 0.02 })
	misled := playSeeds(seeds, func(l *load) { l.guess = 2 })
	t.Log("least outstanding:", baseline)
	t.Log("policy:", policy)
	t.Log("lengths known:", known)
	t.Log("guesses mislead:", misled)
	if policy.share() < baseline.share()+0.05 {
		t.Errorf("worth %.3f, of the baseline %.3f", policy.share(), baseline.share())
	}
	if known.share() > policy.share()+0.03 {
		t.Errorf("worth %.3f with lengths known, %.3f with guesses: they are not used well", known.share(), policy.share())
	}
	if misled.share() < policy.share()-0.03 {
		t.Errorf("worth %.3f with guesses that mislead, %.3f with usual ones", misled.share(), policy.share())
	}
}
