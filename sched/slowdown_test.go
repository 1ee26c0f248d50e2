// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"lynxramp.org/event"
)

// plainPool returns a scheduler of a plain service.
func plainPool(endpoints, slots int) *State {
	s := New(0, event.Pool{Name: pool, MaxWaiting: 4000, Discovered: true, Profile: event.Profile{CallTime: 30 * event.Millisecond}}, 1)
	var out event.Effects
	for i := range endpoints {
		s.Step(0, &event.EndpointUpdated{Endpoint: event.Endpoint{ID: loadEndpoint(i), Concurrency: slots, Speed: 1}, Address: "10.0.0.1:80"}, &out)
	}
	return s
}

// plainCall returns the submission of a plain call.
func plainCall(id int) *event.Submitted {
	return &event.Submitted{Entry: "entry", Ticket: event.Ticket{
		ID: event.RequestID(fmt.Sprintf("r%d", id)), Service: pool, Pool: pool, Deadline: 3 * event.Second,
		Target: 300 * event.Millisecond, Patience: 270 * event.Millisecond,
	}}
}

// trainedPool returns a scheduler of a plain service whose calls took 60 ms, with reports of the usual speed, and the
// time. No call runs.
func trainedPool(t *testing.T, endpoints, slots int) (*State, event.Time) {
	t.Helper()
	s := plainPool(endpoints, slots)
	now := event.Time(0)
	for round := range 20 {
		var out event.Effects
		for i := range endpoints * slots {
			s.Step(now, plainCall(-1-round*endpoints*slots-i), &out)
		}
		now = now.Add(60 * event.Millisecond)
		for _, g := range out.Grants {
			finishCall(s, now, g.ID, 60*event.Millisecond, 1, &event.Effects{})
		}
	}
	if s.Running() != 0 || s.Waiting() != 0 {
		t.Fatalf("%d running and %d waiting", s.Running(), s.Waiting())
	}
	return s, now
}

func finishCall(s *State, now event.Time, id event.RequestID, took event.Duration, slowdown float64, out *event.Effects) {
	s.Step(now, &event.Finished{ID: id, Pool: pool, FirstAfter: took, Slowdown: slowdown}, out)
}

// grantsOf submits calls one by one, each of which ends at once without a report, and returns how many each endpoint got.
func grantsOf(s *State, now event.Time, first, calls int) map[event.EndpointID]int {
	got := make(map[event.EndpointID]int)
	for i := range calls {
		var out event.Effects
		s.Step(now, plainCall(first+i), &out)
		for _, g := range out.Grants {
			got[g.Endpoint]++
		}
	}
	return got
}

// TestSlowedEndpointGetsLess guards against placing calls on an endpoint that has reported that it is slowed, and
// against avoiding it after it has reported that it is not.
func TestSlowedEndpointGetsLess(t *testing.T) {
	s, now := trainedPool(t, 2, 6)
	report := func(id int, slowdown float64) {
		var out event.Effects
		k := plainCall(id)
		k.Ticket.Avoid = []event.EndpointID{"e001"}
		s.Step(now, k, &out)
		now = now.Add(60 * event.Millisecond)
		finishCall(s, now, out.Grants[0].ID, 60*event.Millisecond, slowdown, &out)
	}
	report(1, 2.5)
	if got := grantsOf(s, now, 100, 4); got["e001"] != 4 {
		t.Errorf("grants %v after e000 reported a slowdown of 2.5, want all at e001", got)
	}
	for i := range 4 {
		finishCall(s, now, event.RequestID(fmt.Sprintf("r%d", 100+i)), 60*event.Millisecond, 1, &event.Effects{})
	}
	report(2, 1)
	report(3, 1)
	if got := grantsOf(s, now, 200, 12); got["e000"] != 6 || got["e001"] != 6 {
		t.Errorf("grants %v after the recovery, want all slots in use", got)
	}
	if v := s.views[s.byID["e000"].index].slowness / s.views[s.byID["e001"].index].slowness; v < 0.8 || v > 1.25 {
		t.Errorf("slowness of the recovered endpoint is %.2f of the other's", v)
	}
}

// TestSlowedEndpointIsTriedAgain guards against never learning that an endpoint without requests has recovered, and
// against granting it many before it is known to have.
func TestSlowedEndpointIsTriedAgain(t *testing.T) {
	s, now := trainedPool(t, 2, 6)
	var out event.Effects
	e := s.byID["e000"]
	e.slowdown.report(now, 2.5, 0)
	s.Step(now, &event.Tick{}, &out)
	if !e.slowdown.isSlowed(now) {
		t.Fatal("not slowed after a report of 2.5")
	}
	now = now.Add(event.Second)
	s.Step(now, &event.Tick{}, &out)
	if e.slowdown.isSlowed(now) {
		t.Fatalf("still slowed by %.2f after a second without reports", e.slowdown.factor(now))
	}
	out.Reset()
	for i := range 3 {
		k := plainCall(300 + i)
		k.Ticket.Avoid = []event.EndpointID{"e001"}
		s.Step(now, k, &out)
	}
	if !e.slowdown.isSlowed(now) {
		t.Errorf("after %d grants without a response the endpoint counts as recovered", len(out.Grants))
	}
	finishCall(s, now, out.Grants[0].ID, 60*event.Millisecond, 1, &out)
	if e.slowdown.isSlowed(now) {
		t.Error("still slowed after a report of the usual speed")
	}
}

// TestUnobservedEndpointIsTriedAgain guards against an endpoint that is never used again after a wrong measurement, and
// against sending it more than one call before it is measured.
func TestUnobservedEndpointIsTriedAgain(t *testing.T) {
	s, now := trainedPool(t, 2, 6)
	s.byID["e000"].slowness = 20
	s.Step(now, &event.Tick{}, &event.Effects{})
	if got := grantsOf(s, now, 0, 3); got["e001"] != 3 {
		t.Fatalf("grants %v, want all at the endpoint that is not slow", got)
	}
	for i := range 3 {
		finishCall(s, now, plainCall(i).Ticket.ID, 60*event.Millisecond, 1, &event.Effects{})
	}
	now = now.Add(remeasureAfter + event.Second)
	s.Step(now, &event.Tick{}, &event.Effects{})
	s.byID["e001"].slownessAt = now
	s.Step(now, &event.Tick{}, &event.Effects{})
	if got := grantsOf(s, now, 10, 4); got["e000"] != 1 || got["e001"] != 3 {
		t.Errorf("grants %v after %v without a measurement, want one call at e000", got, remeasureAfter)
	}
}

// TestCallsAreSpread guards against one of several equal endpoints that gets all calls until its slots are taken, so that
// the others report nothing.
func TestCallsAreSpread(t *testing.T) {
	s, now := trainedPool(t, 3, 6)
	if got := grantsOf(s, now, 0, 6); got["e000"] != 2 || got["e001"] != 2 || got["e002"] != 2 {
		t.Errorf("grants %v, want two at each of three equal endpoints", got)
	}
}

// TestCallWaitsForFasterSlot guards against granting a call to a free slot at a slowed endpoint while a slot at a faster
// one is freed within a few milliseconds, and against leaving slots unused when calls queue.
func TestCallWaitsForFasterSlot(t *testing.T) {
	s, now := trainedPool(t, 3, 6)
	s.byID["e000"].slowdown.report(now, 2.5, 0)
	s.Step(now, &event.Tick{}, &event.Effects{})
	var out event.Effects
	for i := range 12 {
		s.Step(now, plainCall(i), &out)
	}
	if len(out.Grants) != 12 {
		t.Fatalf("%d grants at 12 free slots of fast endpoints", len(out.Grants))
	}
	running := out.Grants[0].ID
	out.Reset()
	s.Step(now, plainCall(12), &out)
	if len(out.Grants) != 0 || len(out.Refusals) != 0 {
		t.Fatalf("decisions %+v, want the call to wait for a fast slot", out)
	}
	for i := range 8 {
		s.Step(now, plainCall(13+i), &out)
	}
	if len(out.Grants) < 4 || len(out.Refusals) != 0 {
		t.Errorf("%d grants and %d refusals of 9 waiting calls, with 6 free slots at the slowed endpoint", len(out.Grants), len(out.Refusals))
	}
	out.Reset()
	finishCall(s, now.Add(5*event.Millisecond), running, 60*event.Millisecond, 1, &out)
	if len(out.Grants) == 0 || out.Grants[0].Endpoint == "e000" {
		t.Errorf("grants %+v after a fast slot was freed", out.Grants)
	}
}

// TestUnusableReportsAreIgnored guards against using reports that are too old, out of order or no number.
func TestUnusableReportsAreIgnored(t *testing.T) {
	s, now := trainedPool(t, 1, 1)
	d := &s.byID["e000"].slowdown
	want := *d
	for _, c := range []struct {
		reported float64
		age      event.Duration
	}{
		{math.NaN(), 0}, {math.Inf(1), 0}, {-1, 0}, {2.5, slowdownMaxAge + 1}, {2.5, -1}, {2.5, 100 * event.Millisecond},
	} {
		if d.report(now, c.reported, c.age) || *d != want {
			t.Errorf("a report of %v with an age of %v was used", c.reported, c.age)
		}
	}
	if !d.report(now.Add(event.Second), 1e300, 0) || d.factor(now.Add(event.Second)) > maxSlowdown {
		t.Errorf("a report of 1e300 has a factor of %v", d.factor(now.Add(event.Second)))
	}
}

// lyingReports are reports that are wrong. The first endpoint sends them, the others are honest.
var lyingReports = map[string]slowdownReport{
	"always 2.5": func(event.EndpointID, event.Time, float64) float64 { return 2.5 },
	"always 100": func(event.EndpointID, event.Time, float64) float64 { return 100 },
	"always 0.1": func(event.EndpointID, event.Time, float64) float64 { return 0.1 },
	"3 times as much": func(_ event.EndpointID, _ event.Time, factor float64) float64 {
		return 3 * factor
	},
	"jumping": func(_ event.EndpointID, at event.Time, _ float64) float64 {
		return []float64{1, 2.5}[at/event.Time(300*event.Millisecond)%2]
	},
	"the opposite": func(_ event.EndpointID, _ event.Time, factor float64) float64 { return 2.5 / factor },
	"usual":        func(event.EndpointID, event.Time, float64) float64 { return 1 },
	"from some time on": func(_ event.EndpointID, at event.Time, factor float64) float64 {
		if at > event.Time(5*event.Second) {
			return 4
		}
		return factor
	},
	"missing": func(event.EndpointID, event.Time, float64) float64 { return 0 },
	"stops": func(_ event.EndpointID, at event.Time, factor float64) float64 {
		if at > event.Time(5*event.Second) {
			return 0
		}
		return factor
	},
}

// shareOf returns the share of the grants that an endpoint got from a time on, and the result.
func shareOf(l load, id event.EndpointID, from event.Time) (float64, *loadResult) {
	got, all := 0, 0
	r := runLoadWith(l, func(now event.Time, g event.Granted, refused *event.Refused) {
		if refused != nil || now < from {
			return
		}
		all++
		if g.Endpoint == id {
			got++
		}
	})
	return float64(got) / float64(all), r
}

// TestFalseReportsChangeLittle guards against an endpoint that gets more or less by false reports than it gets with true
// ones or without any, and against value lost by them.
func TestFalseReportsChangeLittle(t *testing.T) {
	const seeds = 3
	for kind, newLoad := range map[string]func(uint64) load{"plain": plainLoad, "stream": streamLoad} {
		simulate := func(first slowdownReport) (share, earned float64) {
			sum := &loadResult{}
			for seed := range uint64(seeds) {
				l := newLoad(seed)
				l.baseLoad *= 0.6
				l.slowness = []float64{1}
				l.length = event.Time(17 * event.Second)
				l.report = func(id event.EndpointID, at event.Time, factor float64) float64 {
					if id == loadEndpoint(2) {
						return first(id, at, factor)
					}
					return honest(id, at, factor)
				}
				part, r := shareOf(l, loadEndpoint(2), event.Time(8*event.Second))
				share += part / seeds
				sum.add(r)
			}
			return share, sum.earnedShare()
		}
		honestShare, wantEarned := simulate(honest)
		silentShare, _ := simulate(lyingReports["missing"])
		least, most := 0.6*min(honestShare, silentShare), 1.5*max(honestShare, silentShare)
		t.Logf("%s: share %.4f of the grants if honest, %.4f without reports; value %.4f", kind, honestShare, silentShare, wantEarned)
		for name, report := range lyingReports {
			share, earned := simulate(report)
			t.Logf("%s, %s: share %.4f of the grants, value %.4f", kind, name, share, earned)
			if share < least || share > most || earned < wantEarned-0.01 {
				t.Errorf("%s, %s: share %.4f of the grants, want %.4f to %.4f; value %.4f, want %.4f", kind, name, share, least, most, earned, wantEarned)
			}
		}
	}
}

// TestReportsWithoutSlowdownChangeNothing guards against a change of any decision where endpoints report no slowdown.
func TestReportsWithoutSlowdownChangeNothing(t *testing.T) {
	for name, l := range map[string]load{"plain": plainLoad(1), "stream": streamLoad(1), "mixed": worstLoad(1)} {
		l.length = event.Time(8 * event.Second)
		record := func(report slowdownReport) []string {
			l.report = report
			var list []string
			runLoadWith(l, func(now event.Time, g event.Granted, refused *event.Refused) {
				if refused != nil {
					list = append(list, fmt.Sprintf("%d refused %+v", now, *refused))
					return
				}
				list = append(list, fmt.Sprintf("%d granted %+v", now, g))
			})
			return list
		}
		without := record(nil)
		with := record(func(event.EndpointID, event.Time, float64) float64 { return 0 })
		if len(without) == 0 || fmt.Sprint(without) != fmt.Sprint(with) {
			t.Errorf("%s: decisions differ: %d without reports, %d with reports of three figures", name, len(without), len(with))
		}
	}
}

// TestAgreement guards against trusting reports that don't explain the measured times, and against distrusting those
// that do.
func TestAgreement(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		name     string
		measured func(x float64) float64
		min, max float64
	}{
		{"true", func(x float64) float64 { return x }, 0.9, 1},
		{"unrelated", func(float64) float64 { return 0 }, 0, 0.2},
		{"twice as large in the logarithm", func(x float64) float64 { return x / 2 }, 0.35, 0.65},
		{"opposite", func(x float64) float64 { return -x }, 0, 0},
	} {
		a := newAgreement()
		if a.slope() != 1 {
			t.Errorf("%v without a sample", a.slope())
		}
		for range 200 {
			x := 0.0
			if random.IntN(7) == 0 {
				x = math.Log(2.5)
			}
			a.observe(x, 1+c.measured(x)+0.1*random.NormFloat64())
		}
		if got := a.slope(); got < c.min || got > c.max {
			t.Errorf("%s: %.2f, want %.2f to %.2f", c.name, got, c.min, c.max)
		}
	}
}

// TestReportsImprovePlacement compares the same loads with and without reports. It guards against reports that cost
// value, against placing as many requests on slowed endpoints as without them, and against refusing a plain call while
// a slot is free.
func TestReportsImprovePlacement(t *testing.T) {
	const seeds = 3
	for name, newLoad := range map[string]func(uint64) load{"plain": plainLoad, "stream": streamLoad} {
		for _, base := range []float64{0.4, 0.7, 1} {
			simulate := func(report slowdownReport) *loadResult {
				sum := &loadResult{}
				for seed := range uint64(seeds) {
					l := newLoad(seed)
					l.baseLoad *= base
					l.report = report
					sum.add(runLoad(l))
				}
				return sum
			}
			before, after := simulate(nil), simulate(honest)
			t.Logf("%s at a load of %.1f, without reports: value %.4f, %v", name, base, before.earnedShare(), &before.placement)
			t.Logf("%s at a load of %.1f, with reports: value %.4f, %v", name, base, after.earnedShare(), &after.placement)
			if after.earnedShare() < before.earnedShare()-0.002 {
				t.Errorf("%s at a load of %.1f: value %.4f with reports, %.4f without", name, base, after.earnedShare(), before.earnedShare())
			}
			if a, b := after.placement.slowShare(), before.placement.slowShare(); a > 0.95*b || base < 0.9 && a > 0.8*b {
				t.Errorf("%s at a load of %.1f: %.3f of the grants at slowed endpoints, %.3f without reports", name, base, a, b)
			}
			if name == "plain" && after.placement.refusedWhileFree > 0 {
				t.Errorf("%d plain calls refused while a slot was free", after.placement.refusedWhileFree)
			}
		}
	}
}

// BenchmarkSlowed measures a request's end and the grant that follows in a full pool whose endpoints report slowdowns.
func BenchmarkSlowed(b *testing.B) {
	for _, size := range [...]struct{ endpoints, waiting int }{{18, 200}, {1100, 20000}} {
		b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", size.endpoints, size.waiting), func(b *testing.B) {
			s := discoveredPool(size.endpoints, 10)
			noTimeout := func(k *event.Ticket) { k.Patience, k.Deadline = 0, 3600*event.Second }
			var out event.Effects
			for i := range 10*size.endpoints + size.waiting {
				s.Step(0, submission(i, noTimeout), &out)
			}
			var running []event.RequestID
			for _, g := range out.Grants {
				running = append(running, g.ID)
			}
			submissions := make([]*event.Submitted, b.N)
			for i := range submissions {
				submissions[i] = submission(1_000_000+i, noTimeout)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				out.Reset()
				now := event.Time(i) * event.Time(10*event.Microsecond)
				s.Step(now, submissions[i], &out)
				n := i % len(running)
				slowdown := []float64{1, 1, 1, 2.5}[n%4]
				s.Step(now, &event.Finished{ID: running[n], Pool: pool, TokenGap: 5 * event.Millisecond, Slowdown: slowdown}, &out)
				if len(out.Grants) > 0 {
					running[n] = out.Grants[0].ID
				}
			}
		})
	}
}
