// SPDX-License-Identifier: MIT

package proc

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lynxramp.org/catalog"
)

const completions = "/v1/completions"

// TestCutConnections cuts every connection between entries and slots, again and
// again, while answers stream. Each is still whole and ran once.
func TestCutConnections(t *testing.T) {
	c := newCluster(t, shape{boxes: 2, controls: 1, engines: []float64{2, 1}, relays: true})
	o := c.newOracle()
	l := c.startLoad(20, 40, 0, 1)
	for range 10 {
		l.more(4)
		for _, r := range c.relays {
			r.cut()
		}
	}
	for _, a := range l.end() {
		o.check(t, completions, a)
		c.checkOnce(a)
	}
}

// TestEngineCutsAnswers makes an engine drop each answer's connection once, and
// another answer late and out of order.
func TestEngineCutsAnswers(t *testing.T) {
	c := newCluster(t, shape{boxes: 1, controls: 1, engines: []float64{4, 4}})
	o := c.newOracle()
	c.faults(0, `{"drop_after_bytes": 700}`)
	c.faults(1, `{"late_ms": 40}`)
	l := c.startLoad(20, 12, 0)
	l.more(80)
	for _, a := range l.end() {
		o.check(t, completions, a)
		c.checkOnce(a)
	}
}

// TestKilledSlot kills a slot with answers under way. The callers of started
// requests are told "unknown" or see a cut answer, never "not run"; nothing runs
// twice; what waits is served by the other endpoint.
func TestKilledSlot(t *testing.T) {
	c := newCluster(t, shape{boxes: 1, controls: 1, engines: []float64{1, 1}})
	o := c.newOracle()
	l := c.startLoad(60, 30, 0)
	l.more(10)
	c.slots[0].kill()
	l.more(60)
	c.slots[0].start()
	l.more(60)
	whole := 0
	for _, a := range l.end() {
		c.checkOnce(a)
		switch {
		case a.err == nil && a.status == http.StatusOK:
			whole++
			o.check(t, completions, a)
		case a.err == nil && a.outcome() == "not-run" && c.starts(a.header.Get("Lynxramp-Request-Id")) > 0:
			t.Errorf("told not-run and ran: %s", a.body)
		}
	}
	t.Logf("%d whole answers of %d", whole, len(l.answers))
}

// TestTruthAboutPlainCalls kills the slot of a plain service while calls run
// there. The service cannot say what became of them: each caller is told
// "unknown", and each call ran once.
func TestTruthAboutPlainCalls(t *testing.T) {
	c := newCluster(t, shape{boxes: 1, controls: 1, engines: []float64{4}, services: 1, delay: 2 * time.Second})
	var mu sync.Mutex
	var answers []answer
	var wait sync.WaitGroup
	for n := range 10 {
		wait.Go(func() {
			a := c.call(0, http.MethodPost, "/svc/card-api/slow", fmt.Sprint(n), nil)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	c.wait("all calls run at the service", func() bool {
		load := send(context.Background(), http.MethodGet, "http://"+c.engine(1)+"/load", "", nil)
		return strings.Contains(string(load.body), `"running":10,`)
	})
	c.slots[1].kill()
	c.slots[1].start()
	wait.Wait()
	for _, a := range answers {
		n := c.starts(a.header.Get("Lynxramp-Request-Id"))
		if a.outcome() != "unknown" || a.endpoint() != "card-1" || n != 1 {
			t.Errorf("status %d, outcome %q at %q, dispatched %d times: %s", a.status, a.outcome(), a.endpoint(), n, a.body)
		}
	}
}

// TestRestartedSlot kills a slot with answers under way and starts it again at
// once. The engine has the answers still: each request that it was given is
// answered whole and ran once. "Unknown" is only said of those that the slot died
// with before it handed them over.
func TestRestartedSlot(t *testing.T) {
	c := newCluster(t, shape{boxes: 1, controls: 1, engines: []float64{1}})
	o := c.newOracle()
	l := c.startLoad(16, 40, 0)
	l.more(8)
	for range 3 {
		c.slots[0].kill()
		c.slots[0].start()
		l.more(20)
	}
	whole := 0
	answers := l.end()
	for _, a := range answers {
		c.checkOnce(a)
		if a.outcome() == "unknown" && c.starts(a.header.Get("Lynxramp-Request-Id")) == 0 {
			continue
		}
		whole++
		o.check(t, completions, a)
	}
	if whole < len(answers)/2 {
		t.Errorf("%d of %d answers are whole", whole, len(answers))
	}
}

// TestKilledEngine kills an engine. Requests that could not reach it run on the
// other one; none runs twice.
func TestKilledEngine(t *testing.T) {
	c := newCluster(t, shape{boxes: 1, controls: 1, engines: []float64{2, 2}})
	l := c.startLoad(30, 10, 0)
	l.more(20)
	c.engines[0].kill()
	l.more(100)
	failed := 0
	answers := l.end()
	for _, a := range answers {
		c.checkOnce(a)
		if a.status != http.StatusOK || a.err != nil {
			failed++
		}
	}
	if failed > 30 {
		t.Errorf("%d of %d calls failed", failed, len(answers))
	}
}

// TestNotRepeated sends each call that may not be repeated through both entries
// at once and again after the owner was killed. It runs once and every caller
// that gets an answer gets the same one.
func TestNotRepeated(t *testing.T) {
	c := newCluster(t, shape{boxes: 4, controls: 3, engines: []float64{4}, services: 2})
	at := c.waitLeader()
	other := (at + 1) % 3
	var mu sync.Mutex
	answers := make(map[int][]answer)
	call := func(n, box int) {
		h := header("Idempotency-Key", fmt.Sprint("tag-", n), "Lynxramp-No-Repeat", "1")
		a := c.call(box, http.MethodPost, "/svc/card-api/tag", fmt.Sprint("tag dish ", n), h)
		mu.Lock()
		defer mu.Unlock()
		answers[n] = append(answers[n], a)
	}
	var wait sync.WaitGroup
	round := func(boxes ...int) {
		for n := range 15 {
			for _, box := range boxes {
				wait.Go(func() { call(n, box) })
			}
		}
	}
	round(3, other)
	wait.Wait()
	c.boxes[at].kill()
	round(3, other)
	wait.Wait()
	for n, list := range answers {
		runs, served := 0, 0
		for _, a := range list {
			runs += c.starts(a.header.Get("Lynxramp-Request-Id"))
			if a.status == http.StatusOK {
				served++
				if want := fmt.Sprint("POST /tag\ntag dish ", n); string(a.body) != want {
					t.Errorf("call %d: %q", n, a.body)
				}
				continue
			}
			if a.status != http.StatusConflict || a.outcome() != "unknown" {
				t.Errorf("call %d: status %d, outcome %q, %v: %s", n, a.status, a.outcome(), a.err, a.body)
			}
		}
		if runs != 1 || served < 2 {
			t.Errorf("call %d ran %d times and was answered %d times of %d", n, runs, served, len(list))
		}
	}
}

// TestKeyReused sends other content under a key that was used.
func TestKeyReused(t *testing.T) {
	c := newCluster(t, shape{boxes: 1, controls: 1, engines: []float64{4}, services: 1})
	h := header("Idempotency-Key", "one")
	c.call(0, http.MethodPost, "/svc/card-api/a", "content", h)
	a := c.call(0, http.MethodPost, "/svc/card-api/a", "other content", h)
	if a.status != http.StatusUnprocessableEntity || a.outcome() != "not-run" {
		t.Errorf("status %d, outcome %q: %s", a.status, a.outcome(), a.body)
	}
}

// TestPlannedStops stops an entry, the owner, and a slot, one after the other,
// with requests in flight. Nothing is cut.
func TestPlannedStops(t *testing.T) {
	c := newCluster(t, shape{boxes: 5, controls: 3, engines: []float64{2, 2}})
	o := c.newOracle()
	at := c.waitLeader()
	var entries []int
	for i := range 4 {
		if i != at {
			entries = append(entries, i)
		}
	}
	l := c.startLoad(24, 20, entries...)
	dying := c.startLoad(8, 20, 4)
	l.more(24)
	dying.more(8)
	close(dying.stop) // its callers finish what they asked; the balancer sends no more
	c.boxes[4].stop()
	dying.wait.Wait()
	l.more(24)
	began := time.Now()
	c.boxes[at].ended = true
	c.boxes[at].signal(syscall.SIGTERM)
	c.waitLeader(at)
	t.Logf("a new owner %v after the order to stop", time.Since(began))
	c.boxes[at].waitExit()
	l.more(24)
	c.slots[0].stop()
	l.more(24)
	for _, a := range append(l.end(), dying.answers...) {
		o.check(t, completions, a)
		c.checkOnce(a)
	}
}

// TestKilledEntry kills an entry with requests in flight. Nothing of it stays
// on the engines for long and the other entry serves on.
func TestKilledEntry(t *testing.T) {
	c := newCluster(t, shape{boxes: 2, controls: 1, engines: []float64{1}})
	o := c.newOracle()
	doomed := c.startLoad(30, 2000, 1)
	c.wait("the engine is full", func() bool {
		return len(c.show(0).Pools) == 2 && c.show(0).Pools[1].Running >= 16
	})
	c.boxes[1].kill()
	doomed.end()
	a := c.call(0, http.MethodPost, completions, completion("after the loss", 5, true), nil)
	o.check(t, completions, a)
}

// TestHangUp checks that a request whose caller went away leaves queue and
// engine.
func TestHangUp(t *testing.T) {
	c := newCluster(t, shape{boxes: 1, controls: 1, engines: []float64{1}})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range 40 {
		wait.Go(func() {
			send(ctx, http.MethodPost, "http://"+c.caller(0)+completions, completion(fmt.Sprint(i), 5000, true), header("Lynxramp-Deadline-Ms", "600000"))
		})
	}
	busy := func() (uint32, uint32) {
		for _, p := range c.show(0).Pools {
			if p.Name == "chef" {
				return p.Waiting, p.Running
			}
		}
		return 0, 0
	}
	c.wait("requests run and wait", func() bool { w, r := busy(); return w == 24 && r == 16 })
	cancel()
	wait.Wait()
	c.wait("nothing runs or waits", func() bool { w, r := busy(); return w == 0 && r == 0 })
}

// TestShedAtOnce fills a small queue. What is given up is answered at once with
// when to come back, and no gold request while a bronze one waits.
func TestShedAtOnce(t *testing.T) {
	c := newCluster(t, shape{boxes: 2, controls: 1, engines: []float64{1}, catalog: func(k *catalog.Catalog) {
		k.Pools[0].MaxWaiting = 20
	}})
	type outcome struct {
		answer
		tier  string
		began time.Time
	}
	var mu sync.Mutex
	var all []outcome
	var wait sync.WaitGroup
	call := func(i int, team string) {
		began := time.Now()
		a := c.call(i%2, http.MethodPost, completions, completion(fmt.Sprint(team, i), 30, true), header("Authorization", "Bearer "+team))
		mu.Lock()
		defer mu.Unlock()
		all = append(all, outcome{answer: a, tier: team, began: began})
	}
	c.wait("the settling time is over", func() bool {
		return c.call(0, http.MethodPost, completions, completion("x", 1, false), nil).status == http.StatusOK &&
			time.Since(c.started) > 3*time.Second
	})
	for i := range 60 {
		wait.Go(func() { call(i, "bronze-team") })
	}
	c.wait("bronze requests were shed", func() bool { mu.Lock(); defer mu.Unlock(); return len(all) >= 20 })
	for i := range 20 {
		wait.Go(func() { call(i, "gold-team") })
	}
	wait.Wait()
	shed := 0
	for _, o := range all {
		switch {
		case o.status == http.StatusOK:
		case o.status == http.StatusTooManyRequests && o.header.Get("Retry-After") != "" && strings.Contains(string(o.body), `"shed"`):
			shed++
			if o.tier == "gold-team" {
				t.Errorf("a gold request was shed")
			}
		default:
			t.Errorf("%s: status %d, %v: %s", o.tier, o.status, o.err, o.body)
		}
		c.checkOnce(o.answer)
	}
	if shed < 20 {
		t.Errorf("%d requests were shed", shed)
	}
}

// TestKeysAreNeeded calls the inner paths without a key.
func TestKeysAreNeeded(t *testing.T) {
	c := newCluster(t, shape{boxes: 1, controls: 1, engines: []float64{4}})
	for _, url := range []string{
		"http://" + c.box(0) + "/twirp/lynxramp.Scheduler/Report",
		"http://" + c.box(0) + "/twirp/lynxramp.Control/Deliver",
		"http://" + c.box(0) + "/twirp/lynxramp.Operator/Apply",
		"http://" + c.slot(0) + "/v1/run",
	} {
		if a := send(context.Background(), http.MethodPost, url, "{}", nil); a.status != http.StatusUnauthorized {
			t.Errorf("%s without a key: status %d", url, a.status)
		}
	}
}
