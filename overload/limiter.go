// SPDX-License-Identifier: MIT

package overload

import (
	"math"

	"lynxramp.org/event"
)

// DefaultDelay is the default of Config.Delay.
const DefaultDelay = 150 * event.Millisecond

// Parameters of a Limiter.
const (
	// onset is how long the delay must be above Config.Delay before a limit is set, and quickOnset how long above
	// quickDelay times as much. Garbage collection or a new configuration delays requests for a shorter time.
	onset      = 300 * event.Millisecond
	quickOnset = 150 * event.Millisecond
	quickDelay = 2
	// Under a limit, a pause begins when the delay is longer than pauseAt, as a part of Config.Delay, and ends when it is
	// shorter than resumeAt. All that tries to connect during a pause is received at its end, behind what waits for the
	// link; a pause that ends earlier admits it at once.
	pauseAt, resumeAt = 0.5, 0.4
	// cutInterval is the least time between two cuts, in which the effect of the first one shows.
	cutInterval = 800 * event.Millisecond
	// A bound is cut to cutFactor of what overloaded the box, and grows by growth of that in the first second afterwards.
	cutFactor = 0.85
	growth    = 0.25
	// overloadReturns is within which time after a pause an overload returns that the admitted requests cause. After that the
	// rate grows by a part of what the box usually admits: what overloaded it last may be far below what it can serve.
	overloadReturns = 1500 * event.Millisecond
	// drainRate is how much the delay falls at least during a pause, as a part of the time, unless responses under way
	// need all that the box has.
	drainRate = 0.25
	// A limit that isn't reached is lifted when it has grown to liftFactor times what overloaded the box.
	liftFactor = 4
	// minFirstLimit is the first limit at least, as a part of the rate at which requests begin.
	minFirstLimit = 0.4
	// minRate and minResponses are the least bounds.
	minRate      = 2 // requests a second
	minResponses = 4
	// arrivalWakeups is how often a request waits for the processor until it has arrived.
	arrivalWakeups = 2
	// reachedFor is how long a limit counts as reached after it was.
	reachedFor = event.Second
	// usualWindow is the time constant of the average rate of requests, rateWindow that of the current rates.
	usualWindow = 10 * event.Second
	rateWindow  = 300 * event.Millisecond
	// maxInterval is the time between two samples of a process that runs, as a rule.
	maxInterval = 100 * event.Millisecond
	// stalledFor is how long a process counts as stalled after it was kept from running. servedWindow is the time constant of
	// the average rate that it serves; it spans several stalls.
	stalledFor   = 2 * event.Second
	servedWindow = 2 * event.Second
)

// Reason is the resource that requests wait for.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	ReasonProcessor
	ReasonLink
)

// String returns the reason as used in logs and metrics.
func (r Reason) String() string { return [...]string{"none", "processor", "link"}[r] }

// Config configures a Limiter.
type Config struct {
	// Delay is how long requests may wait for the box, as a rule; 0 is DefaultDelay.
	Delay event.Duration
}

// Sample is what a box measured since the previous sample.
type Sample struct {
	RunQueue event.Duration
	// Wait is how long requests that the kernel had received waited until they were handled; 0 if none came lately. It
	// tells of a process that is kept from running, which no goroutine sees.
	Wait event.Duration
	// Path is how long the path to endpoints and callers takes, without their processes; 0 if nothing was sent lately.
	Path event.Duration
	// Arrival is the delay that the first requests of many connections have in common; 0 if unknown. It tells of the link to
	// callers also where what is at its other end acknowledges all at once.
	Arrival event.Duration
	// OwnerRoundTrip is how long the owner takes to answer. It is ignored without an owner.
	OwnerRoundTrip event.Duration
	HasOwner       bool
	Begun          int // requests
	Ended          int // requests
	// Responses is the number of responses that are being passed on now.
	Responses int
	// IsReached is set if all that the limit admits was admitted.
	IsReached bool
}

// link returns how long both the path to endpoints and callers and the one to the owner take. They share the box's link
// only: if just one of them is slow, the cause is at its other end.
func (s Sample) link() event.Duration {
	if !s.HasOwner {
		return s.Path
	}
	return min(s.Path, s.OwnerRoundTrip)
}

// isLinkKnown reports whether anything tells how long the link takes.
func (s Sample) isLinkKnown() bool { return s.HasOwner || s.Path > 0 }

// Limit is how many requests a box admits.
type Limit struct {
	// PerSecond is the limit in requests a second; +Inf without a limit.
	PerSecond float64
	// IsPaused is set if none are to be admitted for now.
	IsPaused bool
	// IsReached is set if more requests came lately than the limit admits.
	IsReached bool
	Reason    Reason // of the last overload
	// Delay is how long requests wait for the box.
	Delay event.Duration
	// IsDelaying is set if the box may have delayed the requests that end now: their times tell little of endpoints.
	IsDelaying bool
}

// IsLimited reports whether there is a limit.
func (l Limit) IsLimited() bool { return !math.IsInf(l.PerSecond, 1) }

// Limiter limits the requests that a box admits while it is overloaded. It is a reducer without a clock, input or
// output.
//
// While requests wait too long, it pauses: none are admitted, so that what was admitted is passed on. Otherwise two bounds
// hold, which each overload cuts and which grow until the next one: of the rate at which requests begin, and of the
// responses under way, as those of streams load the box long after they were admitted.
type Limiter struct {
	config Config

	last  event.Time // of the last step
	least LeastDelay // of the link
	// leastArrival is that of Sample.Arrival.
	leastArrival LeastDelay
	// Average rates, in requests a second. usual is that of begun while there is no limit.
	begun, ended, usual float64
	served              float64 // ended, over servedWindow
	// For how long the delay has been above Config.Delay, and above quickDelay times as much.
	delayed, delayedMuch event.Duration

	limited   bool
	rate      bound // requests a second
	responses bound // under way
	cutAt     event.Time
	calm      event.Duration // for which there has been no pause
	isPaused  bool           // in the last step
	// When the pause began, or when its effect was last checked, and the delay then.
	pausedAt    event.Time
	pausedDelay event.Duration
	reachedAt   event.Time // when the limit was last reached
	stalledAt   event.Time // when the process was last kept from running
	reason      Reason
}

// bound is a limit that is cut at an overload and grows afterwards.
type bound struct {
	limit     float64
	overloads float64 // what overloaded the box last
	min       float64
}

// cut lowers a bound below what overloads the box.
func (b *bound) cut(overloads float64) {
	b.overloads = max(min(b.limit, overloads), b.min)
	b.limit = max(cutFactor*b.overloads, b.min)
}

// grow raises a bound by a part of base a second, faster the longer ago the last overload was.
func (b *bound) grow(interval, calm event.Duration, base float64) {
	b.limit += growth * base * interval.Seconds() * (1 + calm.Seconds())
}

// NewLimiter returns a Limiter without a limit.
func NewLimiter(c Config) *Limiter {
	if c.Delay <= 0 {
		c.Delay = DefaultDelay
	}
	return &Limiter{config: c, least: NewLeastDelay(), leastArrival: NewLeastDelay()}
}

// Step applies a sample and returns the limit from now on.
func (l *Limiter) Step(now event.Time, s Sample) Limit {
	interval := now.Sub(l.last)
	l.last = now
	link := l.linkDelay(now, s)
	delay := max(s.RunQueue, link)
	if s.IsReached {
		l.reachedAt = now
	}
	l.average(interval, s, delay)
	isStalled := max(s.Wait, interval-maxInterval) > l.config.Delay
	if isStalled && s.RunQueue <= l.config.Delay {
		l.stalledAt = now
	}
	longest := max(delay, s.Wait)
	l.countDelay(interval, longest)
	if !l.limited && (l.delayed >= onset || l.delayedMuch >= quickOnset) {
		l.begin(now)
	}
	if !l.limited {
		return l.limit(now, s, longest)
	}
	if processor := max(s.RunQueue, s.Wait); max(processor, link) > l.config.Delay/2 {
		l.reason = ReasonProcessor
		if link > processor {
			l.reason = ReasonLink
		}
	}
	wasPaused := l.isPaused
	// If the link was full, only what is admitted now and then tells how long requests wait, without an owner and traffic.
	isLinkUnknown := l.reason == ReasonLink && !s.isLinkKnown()
	l.isPaused = isStalled || l.isTooLong(delay) || isLinkUnknown
	l.adjust(now, interval, s, delay, wasPaused)
	return l.limit(now, s, longest)
}

// linkDelay returns how much longer than usual the link takes.
func (l *Limiter) linkDelay(now event.Time, s Sample) event.Duration {
	link := s.link() - l.least.Update(now, s.link())
	if s.Arrival == 0 {
		return link
	}
	arrival := s.Arrival - l.leastArrival.Update(now, s.Arrival)
	return max(link, arrival-arrivalWakeups*max(s.RunQueue, s.Wait))
}

// average updates the average rates.
func (l *Limiter) average(interval event.Duration, s Sample, delay event.Duration) {
	if interval <= 0 {
		return
	}
	update := func(average *float64, count int, window event.Duration) {
		weight := 1 - math.Exp(-interval.Seconds()/window.Seconds())
		*average += weight * (float64(count)/interval.Seconds() - *average)
	}
	update(&l.begun, s.Begun, rateWindow)
	update(&l.ended, s.Ended, rateWindow)
	update(&l.served, s.Ended, servedWindow)
	if !l.limited && delay <= l.config.Delay {
		update(&l.usual, s.Begun, usualWindow)
	}
}

// countDelay updates for how long the delay has been too long.
func (l *Limiter) countDelay(interval, delay event.Duration) {
	count := func(total *event.Duration, isOver bool) {
		if !isOver {
			*total = 0
			return
		}
		*total += interval
	}
	count(&l.delayed, delay > l.config.Delay)
	count(&l.delayedMuch, delay > quickDelay*l.config.Delay)
}

// begin sets a limit: what the box has finished lately, and no less than what it usually admits.
func (l *Limiter) begin(now event.Time) {
	l.limited, l.isPaused, l.calm = true, false, 0
	l.cutAt, l.reachedAt = now, now
	first := max(l.usual, minFirstLimit*l.begun, min(l.ended, cutFactor*l.begun), minRate)
	l.rate = bound{limit: first, overloads: max(l.begun, minRate), min: minRate}
	if l.isStalled(now) {
		l.rate.overloads = first // begun has what came while the process didn't run
	}
	l.responses = bound{limit: math.Inf(1), min: minResponses}
}

// adjust changes the bounds.
func (l *Limiter) adjust(now event.Time, interval event.Duration, s Sample, delay event.Duration, wasPaused bool) {
	switch {
	case !l.isPaused:
		interval = min(interval, maxInterval) // in the rest the process didn't run
		l.calm += interval
		l.rate.grow(interval, l.calm, l.growthBase())
		l.responses.grow(interval, l.calm, l.responses.overloads)
		l.limited = l.rate.limit < liftFactor*l.rate.overloads || l.isReached(now)
	case !wasPaused:
		if l.calm >= overloadReturns {
			l.usual = min(l.usual, l.served) // what it usually admits is more than it can serve now
		}
		l.calm = 0
		l.pausedAt, l.pausedDelay = now, delay
		l.cutRate(now)
	case s.Begun > 0:
		l.pausedAt, l.pausedDelay = now, delay // what has just begun hides the effect of the pause
	case now.Sub(l.pausedAt) >= cutInterval:
		if !l.isDraining(now, delay) {
			l.responses.cut(float64(s.Responses))
		}
		l.pausedAt, l.pausedDelay = now, delay
	}
}

// growthBase returns the rate by a part of which the limit grows.
func (l *Limiter) growthBase() float64 {
	if l.calm < overloadReturns {
		return l.rate.overloads
	}
	return max(l.rate.overloads, l.usual)
}

// isTooLong reports whether requests wait too long to admit more.
func (l *Limiter) isTooLong(delay event.Duration) bool {
	part := pauseAt
	if l.isPaused {
		part = resumeAt
	}
	return float64(delay) > part*float64(l.config.Delay)
}

// cutRate lowers the bound of the rate unless it was lowered lately.
func (l *Limiter) cutRate(now event.Time) {
	if now.Sub(l.cutAt) < cutInterval {
		return
	}
	l.cutAt = now
	overloads := l.begun
	if l.isReached(now) {
		overloads = l.rate.limit // begun is less during pauses
	}
	if l.isStalled(now) {
		overloads = min(overloads, l.served)
	}
	l.rate.cut(overloads)
}

// isDraining reports whether what waits is being passed on during the pause.
func (l *Limiter) isDraining(now event.Time, delay event.Duration) bool {
	return float64(l.pausedDelay-delay) >= drainRate*float64(now.Sub(l.pausedAt))
}

// isStalled reports whether the process was kept from running lately. It begins what came meanwhile all at once, and the
// delays that it measures are long or short by chance; what it serves on average tells what it can.
func (l *Limiter) isStalled(now event.Time) bool { return now.Sub(l.stalledAt) < stalledFor }

// isReached reports whether the limit was reached lately.
func (l *Limiter) isReached(now event.Time) bool { return now.Sub(l.reachedAt) < reachedFor }

// limit returns the limit in force.
func (l *Limiter) limit(now event.Time, s Sample, delay event.Duration) Limit {
	if !l.limited {
		return Limit{PerSecond: math.Inf(1), Delay: delay, IsDelaying: float64(delay) > pauseAt*float64(l.config.Delay)}
	}
	return Limit{
		PerSecond: l.rate.limit, IsPaused: l.isPaused || float64(s.Responses) >= l.responses.limit,
		IsReached: l.isReached(now), Reason: l.reason, Delay: delay, IsDelaying: true,
	}
}
