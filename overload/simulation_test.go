// SPDX-License-Identifier: MIT

package overload

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lynxramp.org/event"
)

// simulatedBox is a box with a link and a share of a processor, which packets and requests wait for in order of arrival.
type simulatedBox struct {
	width float64 // of the link, bytes a second
	share float64 // of a processor
	load  simulatedLoad

	random    *rand.Rand
	limiter   *Limiter // nil without a limit
	window    window
	isReached bool

	now            event.Time
	linkQueue      float64 // bytes
	processorQueue float64 // seconds of a processor
	handshakes     []handshake
	requests       []handshake  // whose first packet was answered
	ends           []event.Time // of the responses under way
	begun, ended   int          // requests since the last sample
	nextSample     event.Time
	waiting        *Sample // reaches the limiter with the next one

	accepted, refused, lost, inTime int
	lastAccept                      event.Time
	longestRest                     event.Duration // without an accepted connection
}

// handshake is a caller's attempt to connect.
type handshake struct {
	began    event.Time
	answered event.Time // its first packet
	next     event.Time // when its next packet is received
}

// simulatedLoad is what requests need of a box.
type simulatedLoad struct {
	bytes, work           float64 // at the beginning: bytes, seconds of a processor
	length                event.Duration
	streamBytes, streamed float64 // bytes a second and seconds of a processor a second while the response lasts
	roundTrip             event.Duration
}

const (
	simulatedStep     = 5 * event.Millisecond
	simulatedDeadline = event.Second
	packetBytes       = 60 // of a packet without data
	// passes is how often a request waits for the link and the processor until its response begins.
	passes = 3
)

// capacity returns how many requests a second a box can serve.
func (b *simulatedBox) capacity() float64 {
	l := b.load
	return min(b.width/(l.bytes+l.streamBytes*l.length.Seconds()), b.share/(l.work+l.streamed*l.length.Seconds()))
}

// refusal is how a box refuses connections.
type refusal uint8

const (
	refusesNothing refusal = iota
	losesHandshakes
	completesHandshakes
)

// refusals are those of a box with a limit.
var refusals = map[string]refusal{"handshakes under way are lost": losesHandshakes, "handshakes under way are completed": completesHandshakes}

func newSimulatedBox(seed uint64, how refusal) *simulatedBox {
	r := rand.New(rand.NewPCG(seed, 1))
	between := func(from, to float64) float64 { return from * math.Pow(to/from, r.Float64()) }
	b := &simulatedBox{random: r, window: newWindow(time.Unix(0, 0), how == losesHandshakes), nextSample: event.Time(100 * event.Millisecond)}
	b.load = simulatedLoad{bytes: between(1e3, 3e4), work: between(1e-4, 2e-3), roundTrip: event.Duration(between(1, 30) * float64(event.Millisecond))}
	if r.IntN(2) == 0 {
		b.load.length = event.Duration(between(0.2, 5) * float64(event.Second))
		b.load.streamBytes, b.load.streamed = between(500, 10e3), between(1e-4, 5e-3)
	}
	// The narrower of the two allows 50 to 1,000 requests a second.
	rate := between(50, 1000)
	l := b.load
	b.width = rate * (l.bytes + l.streamBytes*l.length.Seconds())
	b.share = rate * (l.work + l.streamed*l.length.Seconds())
	if r.IntN(2) == 0 {
		b.width *= between(2, 10)
	} else {
		b.share *= between(2, 10)
	}
	if how != refusesNothing {
		b.limiter = NewLimiter(Config{})
	}
	return b
}

func (b *simulatedBox) clock() time.Time { return time.Unix(0, int64(b.now)) }

func (b *simulatedBox) linkDelay() event.Duration {
	return event.Duration(b.linkQueue / b.width * float64(event.Second))
}
func (b *simulatedBox) runDelay() event.Duration {
	return event.Duration(b.processorQueue / b.share * float64(event.Second))
}

// run offers perSecond connections a second for some time.
func (b *simulatedBox) run(length event.Duration, perSecond float64) {
	for end := b.now.Add(length); b.now < end; b.now = b.now.Add(simulatedStep) {
		b.drain()
		b.sample()
		b.isReached = openOrClose(&b.window, b.clock()) || b.isReached
		for range b.poisson(perSecond * simulatedStep.Seconds()) {
			b.linkQueue += packetBytes
			b.handshakes = append(b.handshakes, handshake{began: b.now, next: b.now.Add(b.linkDelay())})
		}
		b.receive()
		b.longestRest = max(b.longestRest, b.now.Sub(b.lastAccept))
	}
}

func (b *simulatedBox) poisson(mean float64) (n int) {
	for limit, p := math.Exp(-mean), b.random.Float64(); p > limit; n++ {
		p *= b.random.Float64()
	}
	return n
}

// drain lets a step's time pass.
func (b *simulatedBox) drain() {
	dt := simulatedStep.Seconds()
	for len(b.ends) > 0 && b.ends[0] <= b.now {
		b.ends = b.ends[1:]
		b.ended++
	}
	n := float64(len(b.ends))
	b.linkQueue = max(0, b.linkQueue+(n*b.load.streamBytes-b.width)*dt)
	b.processorQueue = max(0, b.processorQueue+(n*b.load.streamed-b.share)*dt)
}

// sample measures the box. The limiter gets each sample with the next one.
func (b *simulatedBox) sample() {
	if b.limiter == nil || b.now < b.nextSample {
		return
	}
	link := b.linkDelay() + b.load.roundTrip
	s := &Sample{
		RunQueue: b.runDelay(), Wait: b.runDelay(), Path: link + event.Duration(b.random.IntN(10))*event.Millisecond, OwnerRoundTrip: link, HasOwner: true,
		Begun: b.begun, Ended: b.ended, Responses: len(b.ends), IsReached: b.isReached || !b.window.isOpen,
	}
	b.window.observeRate(float64(b.begun) / (100 * event.Millisecond).Seconds())
	b.begun, b.ended, b.isReached = 0, 0, false
	interval := 100 * event.Millisecond
	if b.waiting != nil {
		limit := b.limiter.Step(b.now, *b.waiting)
		b.window.setLimit(b.clock(), limit.PerSecond, limit.IsPaused)
		if limit.IsReached {
			interval /= 2
		}
	}
	b.waiting = s
	b.nextSample = b.now.Add(interval)
}

// openOrClose opens a box for connections and closes it, as a Listener does. It reports whether it closed it.
func openOrClose(w *window, now time.Time) (isClosed bool) {
	if !w.isOpen && w.untilBegin(now) == 0 {
		w.begin(now)
	}
	if !w.mustEnd(now) {
		return false
	}
	w.end(now)
	return true
}

// receive takes the packets that the link has brought.
func (b *simulatedBox) receive() {
	for len(b.requests) > 0 && b.requests[0].next <= b.now {
		b.accept(b.requests[0])
		b.requests = b.requests[1:]
	}
	for len(b.handshakes) > 0 && b.handshakes[0].next <= b.now {
		h := b.handshakes[0]
		b.handshakes = b.handshakes[1:]
		if !b.window.isOpen {
			b.refused++
			continue
		}
		b.linkQueue += b.load.bytes // sent with the end of the handshake, used or not
		b.requests = append(b.requests, handshake{began: h.began, answered: b.now, next: b.now.Add(b.load.roundTrip + b.linkDelay())})
	}
}

// accept is the end of a handshake.
func (b *simulatedBox) accept(h handshake) {
	if !b.window.isOpen && (b.window.losesHandshakes || b.window.mustDrop(b.clock())) {
		b.lost++
		return
	}
	b.accepted++
	b.begun++
	b.lastAccept = b.now
	b.window.accept(b.clock(), time.Duration(b.now.Sub(h.answered)))
	b.processorQueue += b.load.work
	wait := passes * (b.linkDelay() + b.runDelay())
	if b.now.Sub(h.began)+wait < simulatedDeadline {
		b.inTime++
	}
	end := b.now.Add(wait + b.load.length)
	i, _ := slices.BinarySearch(b.ends, end)
	b.ends = slices.Insert(b.ends, i, end)
}

// simulatedBoxes is the number of boxes of each test.
const simulatedBoxes = 60

// overloadResult is what callers got of a box under a constant load.
type overloadResult struct {
	goodput float64 // requests in time, as a part of what the box can serve
	served  float64 // in time, of the requests that were read
	box     *simulatedBox
}

// overload offers a box a multiple of what it can serve, after a calm time.
func overload(seed uint64, factor float64, how refusal) overloadResult {
	const calm, contact, length = 5 * event.Second, 3 * event.Second, 20 * event.Second
	b := newSimulatedBox(seed, how)
	b.run(calm, 0.4*b.capacity())
	b.run(contact, factor*b.capacity())
	accepted, inTime := b.accepted, b.inTime
	b.run(length, factor*b.capacity())
	inTime = b.inTime - inTime
	return overloadResult{
		goodput: float64(inTime) / length.Seconds() / b.capacity(),
		served:  float64(inTime) / float64(max(1, b.accepted-accepted)),
		box:     b,
	}
}

// meanGoodput returns the mean goodput of all boxes under a multiple of what they can serve.
func meanGoodput(t *testing.T, factor float64, how refusal) float64 {
	t.Helper()
	sum := 0.0
	for seed := range uint64(simulatedBoxes) {
		sum += overload(seed, factor, how).goodput
	}
	t.Logf("load %v of the capacity: mean goodput %.2f", factor, sum/simulatedBoxes)
	return sum / simulatedBoxes
}

// TestGoodputCollapse: goodput fell to almost nothing when more requests came than a box could serve. Half of what it can
// serve must remain.
func TestGoodputCollapse(t *testing.T) {
	if without := meanGoodput(t, 2, refusesNothing); without > 0.1 {
		t.Errorf("without a limit the goodput is %.2f: the simulation does not show the fault", without)
	}
	for name, how := range refusals {
		for _, factor := range []float64{1.3, 2} {
			if goodput := meanGoodput(t, factor, how); goodput < 0.5 {
				t.Errorf("%s: %.2f of the capacity are served in time under %v times the capacity", name, goodput, factor)
			}
		}
	}
}

// TestGoodputStaysFlat: goodput fell the further, the more callers came.
func TestGoodputStaysFlat(t *testing.T) { checkGoodput(t, completesHandshakes) }

// TestGoodputStaysFlatWithLostHandshakes: the same where the kernel loses handshakes that are under way when the socket is
// closed.
func TestGoodputStaysFlatWithLostHandshakes(t *testing.T) { checkGoodput(t, losesHandshakes) }

// checkGoodput checks that the goodput falls by a quarter at most when more comes than the boxes can serve.
func checkGoodput(t *testing.T, how refusal) {
	t.Helper()
	full := meanGoodput(t, 0.9, how)
	for _, factor := range []float64{1.3, 2, 3, 5} {
		if goodput := meanGoodput(t, factor, how); goodput < 0.75*full {
			t.Errorf("%.2f of the capacity are served in time under %v times the capacity, %.2f under 0.9 of it", goodput, factor, full)
		}
	}
}

// TestReadRequestsAreServed: an entry read requests that it could not serve. Three quarters of those that it reads must be
// served in time, and no time of 3 s may pass in which it accepts no connection: callers would take it for lost.
func TestReadRequestsAreServed(t *testing.T) {
	for name, how := range refusals {
		for seed := range uint64(simulatedBoxes) {
			for _, factor := range []float64{1.3, 2, 3, 5} {
				r := overload(seed, factor, how)
				if r.served < 0.75 {
					t.Errorf("%s, seed %d: %.2f of the requests that are read are served in time under %v times the capacity; %+v", name, seed, r.served, factor, r.box.load)
				}
				if r.box.longestRest > 3*event.Second {
					t.Errorf("%s, seed %d: no connection was accepted for %v under %v times the capacity", name, seed, r.box.longestRest, factor)
				}
			}
		}
	}
}

// TestNoRefusalBelowCapacity: a box that can serve twice what comes refuses nothing, also where requests come in bursts.
func TestNoRefusalBelowCapacity(t *testing.T) {
	for name, how := range refusals {
		for seed := range uint64(simulatedBoxes) {
			b := newSimulatedBox(seed, how)
			for range 40 {
				b.run(400*event.Millisecond, 0.4*b.capacity())
				b.run(100*event.Millisecond, b.capacity())
			}
			if b.refused > 0 {
				t.Errorf("%s, seed %d: %d of %d connections were refused", name, seed, b.refused, b.accepted+b.refused)
			}
		}
	}
}

// TestRecoveryAfterOverload: soon after an overload, and the end of the streams that it left, nothing is refused.
func TestRecoveryAfterOverload(t *testing.T) {
	for name, how := range refusals {
		for seed := range uint64(simulatedBoxes) {
			b := newSimulatedBox(seed, how)
			b.run(5*event.Second, 0.4*b.capacity())
			b.run(10*event.Second, 3*b.capacity())
			b.run(b.load.length+3*event.Second, 0.4*b.capacity())
			b.refused, b.accepted = 0, 0
			b.run(10*event.Second, 0.4*b.capacity())
			if b.refused > 0 {
				t.Errorf("%s, seed %d: %d of %d connections were refused 3 s after an overload", name, seed, b.refused, b.accepted+b.refused)
			}
		}
	}
}
