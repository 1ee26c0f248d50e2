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

// TestDroppedSlotConnections guards against incomplete responses and repeated requests
// when all connections between entries and slots are closed while responses stream.
func TestDroppedSlotConnections(t *testing.T) {
	c := newCluster(t, topology{boxes: 2, controls: 1, engines: []float64{2, 1}, relays: true})
	o := c.newOracle()
	l := c.startLoad(20, 40, 0, 1)
	for range 10 {
		l.waitMore(4)
		for _, r := range c.relays {
			r.disconnect()
		}
	}
	for _, a := range l.finish() {
		o.check(t, completions, a)
		c.checkAtMostOnce(a)
	}
}

// TestEngineDropsResponses guards against incomplete responses and repeated requests
// when one engine drops the connection of each response once and another responds late
// and out of order.
func TestEngineDropsResponses(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{4, 4}})
	o := c.newOracle()
	c.setFaults(0, `{"drop_after_bytes": 700}`)
	c.setFaults(1, `{"late_ms": 40}`)
	l := c.startLoad(20, 12, 0)
	l.waitMore(80)
	for _, a := range l.finish() {
		o.check(t, completions, a)
		c.checkAtMostOnce(a)
	}
}

// TestKilledSlot guards against the outcome "not-run" for a request that ran, and
// against repeated requests, when a slot is killed with responses in flight. Queued
// requests run on the other endpoint.
func TestKilledSlot(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{1, 1}})
	o := c.newOracle()
	l := c.startLoad(60, 30, 0)
	l.waitMore(10)
	c.slots[0].kill()
	l.waitMore(60)
	c.slots[0].start()
	l.waitMore(60)
	complete := 0
	for _, a := range l.finish() {
		c.checkAtMostOnce(a)
		switch {
		case a.err == nil && a.status == http.StatusOK:
			complete++
			o.check(t, completions, a)
		case a.err == nil && a.outcome() == "not-run" && c.dispatches(a.header.Get("Lynxramp-Request-Id")) > 0:
			t.Errorf("outcome not-run, but the request ran: %s", a.body)
		}
	}
	t.Logf("%d of %d responses are complete", complete, len(l.results))
}

// TestUnknownOutcomeOfPlainCalls guards against a wrong outcome or a repeated call when
// the slot of a plain service is killed. The service cannot report the outcome of
// earlier calls, so each caller gets "unknown", and each call ran once.
func TestUnknownOutcomeOfPlainCalls(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{4}, services: 1, delay: 2 * time.Second})
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	for n := range 10 {
		wg.Go(func() {
			a := c.call(0, http.MethodPost, "/svc/card-api/slow", fmt.Sprint(n), nil)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, a)
		})
	}
	c.waitFor("all calls run at the service", func() bool {
		load := send(context.Background(), http.MethodGet, "http://"+c.engineAddress(1)+"/load", "", nil)
		return strings.Contains(string(load.body), `"running":10,`)
	})
	c.slots[1].kill()
	c.slots[1].start()
	wg.Wait()
	for _, a := range results {
		n := c.dispatches(a.header.Get("Lynxramp-Request-Id"))
		if a.outcome() != "unknown" || a.endpoint() != "card-1" || n != 1 {
			t.Errorf("status %d, outcome %q at %q, dispatched %d times: %s", a.status, a.outcome(), a.endpoint(), n, a.body)
		}
	}
}

// TestRestartedSlot guards against lost responses when a slot is killed and restarted
// at once. The engine still has the responses, so each request that it received
// completes and ran once. The outcome is "unknown" only for requests that the slot had
// not sent to the engine.
func TestRestartedSlot(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{1}})
	o := c.newOracle()
	l := c.startLoad(16, 40, 0)
	l.waitMore(8)
	for range 3 {
		c.slots[0].kill()
		c.slots[0].start()
		l.waitMore(20)
	}
	complete := 0
	results := l.finish()
	for _, a := range results {
		c.checkAtMostOnce(a)
		if a.outcome() == "unknown" && c.dispatches(a.header.Get("Lynxramp-Request-Id")) == 0 {
			continue
		}
		complete++
		o.check(t, completions, a)
	}
	if complete < len(results)/2 {
		t.Errorf("%d of %d responses are complete", complete, len(results))
	}
}

// TestKilledEngine guards against repeated requests and against failures of requests
// that could run on the other engine when one is killed.
func TestKilledEngine(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{2, 2}})
	l := c.startLoad(30, 10, 0)
	l.waitMore(20)
	c.engines[0].kill()
	l.waitMore(100)
	failed := 0
	results := l.finish()
	for _, a := range results {
		c.checkAtMostOnce(a)
		if a.status != http.StatusOK || a.err != nil {
			failed++
		}
	}
	if failed > 30 {
		t.Errorf("%d of %d calls failed", failed, len(results))
	}
}

// TestNoRepeatRunsOnce guards against a second run of a call that may not be repeated.
// It is sent through two entries at once and again after the owner is killed; every
// successful response is the same.
func TestNoRepeatRunsOnce(t *testing.T) {
	c := newCluster(t, topology{boxes: 4, controls: 3, engines: []float64{4}, services: 2})
	leader := c.waitLeader()
	other := (leader + 1) % 3
	var mu sync.Mutex
	results := make(map[int][]result)
	call := func(n, box int) {
		h := header("Idempotency-Key", fmt.Sprint("tag-", n), "Lynxramp-No-Repeat", "1")
		a := c.call(box, http.MethodPost, "/svc/card-api/tag", fmt.Sprint("tag dish ", n), h)
		mu.Lock()
		defer mu.Unlock()
		results[n] = append(results[n], a)
	}
	var wg sync.WaitGroup
	round := func(boxes ...int) {
		for n := range 15 {
			for _, box := range boxes {
				wg.Go(func() { call(n, box) })
			}
		}
	}
	round(3, other)
	wg.Wait()
	c.boxes[leader].kill()
	round(3, other)
	wg.Wait()
	for n, list := range results {
		runs, served := 0, 0
		for _, a := range list {
			runs += c.dispatches(a.header.Get("Lynxramp-Request-Id"))
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
			t.Errorf("call %d ran %d times, and %d of %d calls succeeded", n, runs, served, len(list))
		}
	}
}

// TestIdempotencyKeyReused guards against running or replaying a request whose
// idempotency key was used for another body.
func TestIdempotencyKeyReused(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{4}, services: 1})
	h := header("Idempotency-Key", "one")
	c.call(0, http.MethodPost, "/svc/card-api/a", "content", h)
	a := c.call(0, http.MethodPost, "/svc/card-api/a", "other content", h)
	if a.status != http.StatusUnprocessableEntity || a.outcome() != "not-run" {
		t.Errorf("status %d, outcome %q: %s", a.status, a.outcome(), a.body)
	}
}

// TestGracefulShutdown guards against failed requests when an entry, the owner and a
// slot are stopped one after the other with requests in flight.
func TestGracefulShutdown(t *testing.T) {
	c := newCluster(t, topology{boxes: 5, controls: 3, engines: []float64{2, 2}})
	o := c.newOracle()
	leader := c.waitLeader()
	var entries []int
	for i := range 4 {
		if i != leader {
			entries = append(entries, i)
		}
	}
	l := c.startLoad(24, 20, entries...)
	stopping := c.startLoad(8, 20, 4)
	l.waitMore(24)
	stopping.waitMore(8)
	close(stopping.stop) // requests in flight finish; no new ones follow, as behind a load balancer
	c.boxes[4].stop()
	stopping.wait.Wait()
	l.waitMore(24)
	began := time.Now()
	c.boxes[leader].exitExpected = true
	c.boxes[leader].signal(syscall.SIGTERM)
	c.waitLeader(leader)
	t.Logf("a new owner %v after SIGTERM", time.Since(began))
	c.boxes[leader].waitExit()
	l.waitMore(24)
	c.slots[0].stop()
	l.waitMore(24)
	for _, a := range append(l.finish(), stopping.results...) {
		o.check(t, completions, a)
		c.checkAtMostOnce(a)
	}
}

// TestKilledEntry guards against requests of a killed entry that keep the engines
// busy: requests of the other entry must still be served.
func TestKilledEntry(t *testing.T) {
	c := newCluster(t, topology{boxes: 2, controls: 1, engines: []float64{1}})
	o := c.newOracle()
	killed := c.startLoad(30, 2000, 1)
	c.waitFor("the engine is full", func() bool {
		return len(c.show(0).Pools) == 2 && c.show(0).Pools[1].Running >= 16
	})
	c.boxes[1].kill()
	killed.finish()
	a := c.call(0, http.MethodPost, completions, completion("after the loss", 5, true), nil)
	o.check(t, completions, a)
}

// TestCallerDisconnects guards against requests that stay queued or running after
// their callers disconnected.
func TestCallerDisconnects(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{1}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			send(ctx, http.MethodPost, "http://"+c.callerAddress(0)+completions, completion(fmt.Sprint(i), 5000, true), header("Lynxramp-Deadline-Ms", "600000"))
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
	c.waitFor("requests run and wait", func() bool { w, r := busy(); return w == 24 && r == 16 })
	cancel()
	wg.Wait()
	c.waitFor("nothing runs or waits", func() bool { w, r := busy(); return w == 0 && r == 0 })
}

// TestShedRequestsGetRetryAfter guards against shed requests without Retry-After, and
// against shedding gold requests while bronze ones wait.
func TestShedRequestsGetRetryAfter(t *testing.T) {
	c := newCluster(t, topology{boxes: 2, controls: 1, engines: []float64{1}, catalog: func(k *catalog.Catalog) {
		k.Pools[0].MaxWaiting = 20
	}})
	type outcome struct {
		result
		tier  string
		began time.Time
	}
	var mu sync.Mutex
	var all []outcome
	var wg sync.WaitGroup
	call := func(i int, team string) {
		began := time.Now()
		a := c.call(i%2, http.MethodPost, completions, completion(fmt.Sprint(team, i), 30, true), header("Authorization", "Bearer "+team))
		mu.Lock()
		defer mu.Unlock()
		all = append(all, outcome{result: a, tier: team, began: began})
	}
	c.waitFor("the settling time to pass", func() bool {
		return c.call(0, http.MethodPost, completions, completion("x", 1, false), nil).status == http.StatusOK &&
			time.Since(c.started) > 3*time.Second
	})
	for i := range 60 {
		wg.Go(func() { call(i, "bronze-team") })
	}
	c.waitFor("bronze requests were shed", func() bool { mu.Lock(); defer mu.Unlock(); return len(all) >= 20 })
	for i := range 20 {
		wg.Go(func() { call(i, "gold-team") })
	}
	wg.Wait()
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
		c.checkAtMostOnce(o.result)
	}
	if shed < 20 {
		t.Errorf("%d requests were shed", shed)
	}
}

// TestInternalPathsRequireKey guards against internal paths that can be called without
// a key.
func TestInternalPathsRequireKey(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{4}})
	for _, url := range []string{
		"http://" + c.boxAddress(0) + "/twirp/lynxramp.Scheduler/Report",
		"http://" + c.boxAddress(0) + "/twirp/lynxramp.Control/Deliver",
		"http://" + c.boxAddress(0) + "/twirp/lynxramp.Operator/Apply",
		"http://" + c.slotListenAddress(0) + "/v1/run",
	} {
		if a := send(context.Background(), http.MethodPost, url, "{}", nil); a.status != http.StatusUnauthorized {
			t.Errorf("%s without a key: status %d", url, a.status)
		}
	}
}
