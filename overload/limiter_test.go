// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"lynxramp.org/event"
)

// feed steps a limiter for some time with the same sample and returns the last limit, and whether one was in force.
func feed(l *Limiter, from event.Time, length event.Duration, s Sample) (now event.Time, last Limit, wasLimited bool) {
	const interval = 100 * event.Millisecond
	for now = from; now < from.Add(length); {
		now = now.Add(interval)
		last = l.Step(now, s)
		wasLimited = wasLimited || last.IsLimited()
	}
	return now, last, wasLimited
}

const ms = event.Millisecond

var calm = Sample{RunQueue: 2 * ms, Path: 5 * ms, Arrival: 4 * ms, OwnerRoundTrip: 3 * ms, HasOwner: true, Begun: 5, Ended: 5}

// TestNoLimitForOthersDelays: an entry must not refuse connections because the owner, endpoints or callers are slow, or
// because one of them is far away.
func TestNoLimitForOthersDelays(t *testing.T) {
	for name, change := range map[string]func(*Sample){
		"slow owner":                   func(s *Sample) { s.OwnerRoundTrip = 900 * ms },
		"slow endpoints or callers":    func(s *Sample) { s.Path = 900 * ms },
		"no owner":                     func(s *Sample) { s.HasOwner = false },
		"slow or idle callers":         func(s *Sample) { s.Path, s.Arrival = 900*ms, 0 },
		"many responses under way":     func(s *Sample) { s.Responses = 10000 },
		"more requests than responses": func(s *Sample) { s.Begun, s.Ended = 100, 1 },
	} {
		l := NewLimiter(Config{})
		now, _, _ := feed(l, 0, 5*event.Second, calm)
		s := calm
		change(&s)
		if _, _, wasLimited := feed(l, now, 20*event.Second, s); wasLimited {
			t.Errorf("%s: connections are limited", name)
		}
	}
	far := calm
	far.Path, far.OwnerRoundTrip = 300*ms, 300*ms
	far.Arrival = 600 * ms
	if _, _, wasLimited := feed(NewLimiter(Config{}), 0, 20*event.Second, far); wasLimited {
		t.Error("all far away: connections are limited")
	}
}

// TestShortDelaysSetNoLimit: garbage collection, a new configuration or a pause of the process delay requests for a
// moment only.
func TestShortDelaysSetNoLimit(t *testing.T) {
	l := NewLimiter(Config{})
	now, _, _ := feed(l, 0, 5*event.Second, calm)
	for range 20 {
		long := calm
		long.RunQueue, long.Wait = 2*event.Second, 2*event.Second
		now = now.Add(100 * ms)
		if l.Step(now, long).IsLimited() {
			t.Fatal("one long delay sets a limit")
		}
		now, _, _ = feed(l, now, event.Second, calm)
		moderate := calm
		moderate.Path, moderate.OwnerRoundTrip = 200*ms, 200*ms
		var wasLimited bool
		now, _, wasLimited = feed(l, now, 200*ms, moderate)
		if wasLimited {
			t.Fatal("200 ms of a moderate delay set a limit")
		}
		now, _, _ = feed(l, now, event.Second, calm)
	}
}

// TestLimitByLinkAndProcessor: each is enough alone, nothing is admitted until the delay is short again, and the limit is
// lifted some time after the last overload.
func TestLimitByLinkAndProcessor(t *testing.T) {
	for _, test := range []struct {
		reason Reason
		change func(*Sample)
	}{
		{ReasonProcessor, func(s *Sample) { s.RunQueue = 200 * ms }},
		{ReasonProcessor, func(s *Sample) { s.RunQueue, s.Wait = 100*ms, 200*ms }},
		{ReasonLink, func(s *Sample) { s.Path, s.OwnerRoundTrip = 300*ms, 200*ms }},
		{ReasonLink, func(s *Sample) { s.Path, s.HasOwner = 300*ms, false }},
		{ReasonLink, func(s *Sample) { s.Arrival = 300 * ms }},
	} {
		l := NewLimiter(Config{})
		now, _, _ := feed(l, 0, 5*event.Second, calm)
		s := calm
		s.Begun = 30
		test.change(&s)
		now, limit, _ := feed(l, now, event.Second, s)
		if !limit.IsLimited() || !limit.IsPaused || limit.Reason != test.reason {
			t.Errorf("%v: limit %+v", test.reason, limit)
		}
		if limit.PerSecond < 50 {
			t.Errorf("%v: %v requests a second are admitted, less than usual", test.reason, limit.PerSecond)
		}
		now, limit, _ = feed(l, now, 200*ms, calm)
		if !limit.IsLimited() || limit.IsPaused {
			t.Errorf("%v: limit %+v after the overload", test.reason, limit)
		}
		if _, limit, _ = feed(l, now, 20*event.Second, calm); limit.IsLimited() {
			t.Errorf("%v: limit %+v long after the overload", test.reason, limit)
		}
	}
}

// TestPausedProcessIsNoticed: the delays of a process that is paused most of the time are long in turn, and no limit was
// set for seconds.
func TestPausedProcessIsNoticed(t *testing.T) {
	for _, wait := range []event.Duration{80 * ms, 400 * ms} {
		l := NewLimiter(Config{})
		now, _, _ := feed(l, 0, 5*event.Second, calm)
		wasLimited := false
		for i := range 5 {
			s := Sample{Wait: wait, Path: 5 * ms, OwnerRoundTrip: 100 * ms, HasOwner: true, Begun: 20}
			if i%2 == 0 {
				s.Path, s.OwnerRoundTrip = 300*ms, ms
			}
			now = now.Add(100 * ms)
			wasLimited = wasLimited || l.Step(now, s).IsLimited()
		}
		if want := wait > DefaultDelay; wasLimited != want {
			t.Errorf("requests wait for %v: limited %v, want %v", time.Duration(wait), wasLimited, want)
		}
	}
}

// TestLastingOverloadLimitsResponses: streams that were admitted load the box after new connections are refused. Their
// number must fall below what overloads it.
func TestLastingOverloadLimitsResponses(t *testing.T) {
	l := NewLimiter(Config{})
	now, _, _ := feed(l, 0, 5*event.Second, calm)
	s := calm
	s.RunQueue, s.Responses, s.Begun = 200*ms, 100, 0
	now, _, _ = feed(l, now, 2*event.Second, s)
	s.RunQueue, s.Responses = 2*ms, 90
	if _, limit, _ := feed(l, now, 100*ms, s); !limit.IsPaused {
		t.Errorf("limit %+v with 90 responses, 100 overloaded the box", limit)
	}
	s.Responses = 70
	if _, limit, _ := feed(l, now, 200*ms, s); limit.IsPaused {
		t.Errorf("limit %+v with 70 responses, 100 overloaded the box", limit)
	}
}

// TestRateIsCutWhileRequestsWait: the limit of a paused process grew to several times what it can serve.
func TestRateIsCutWhileRequestsWait(t *testing.T) {
	l := NewLimiter(Config{})
	now, _, _ := feed(l, 0, 5*event.Second, calm)
	s := calm
	s.Wait, s.Begun, s.IsReached = 200*ms, 20, true
	now, first, _ := feed(l, now, 500*ms, s)
	if !first.IsPaused {
		t.Errorf("limit %+v while requests wait", first)
	}
	for range 10 {
		s.Wait, s.Begun = 0, 0
		now, _, _ = feed(l, now, 300*ms, s)
		s.Wait, s.Begun = 200*ms, 20
		now, _, _ = feed(l, now, 600*ms, s)
	}
	if last := l.Step(now, s); last.PerSecond > first.PerSecond || last.PerSecond < minRate {
		t.Errorf("%v requests a second are admitted, %v at the beginning of the overload", last.PerSecond, first.PerSecond)
	}
}

// TestUnknownClock: a step without time since the last one changes no rate.
func TestUnknownClock(t *testing.T) {
	l := NewLimiter(Config{})
	now, _, _ := feed(l, 0, event.Second, calm)
	before := *l
	l.Step(now, calm)
	if l.begun != before.begun || l.usual != before.usual {
		t.Error("a step without time changes the average rates")
	}
}

// TestReachedLimitGrows: a limit that is kept while callers reach it must not stay at what overloaded the box once.
func TestReachedLimitGrows(t *testing.T) {
	l := NewLimiter(Config{})
	now, _, _ := feed(l, 0, 5*event.Second, calm)
	long := calm
	long.RunQueue, long.Begun = event.Second, 30
	now, first, _ := feed(l, now, event.Second, long)
	reached := calm
	reached.IsReached = true
	_, last, _ := feed(l, now, 10*event.Second, reached)
	if !last.IsLimited() || last.PerSecond < 2*liftFactor*first.PerSecond {
		t.Errorf("limit %+v after 10 s without an overload, %+v at its end", last, first)
	}
}

// TestLimitRisesSoonAfterItsCauseIsGone: an entry that other processes kept from running refused nearly all callers for ten
// seconds and more after they had ended. What it usually admits must be admitted 3 s later.
func TestLimitRisesSoonAfterItsCauseIsGone(t *testing.T) {
	for name, change := range map[string]func(*Sample){
		"run queue":    func(s *Sample) { s.RunQueue = 300 * ms },
		"late process": func(s *Sample) { s.Wait = 300 * ms },
		"link":         func(s *Sample) { s.Path, s.OwnerRoundTrip = 300*ms, 300*ms },
	} {
		l := NewLimiter(Config{})
		usual := calm
		usual.Begun, usual.Ended = 10, 10
		now, _, _ := feed(l, 0, 20*event.Second, usual)
		delayed, between := usual, usual
		change(&delayed)
		delayed.Begun, delayed.Ended, delayed.IsReached = 0, 0, true
		between.Begun, between.Ended, between.IsReached = 1, 1, true
		for range 20 {
			now, _, _ = feed(l, now, 700*ms, delayed)
			now, _, _ = feed(l, now, 300*ms, between)
		}
		reached := usual
		reached.IsReached = true
		if _, limit, _ := feed(l, now, 3*event.Second, reached); limit.IsPaused || limit.PerSecond < 100 {
			t.Errorf("%s: limit %+v 3 s after its cause, 100 a second are usual", name, limit)
		}
	}
}

// TestLostOwnerProlongsNoPause guards against an entry that refuses nearly all callers until there is an owner again, though the
// processor that requests waited for is free. What is known of a link ends with the owner and the traffic.
func TestLostOwnerProlongsNoPause(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(*Sample)
		isPaused bool
	}{
		"run queue":    {func(s *Sample) { s.RunQueue = 300 * ms }, false},
		"late process": {func(s *Sample) { s.Wait = 300 * ms }, false},
		"link":         {func(s *Sample) { s.Path, s.OwnerRoundTrip = 300*ms, 300*ms }, true},
	} {
		l := NewLimiter(Config{})
		now, _, _ := feed(l, 0, 5*event.Second, calm)
		delayed := calm
		c.change(&delayed)
		now, limit, _ := feed(l, now, event.Second, delayed)
		if !limit.IsPaused {
			t.Errorf("%s: limit %+v during the overload", name, limit)
		}
		if _, limit, _ = feed(l, now, 500*ms, Sample{RunQueue: 2 * ms}); limit.IsPaused != c.isPaused {
			t.Errorf("%s: paused %v without an owner and traffic, want %v", name, limit.IsPaused, c.isPaused)
		}
	}
}

// TestNextOverloadKeepsWhatIsUsual guards against an overload that counts as the effect of a limit that was lifted before it.
func TestNextOverloadKeepsWhatIsUsual(t *testing.T) {
	l := NewLimiter(Config{})
	overloaded := calm
	overloaded.RunQueue, overloaded.Ended = 300*ms, 0
	now, _, _ := feed(l, 0, 20*event.Second, calm)
	now, _, _ = feed(l, now, event.Second, overloaded)
	now, limit, _ := feed(l, now, 20*event.Second, calm)
	usual := l.usual
	if _, _, isLimited := feed(l, now, 500*ms, overloaded); limit.IsLimited() || !isLimited || l.usual < usual {
		t.Errorf("limit %+v before the next overload; limited by it %v, usual rate %.0f after %.0f", limit, isLimited, l.usual, usual)
	}
}
