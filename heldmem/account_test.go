// SPDX-License-Identifier: MIT

package heldmem

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

var testLimits = Limits{Total: 1000, MinRate: 100, Pause: event.Second}

// holding sums what is held of all kinds.
func (a *Account) holding() (responses, bodies int64) {
	return a.Held(KindResponse) + a.Held(KindStream) + a.Held(KindSocket), a.Held(KindBody)
}

// TestBoundsHold guards against an account that grants more than its limit, over random sequences of calls: only
// floors and sockets may exceed it. At the end nothing may be held, waited for, or being reclaimed.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(testLimits)
		now := event.Time(0)
		var open []*Response
		floors, bodies := int64(0), int64(0)
		floorOf := make(map[*Response]int64)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(event.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * event.Millisecond)
			n := int64(rapid.IntRange(1, 200).Draw(t, "bytes"))
			var r *Response
			if len(open) > 0 {
				r = open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
			}
			switch action := rapid.IntRange(0, 7).Draw(t, "action"); {
			case action == 0:
				if a.TryHold(KindBody, n) {
					bodies += n
				}
			case action == 1 && bodies >= n:
				a.Release(KindBody, n)
				bodies -= n
			case action == 2:
				opened := a.Open(now, KindStream, n, 10, func() {})
				open, floorOf[opened] = append(open, opened), n+10
				floors += n + 10
			case r == nil:
			case action == 3 && r.wait == nil:
				r.Hold(n)
			case action == 4 && r.held >= n && r.held-n >= r.floor:
				r.Release(n)
			case action == 5:
				r.Took(now, n)
			case action == 6:
				a.Reclaim(now, n)
			case action == 7:
				r.Close()
				floors -= floorOf[r]
				delete(floorOf, r)
				open = deleteOne(open, r)
			}
			responses, heldBodies := a.holding()
			if responses-floors > 750 || heldBodies > 750 || responses+heldBodies-floors > 1000 || heldBodies != bodies {
				t.Fatalf("responses hold %d with floors of %d, bodies %d of %d", responses, floors, heldBodies, bodies)
			}
		}
		for _, r := range open {
			r.Close()
		}
		a.Release(KindBody, bodies)
		if r, b := a.holding(); r != 0 || b != 0 || a.wanted != 0 || a.reclaiming != 0 || a.waiting.Len() != 0 || len(a.responses) != 0 {
			t.Fatalf("at the end %d and %d are held, %d wanted, %d are being reclaimed", r, b, a.wanted, a.reclaiming)
		}
	})
}

func deleteOne(list []*Response, r *Response) []*Response {
	var rest []*Response
	for _, x := range list {
		if x != r {
			rest = append(rest, x)
		}
	}
	return rest
}

// TestConcurrentUse guards against a lost grant or a leak when goroutines hold, wait, are cut and close at once.
func TestConcurrentUse(t *testing.T) {
	a := NewAccount(testLimits)
	clock := event.NewClock()
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for range 200 {
				isCut := make(chan struct{})
				r := a.Open(clock.Now(), KindStream, 10, 5, func() { close(isCut) })
				for range random.IntN(6) {
					w := r.Hold(int64(1 + random.IntN(100)))
					if w == nil {
						continue
					}
					a.Reclaim(clock.Now().Add(5*event.Second), 0)
					select {
					case <-w.Granted():
					case <-isCut:
					case <-time.After(time.Millisecond):
					}
					break // it waits for one grant at a time
				}
				if a.TryHold(KindBody, 50) {
					a.Release(KindBody, 50)
				}
				r.Close()
				r.Close()
			}
		})
	}
	wg.Wait()
	if r, b := a.holding(); r != 0 || b != 0 || a.reclaiming != 0 || a.wanted != 0 {
		t.Errorf("%d and %d bytes are still held, %d are being reclaimed, %d are wanted", r, b, a.reclaiming, a.wanted)
	}
}

// TestReclaimTakesLargestSlowest guards against a cut of a caller that reads, or that paused only briefly, and
// against cutting more than is wanted.
func TestReclaimTakesLargestSlowest(t *testing.T) {
	a := NewAccount(testLimits)
	var cut []string
	open := func(name string, held int64) *Response {
		r := a.Open(0, KindStream, 0, 0, func() { cut = append(cut, name) })
		if r.Hold(held) != nil {
			t.Fatalf("%s is not granted %d bytes", name, held)
		}
		return r
	}
	reading, small, large := open("reading", 300), open("small", 100), open("large", 300)
	for at := event.Time(0); at <= event.Time(3*event.Second); at = at.Add(100 * event.Millisecond) {
		reading.Took(at, 15)
	}
	now := event.Time(3 * event.Second)
	paused := a.Open(now, KindStream, 0, 0, func() { cut = append(cut, "paused") })
	w := paused.Hold(200)
	if w == nil {
		t.Fatal("200 bytes were granted beyond the limit of responses")
	}
	if n := a.Reclaim(event.Time(900*event.Millisecond), 0); n != 0 {
		t.Fatalf("%v were cut before their pause ended", cut)
	}
	a.Reclaim(now, 0)
	a.Reclaim(now, 0) // what is being released counts
	if len(cut) != 1 || cut[0] != "large" {
		t.Fatalf("%v were cut, want the one that holds most and takes nothing", cut)
	}
	large.Close()
	select {
	case <-w.Granted():
	default:
		t.Error("the memory of the cut response was not granted to the one that waits")
	}
	small.Close()
	reading.Close()
	paused.Close()
}

// TestBodiesAndResponsesLeaveRoom guards against one side that takes the whole limit.
func TestBodiesAndResponsesLeaveRoom(t *testing.T) {
	a := NewAccount(testLimits)
	if a.TryHold(KindBody, 751) || !a.TryHold(KindBody, 750) {
		t.Error("bodies can't hold exactly three quarters")
	}
	if !a.FullOfBodies(1) {
		t.Error("the account is not full of bodies")
	}
	if a.TryHold(KindResponse, 251) || !a.TryHold(KindResponse, 250) {
		t.Error("responses can't hold exactly the rest")
	}
}
