// SPDX-License-Identifier: MIT

package worth

import (
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

const ms = event.Millisecond

// fresh is a request that has just come.
func fresh(wait event.Span) Case {
	return Case{Target: 800 * ms, Left: 12000 * ms, Wait: wait, Begin: 100 * ms, Again: 0.6}
}

func TestKeepsWhatIsServedSoon(t *testing.T) {
	w := Weigh(fresh(20 * ms))
	if w.IsRefused() || w.InTime < 0.99 || w.Keep < 0.99 {
		t.Errorf("%+v, want nearly all of its worth", w)
	}
}

func TestRefusesWhatIsNotServedAtAll(t *testing.T) {
	for _, waited := range []event.Span{0, 50 * ms, 700 * ms, 3000 * ms, 11000 * ms} {
		c := fresh(60 * event.Second)
		c.Waited, c.Left = waited, 12000*ms-waited
		if w := Weigh(c); !w.IsRefused() {
			t.Errorf("kept after %v though it takes a minute: %+v", waited, w)
		}
	}
}

func TestLateAnswerIsBetterThanNone(t *testing.T) {
	c := fresh(2 * event.Second)
	c.Waited, c.Left = event.Second, 11*event.Second
	if w := Weigh(c); w.IsRefused() || w.InTime > 0 {
		t.Errorf("%+v, want it kept: it is late, and served for sure", w)
	}
}

// TestWhoAskedBeforeIsKeptLonger: a second refusal costs a caller more than a first one.
func TestWhoAskedBeforeIsKeptLonger(t *testing.T) {
	longest := func(asked bool) event.Span {
		wait := event.Span(0)
		for c := fresh(0); ; wait += 10 * ms {
			c.Wait, c.Asked = wait, asked
			if Weigh(c).IsRefused() {
				return wait
			}
		}
	}
	if first, again := longest(false), longest(true); again <= first {
		t.Errorf("kept up to %v at its first try and up to %v when it asks again", first, again)
	}
}

// TestNonsenseHasAnAnswer: whatever the inputs, chances are chances and the worth of both
// ways is bounded.
func TestNonsenseHasAnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := rapid.Custom(func(t *rapid.T) event.Span {
			return event.Span(rapid.Int64Range(-int64(event.Second), int64(100*event.Second)).Draw(t, "span"))
		})
		w := Weigh(Case{
			Waited: span.Draw(t, "waited"), Target: span.Draw(t, "target"), Left: span.Draw(t, "left"),
			Wait: span.Draw(t, "wait"), Begin: span.Draw(t, "begin"),
			Asked: rapid.Bool().Draw(t, "asked"), Again: rapid.Float64Range(0, 1).Draw(t, "again"),
		})
		if !(w.InTime >= 0 && w.InTime <= w.Any && w.Any <= 1) {
			t.Errorf("chances %+v", w)
		}
		for _, v := range []float64{w.Keep, w.Refuse} {
			if !(v >= -1-Second && v <= 1) {
				t.Errorf("worth %+v", w)
			}
		}
	})
}

// TestNoStepAtAnyAge: with the same way ahead, a millisecond more of age changes what either
// way is worth by little.
func TestNoStepAtAnyAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := fresh(event.Span(rapid.Int64Range(int64(50*ms), int64(20*event.Second)).Draw(t, "wait")))
		c.Waited = event.Span(rapid.Int64Range(0, int64(11*event.Second)).Draw(t, "waited"))
		c.Left = 12*event.Second - c.Waited
		before := Weigh(c)
		c.Waited += ms
		c.Left -= ms
		after := Weigh(c)
		const most = 0.03
		if d := after.Keep - before.Keep; d > most || d < -most {
			t.Errorf("at %v waiting is worth %.3f, a millisecond later %.3f", c.Waited, before.Keep, after.Keep)
		}
		if d := after.Refuse - before.Refuse; d > most || d < -most {
			t.Errorf("at %v a refusal is worth %.3f, a millisecond later %.3f", c.Waited, before.Refuse, after.Refuse)
		}
	})
}

func BenchmarkWeigh(b *testing.B) {
	c := fresh(300 * ms)
	for range b.N {
		c.Waited += event.Span(Weigh(c).InTime)
	}
}
