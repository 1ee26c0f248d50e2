// SPDX-License-Identifier: MIT

package sched

import (
	"math"
	"testing"

	"lynxramp.org/event"
)

func TestPrefillQueueIsSequential(t *testing.T) {
	var r prefillQueue
	a, b := &grant{prefillWork: 1}, &grant{prefillWork: 2}
	r.add(0, a)
	r.add(event.Time(event.Second/2), b)
	if r.work != 3 || r.headWork() != 1 || r.headSince != 0 {
		t.Errorf("work %v, first %v, since %v", r.work, r.headWork(), r.headSince)
	}
	r.remove(event.Time(event.Second), a)
	if r.work != 2 || r.headWork() != 2 || r.headSince != event.Time(event.Second) {
		t.Errorf("after one prefill: work %v, first %v, since %v", r.work, r.headWork(), r.headSince)
	}
	r.remove(event.Time(2*event.Second), a) // already removed
	r.remove(event.Time(2*event.Second), b)
	if r.work != 0 || r.headWork() != 0 {
		t.Errorf("after all prefills: work %v, first %v", r.work, r.headWork())
	}
}

func TestPrefillRateExcludesOverhead(t *testing.T) {
	var f prefillFit
	if f.rate() != 0 {
		t.Error("rate is known without a sample")
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
		t.Errorf("rate %v, want 40000 after the change", got)
	}
}

// TestBegunResponseLeavesPrefillQueue checks that a prompt counts against its endpoint
// until its response begins, and no longer.
func TestBegunResponseLeavesPrefillQueue(t *testing.T) {
	s := discoveredPool(2, 4)
	var out event.Effects
	long := func(k *event.Ticket) { k.PromptTokens = 8000 }
	s.Step(0, submission(1, long), &out)
	first := out.Grants[0].Endpoint
	out.Reset()
	s.Step(0, submission(2, nil), &out)
	if out.Grants[0].Endpoint == first {
		t.Error("a short request was granted behind a long prefill")
	}
	s.Step(0, &event.Finished{ID: "r2", Pool: pool}, &out)
	now := event.Time(100 * event.Millisecond)
	s.Step(now, &event.Begun{ID: "r1", Pool: pool, After: 100 * event.Millisecond}, &out)
	out.Reset()
	s.Step(now, submission(4, nil), &out)
	if out.Grants[0].Endpoint != first {
		t.Errorf("granted to %s, but %s has finished its prefill", out.Grants[0].Endpoint, first)
	}
}

// TestWaitsForEndpointThatMeetsTarget guards against granting a request to an endpoint
// where queued prompts make it late, while another endpoint will be freed soon.
func TestWaitsForEndpointThatMeetsTarget(t *testing.T) {
	s := discoveredPool(2, 2)
	var out event.Effects
	s.Step(0, submission(1, func(k *event.Ticket) { k.PromptTokens = 40000; k.Target = 10 * event.Second }), &out)
	busy := out.Grants[0].Endpoint
	for i := 2; i <= 3; i++ {
		s.Step(0, submission(i, nil), &out)
	}
	out.Reset()
	s.Step(0, submission(4, func(k *event.Ticket) { k.Patience = 0 }), &out)
	if len(out.Grants) != 0 {
		t.Fatalf("granted %+v behind a prefill of 4 s with a target of 1 s", out.Grants)
	}
	s.Step(0, &event.Finished{ID: "r2", Pool: pool}, &out)
	if len(out.Grants) != 1 || out.Grants[0].Endpoint == busy {
		t.Errorf("grants %+v, want the endpoint that was freed", out.Grants)
	}
	// A request that is late at every endpoint takes the free one.
	out.Reset()
	s.Step(0, submission(5, func(k *event.Ticket) { k.PromptTokens = 40000 }), &out)
	if len(out.Grants) != 1 {
		t.Error("a request that is late at every endpoint was not granted to the free one")
	}
}

// TestPrefillSlowdownFollowsSamplesAndExpires checks that the factor follows its samples and expires.
func TestPrefillSlowdownFollowsSamplesAndExpires(t *testing.T) {
	var p prefillSlowdown
	if p.get(0) != 1 {
		t.Errorf("slowness %v without a sample", p.get(0))
	}
	now := event.Time(0)
	for range 30 {
		now = now.Add(100 * event.Millisecond)
		p.observe(now, 2)
	}
	if got := p.get(now); got < 1.9 || got > 2 {
		t.Errorf("slowness %v after samples of 2", got)
	}
	if got := p.get(now.Add(prefillSlowdownMaxAge + event.Second)); got != 1 {
		t.Errorf("slowness %v from expired samples, want 1", got)
	}
}
