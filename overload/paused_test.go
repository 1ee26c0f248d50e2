// SPDX-License-Identifier: MIT

package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lynxramp.org/event"
)

// pausedBox is a box whose process gets a share of a processor, kept by pausing it: it handles all that has come at once, and
// is paused, for whole periods, until its share of them has paid for that.
type pausedBox struct {
	share     float64        // of a processor
	work      float64        // seconds of a processor that a stage of a request takes
	stageTime event.Duration // of endpoints and links between two stages

	random    *rand.Rand
	limiter   *Limiter
	window    window
	isReached bool

	now        event.Time
	nextPeriod event.Time
	nextSample event.Time
	lastRun    event.Time
	debt       float64         // seconds of a processor
	received   []pausedRequest // by the kernel
	handled    []pausedRequest // by the process, once at least
	waits      []event.Duration
	wait       event.Duration // median of the last waits
	waitAt     event.Time
	begun      int // since the last sample, as ended
	ended      int

	accepted, inTime int
}

// pausedRequest is a request at a pausedBox.
type pausedRequest struct {
	began event.Time
	next  event.Time // when its next stage can be handled
	stage int
}

const (
	pausedPeriod = 100 * event.Millisecond
	// pausedStages is how often a process handles a request: its head and body, the endpoint's response, and the report.
	pausedStages = 3
	pausedStep   = event.Millisecond
)

func newPausedBox(seed uint64, how refusal) *pausedBox {
	r := rand.New(rand.NewPCG(seed, 2))
	between := func(from, to float64) float64 { return from * math.Pow(to/from, r.Float64()) }
	b := &pausedBox{random: r, window: newWindow(time.Unix(0, 0), how == losesHandshakes), limiter: NewLimiter(Config{})}
	b.share = between(0.02, 0.3)
	b.work = b.share / between(30, 300) / pausedStages
	b.stageTime = event.Duration(between(1, 30) * float64(event.Millisecond))
	return b
}

// capacity returns how many requests a second the box can serve.
func (b *pausedBox) capacity() float64 { return b.share / (b.work * pausedStages) }

func (b *pausedBox) clock() time.Time { return time.Unix(0, int64(b.now)) }

// run offers perSecond connections a second for some time.
func (b *pausedBox) run(length event.Duration, perSecond float64) {
	quota := b.share * pausedPeriod.Seconds()
	for end := b.now.Add(length); b.now < end; b.now = b.now.Add(pausedStep) {
		// The kernel completes handshakes also while the process is paused.
		if b.random.Float64() < perSecond*pausedStep.Seconds() && b.window.isOpen {
			b.received = append(b.received, pausedRequest{began: b.now, next: b.now.Add(b.stageTime)})
		}
		if b.now >= b.nextPeriod {
			b.nextPeriod = b.now.Add(pausedPeriod)
			b.debt = max(0, b.debt-quota)
		}
		if b.debt < quota {
			b.runProcess()
			b.lastRun = b.now
		}
	}
}

// runProcess handles all that has come.
func (b *pausedBox) runProcess() {
	b.accept()
	kept := b.handled[:0]
	for _, r := range b.handled {
		if r.next <= b.now {
			b.debt += b.work
			r.next = b.now.Add(b.stageTime)
			r.stage++
		}
		if r.stage < pausedStages {
			kept = append(kept, r)
			continue
		}
		b.ended++
		if b.now.Sub(r.began) < simulatedDeadline {
			b.inTime++
		}
	}
	b.handled = kept
	if b.now >= b.nextSample {
		b.sample()
	}
	b.isReached = openOrClose(&b.window, b.clock()) || b.isReached
}

// accept takes the connections whose requests were received.
func (b *pausedBox) accept() {
	left := b.received[:0]
	for _, r := range b.received {
		switch {
		case r.next > b.now:
			left = append(left, r)
		case b.window.isOpen || !b.window.losesHandshakes && !b.window.mustDrop(b.clock()):
			b.accepted++
			b.begun++
			b.window.accept(b.clock(), time.Millisecond)
			b.isReached = openOrClose(&b.window, b.clock()) || b.isReached
			b.waits = append(b.waits, b.now.Sub(r.next))
			b.handled = append(b.handled, r)
		}
	}
	b.received = left
}

// sample measures the box. Its delays are long or short, depending on when the process was paused.
func (b *pausedBox) sample() {
	if len(b.waits) >= minSamples {
		b.wait, b.waitAt = b.waits[len(b.waits)/2], b.now
		b.waits = nil
	} else if b.now.Sub(b.waitAt) > 150*event.Millisecond {
		b.wait = 0
	}
	pause := float64(b.now.Sub(b.lastRun))
	delay := func() event.Duration {
		return 5*event.Millisecond + event.Duration(b.random.Float64()*b.random.Float64()*pause)
	}
	limit := b.limiter.Step(b.now, Sample{
		Wait: b.wait, Path: delay(), OwnerRoundTrip: delay(), HasOwner: true,
		Begun: b.begun, Ended: b.ended, Responses: len(b.handled), IsReached: b.isReached || !b.window.isOpen,
	})
	interval := 100 * event.Millisecond
	b.window.observeRate(float64(b.begun) / interval.Seconds())
	b.window.setLimit(b.clock(), limit.PerSecond, limit.IsPaused)
	b.begun, b.ended, b.isReached = 0, 0, false
	if limit.IsReached {
		interval /= 2
	}
	b.nextSample = b.now.Add(interval)
}

// TestLimitOfPausedProcessFollowsWhatItServes: the limit of a process that is kept from running by a quota grew to many times
// what it serves, and the process read more than it could serve. The bounds are those of other boxes.
func TestLimitOfPausedProcessFollowsWhatItServes(t *testing.T) {
	const calm, contact, length = 5 * event.Second, 3 * event.Second, 20 * event.Second
	for name, how := range refusals {
		full := 0.0
		for _, factor := range []float64{0.9, 1.3, 2, 3, 5} {
			sum := 0.0
			for seed := range uint64(simulatedBoxes) {
				b := newPausedBox(seed, how)
				b.run(calm, 0.4*b.capacity())
				b.run(contact, factor*b.capacity())
				accepted, inTime := b.accepted, b.inTime
				b.run(length, factor*b.capacity())
				inTime = b.inTime - inTime
				sum += float64(inTime) / length.Seconds() / b.capacity()
				if served := float64(inTime) / float64(b.accepted-accepted); served < 0.75 {
					t.Errorf("%s, seed %d: %.2f of the requests that are read are served in time under %v times the capacity", name, seed, served, factor)
				}
			}
			mean := sum / simulatedBoxes
			t.Logf("%s, load %v of the capacity: mean goodput %.2f", name, factor, mean)
			if factor < 1 {
				full = mean
			}
			if mean < 0.75*full {
				t.Errorf("%s: %.2f of the capacity are served in time under %v times the capacity, %.2f under 0.9 of it", name, mean, factor, full)
			}
		}
	}
}

// TestLimitOfSlowedProcessFollowsWhatItServes guards against a limit that grows to what the box admitted before its share of the
// processor became smaller.
func TestLimitOfSlowedProcessFollowsWhatItServes(t *testing.T) {
	const calm, contact, length = 20 * event.Second, 3 * event.Second, 20 * event.Second
	for name, how := range refusals {
		for _, part := range []float64{0.5, 0.3, 0.15} {
			for seed := range uint64(simulatedBoxes) {
				b := newPausedBox(seed, how)
				load := 0.8 * b.capacity()
				b.run(calm, load)
				b.share *= part
				b.run(contact, load)
				accepted, inTime := b.accepted, b.inTime
				b.run(length, load)
				if served := float64(b.inTime-inTime) / float64(b.accepted-accepted); served < 0.75 {
					t.Errorf("%s, seed %d: %.2f of the requests that are read are served in time with %v of the processor's share", name, seed, served, part)
				}
			}
		}
	}
}
