// SPDX-License-Identifier: MIT

package sched

import (
	"math"
	"testing"

	"lynxramp.org/event"
)

func TestReadingGoesOnePromptAfterTheOther(t *testing.T) {
	var r prefillQueue
	a, b := &grant{prefillWork: 1}, &grant{prefillWork: 2}
	r.add(0, a)
	r.add(event.Time(event.Second/2), b)
	if r.work != 3 || r.headWork() != 1 || r.headSince != 0 {
		t.Errorf("work %v, first %v, since %v", r.work, r.headWork(), r.headSince)
	}
	r.remove(event.Time(event.Second), a)
	if r.work != 2 || r.headWork() != 2 || r.headSince != event.Time(event.Second) {
		t.Errorf("with one read: work %v, first %v, since %v", r.work, r.headWork(), r.headSince)
	}
	r.remove(event.Time(2*event.Second), a) // it is not there any more
	r.remove(event.Time(2*event.Second), b)
	if r.work != 0 || r.headWork() != 0 {
		t.Errorf("with all read: work %v, first %v", r.work, r.headWork())
	}
}

func TestPrefillRateIsFoundBesideAFixedTime(t *testing.T) {
	var f prefillFit
	if f.rate() != 0 {
		t.Error("a rate without a sample")
	}
	for i := range 200 {
		tokens := float64(500 + i%37*1000)
		f.observe(tokens, 0.05+tokens/20000)
	}
	if got := f.rate(); math.Abs(got-20000) > 1 {
		t.Errorf("rate %v, want 20000", got)
	}
	for i := range 1000 {
		tokens := float64(500 + i%37*1000)
		f.observe(tokens, 0.05+tokens/40000)
	}
	if got := f.rate(); math.Abs(got-40000) > 100 {
		t.Errorf("rate %v, want 40000 after it changed", got)
	}
}

// TestBegunAnswerFreesItsPrompt holds that a long prompt is counted against an
// endpoint until its answer begins, and no longer: before, it was counted by an
// estimate, seconds too long.
func TestBegunAnswerFreesItsPrompt(t *testing.T) {
	s := discovered(2, 4)
	var out event.Effects
	long := func(k *event.Ticket) { k.PromptTokens = 8000 }
	s.Step(0, call(1, long), &out)
	first := out.Grants[0].Endpoint
	out.Reset()
	s.Step(0, call(2, nil), &out)
	if out.Grants[0].Endpoint == first {
		t.Error("a short request was placed behind a long prompt")
	}
	s.Step(0, &event.Finished{ID: "r2", Pool: pool}, &out)
	now := event.Time(100 * event.Millisecond)
	s.Step(now, &event.Begun{ID: "r1", Pool: pool, After: 100 * event.Millisecond}, &out)
	out.Reset()
	s.Step(now, call(4, nil), &out)
	if out.Grants[0].Endpoint != first {
		t.Errorf("placed at %s, %s has read its prompt", out.Grants[0].Endpoint, first)
	}
}

// TestRequestWaitsForAnEndpointWhereItIsInTime holds that a place behind a prompt
// that would make a request late is not taken while another comes free soon.
func TestRequestWaitsForAnEndpointWhereItIsInTime(t *testing.T) {
	s := discovered(2, 2)
	var out event.Effects
	s.Step(0, call(1, func(k *event.Ticket) { k.PromptTokens = 40000; k.Target = 10 * event.Second }), &out)
	busy := out.Grants[0].Endpoint
	for i := 2; i <= 3; i++ {
		s.Step(0, call(i, nil), &out)
	}
	out.Reset()
	s.Step(0, call(4, func(k *event.Ticket) { k.Patience = 0 }), &out)
	if len(out.Grants) != 0 {
		t.Fatalf("granted %+v behind a prompt of four seconds, its target is one", out.Grants)
	}
	s.Step(0, &event.Finished{ID: "r2", Pool: pool}, &out)
	if len(out.Grants) != 1 || out.Grants[0].Endpoint == busy {
		t.Errorf("grants %+v, want the endpoint that came free", out.Grants)
	}
	// One that can be in time nowhere takes what there is.
	out.Reset()
	s.Step(0, call(5, func(k *event.Ticket) { k.PromptTokens = 40000 }), &out)
	if len(out.Grants) != 1 {
		t.Error("a request that is late everywhere does not take the place that is free")
	}
}

// TestPaceOfReadingIsLearned: an endpoint that reads slower than its speed says is
// expected to do so with the next prompts, for a while.
func TestPaceOfReadingIsLearned(t *testing.T) {
	var p prefillSlowness
	if p.get(0) != 1 {
		t.Errorf("pace %v without a sample", p.get(0))
	}
	now := event.Time(0)
	for range 30 {
		now = now.Add(100 * event.Millisecond)
		p.observe(now, 2)
	}
	if got := p.get(now); got < 1.9 || got > 2 {
		t.Errorf("pace %v after samples of 2", got)
	}
	if got := p.get(now.Add(prefillSlownessMaxAge + event.Second)); got != 1 {
		t.Errorf("pace %v, the samples are too old", got)
	}
}
