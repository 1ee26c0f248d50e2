// SPDX-License-Identifier: MIT

package proc

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
)

// load sends completions through boxes, half of them streamed, until stop is closed,
// and keeps the results.
type load struct {
	c       *cluster
	stop    chan struct{}
	wait    sync.WaitGroup
	mu      sync.Mutex
	results []result
}

func (c *cluster) startLoad(callers, tokens int, boxes ...int) *load {
	l := &load{c: c, stop: make(chan struct{})}
	for i := range callers {
		l.wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				prompt := fmt.Sprintf("caller %d asks %d %s", i, n, strings.Repeat("word ", i))
				a := c.call(boxes[i%len(boxes)], http.MethodPost, "/v1/completions", completion(prompt, tokens, n%2 == 0), nil)
				l.mu.Lock()
				l.results = append(l.results, a)
				l.mu.Unlock()
			}
		})
	}
	return l
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// waitMore waits until n more calls have returned.
func (l *load) waitMore(n int) {
	l.c.t.Helper()
	from := l.count()
	l.c.waitFor(fmt.Sprintf("%d more responses", n), func() bool { return l.count() >= from+n })
}

// finish stops the load and returns all results.
func (l *load) finish() []result {
	close(l.stop)
	l.wait.Wait()
	return l.results
}

// TestKilledOwner guards against lost, incomplete or repeated requests when the
// owner is killed while requests wait for its grants.
func TestKilledOwner(t *testing.T) {
	c := newCluster(t, topology{boxes: 4, controls: 3, engines: []float64{4, 2}, services: 1})
	o := c.newOracle()
	leader := c.waitLeader()
	others := []int{3}
	for i := range 3 {
		if i != leader {
			others = append(others, i)
		}
	}
	l := c.startLoad(40, 8, others...)
	l.waitMore(50)
	c.boxes[leader].kill()
	began := time.Now()
	c.waitLeader(leader)
	t.Logf("a new owner after %v", time.Since(began))
	l.waitMore(100)
	for _, a := range l.finish() {
		o.check(t, "/v1/completions", a)
		c.checkAtMostOnce(a)
	}
}

// TestFrozenOwner guards against two owners and lost changes when the owner is
// frozen beyond its lease and resumes after another was elected.
func TestFrozenOwner(t *testing.T) {
	c := newCluster(t, topology{boxes: 4, controls: 3, engines: []float64{4, 2}})
	o := c.newOracle()
	leader := c.waitLeader()
	l := c.startLoad(20, 8, 3)
	l.waitMore(20)
	c.boxes[leader].signal(syscall.SIGSTOP)
	began := time.Now()
	next := c.waitLeader(leader)
	t.Logf("a new owner after %v", time.Since(began))
	version := c.show(next).Version
	r := c.apply("while-frozen", version, teamChange(1))
	if r.Version != version+1 {
		t.Fatalf("the command while the owner is frozen got %v", r)
	}
	l.waitMore(20)
	c.boxes[leader].signal(syscall.SIGCONT)
	c.waitFor("the old owner has the new catalog and does not lead", func() bool {
		s := c.show(leader)
		return s.Version == version+1 && !s.Leads
	})
	l.waitMore(20)
	for _, a := range l.finish() {
		o.check(t, "/v1/completions", a)
		c.checkAtMostOnce(a)
	}
	if s := c.show(c.waitLeader()); s.Version != version+1 {
		t.Errorf("the catalog went from version %d to %d", version+1, s.Version)
	}
}

// TestPartitionedOwner guards against two owners, lost changes and repeated requests
// when the owner is partitioned from the other control boxes, in both directions or
// one, while entries and slots still reach it.
func TestPartitionedOwner(t *testing.T) {
	c := newCluster(t, topology{boxes: 4, controls: 3, engines: []float64{4, 2}, controlRelays: true})
	o := c.newOracle()
	l := c.startLoad(20, 8, 3)
	version := c.show(c.waitLeader()).Version
	for n, direction := range []struct{ from, to bool }{{true, true}, {true, false}} {
		leader := c.waitLeader()
		l.waitMore(20)
		c.partition(leader, direction.from, direction.to)
		next := c.waitLeader(leader)
		if r := c.apply(fmt.Sprint("cut-", n), version, teamChange(n)); r.Version != version+1 {
			t.Fatalf("the command while the owner is partitioned got %v", r)
		}
		version++
		if s := c.show(leader); s.Leads {
			t.Errorf("the partitioned box reports that it leads, and so does box %d", next)
		}
		l.waitMore(20)
		c.partition(leader, false, false)
		c.waitFor("the old owner has the new catalog", func() bool { return c.show(leader).Version == version })
	}
	for _, a := range l.finish() {
		o.check(t, completions, a)
		c.checkAtMostOnce(a)
	}
}

// waitVoters waits until all three control boxes are voters, with no learner left, and
// the given box has a catalog version.
func (c *cluster) waitVoters(leader, box int, version uint64) {
	c.t.Helper()
	c.waitFor("three voters, and the wiped box has the catalog", func() bool {
		s := c.show(leader)
		return len(s.GetMembers().GetVoters()) == 3 && len(s.Members.Learners) == 0 && c.show(box).Version == version
	})
}

// TestWipedDisk guards against lost changes when a box returns with an empty disk
// and another loses its disk as soon as the first is a voter again.
func TestWipedDisk(t *testing.T) {
	c := newCluster(t, topology{boxes: 3, controls: 3, engines: []float64{4}})
	leader := c.waitLeader()
	version := c.show(leader).Version
	for n := range 5 {
		c.apply(fmt.Sprint("before-", n), version, teamChange(n))
		version++
	}
	lost, second := (leader+1)%3, (leader+2)%3
	c.boxes[lost].kill()
	c.wipe(lost)
	c.boxes[lost].start()
	c.waitVoters(leader, lost, version)
	// The second loss follows at once; accepted changes must survive it.
	c.boxes[second].kill()
	c.wipe(second)
	r := c.apply("after", version, teamChange(9))
	if r.Version != version+1 {
		t.Errorf("the command after a second disk loss got %v", r)
	}
	c.boxes[second].start()
	c.waitVoters(leader, second, version+1)
	c.boxes[leader].kill()
	if next := c.waitLeader(leader); c.show(next).Version != version+1 {
		t.Errorf("version %d after the loss of the leader, want %d", c.show(next).Version, version+1)
	}
}

// TestNoSecondGroupAfterDiskLoss guards against two boxes with empty disks that
// bootstrap a second group while the third is down. When it is back there is still
// no quorum and no leader. Then the operators' recovery restores the group.
func TestNoSecondGroupAfterDiskLoss(t *testing.T) {
	c := newCluster(t, topology{boxes: 3, controls: 3, engines: []float64{4}})
	version := c.show(c.waitLeader()).Version
	for i := range 3 {
		c.boxes[i].kill()
	}
	c.wipe(0)
	c.wipe(1)
	c.boxes[0].start()
	c.boxes[1].start()
	c.waitFor("both wiped boxes log that they wait for the others", func() bool {
		return strings.Contains(tail(c.boxes[0].logFile), "waiting for the other control boxes") &&
			strings.Contains(tail(c.boxes[1].logFile), "waiting for the other control boxes")
	})
	c.boxes[2].start()
	c.waitFor("the third logs that it has no quorum", func() bool {
		return strings.Contains(tail(c.boxes[2].logFile), "no quorum")
	})
	if leader := c.findLeader(); leader >= 0 {
		t.Errorf("box %d leads after a majority of disks was lost", leader)
	}
	// Recovery: the third box becomes the only voter, and the others join it.
	for i := range 3 {
		c.boxes[i].kill()
	}
	c.wipe(0)
	c.wipe(1)
	recovery := exec.Command(filepath.Join(binDir, "lynxramp"), "recover", "--yes", filepath.Join(c.dir, "box-2.yaml"))
	if out, err := recovery.CombinedOutput(); err != nil {
		t.Fatalf("recover: %v\n%s", err, out)
	}
	for i := range 3 {
		c.boxes[i].start()
	}
	c.waitVoters(c.waitLeader(), 0, version)
	if s := c.show(c.waitLeader()); s.Version != version {
		t.Errorf("version %d after the recovery, want %d", s.Version, version)
	}
}

// TestConcurrentCommands guards against more than one accepted command for one
// expected version, and against retries with other results.
func TestConcurrentCommands(t *testing.T) {
	c := newCluster(t, topology{boxes: 3, controls: 3, engines: []float64{4}})
	version := c.show(c.waitLeader()).Version
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := make(map[string]bool)
	conflicts := make(map[string]bool)
	for n := range 12 {
		wg.Go(func() {
			id := fmt.Sprint("race-", n)
			r := c.apply(id, version, teamChange(n))
			again := c.apply(id, version, teamChange(n))
			mu.Lock()
			defer mu.Unlock()
			if r.Conflict == "" && r.Version == version+1 {
				accepted[id+" by test"] = true
			} else {
				conflicts[r.Conflict] = true
			}
			if !again.Again || again.Version != r.Version || again.Conflict != r.Conflict {
				t.Errorf("%s: retry returned %v, first call %v", id, again, r)
			}
		})
	}
	wg.Wait()
	if len(accepted) != 1 || len(conflicts) != 1 {
		t.Fatalf("%d commands accepted, conflicts reported with %v", len(accepted), conflicts)
	}
	for id := range conflicts {
		if !accepted[id] {
			t.Errorf("the conflict names %q, accepted was %v", id, accepted)
		}
	}
}

// TestRestartAfterManyChanges guards against a control box and an entry that don't
// catch up after they missed 500 changes.
func TestRestartAfterManyChanges(t *testing.T) {
	c := newCluster(t, topology{boxes: 4, controls: 3, engines: []float64{4}})
	leader := c.waitLeader()
	away := (leader + 1) % 3
	c.boxes[away].kill()
	c.boxes[3].kill()
	version := c.show(leader).Version
	for n := range 500 {
		if r := c.apply(fmt.Sprint("change-", n), version, teamChange(n%7)); r.Version != version+1 {
			t.Fatalf("change %d got %v", n, r)
		}
		version++
	}
	began := time.Now()
	c.boxes[away].start()
	c.boxes[3].start()
	c.waitFor("the control box has all changes", func() bool { return c.show(away).Version == version })
	c.waitFor("the entries apply all changes", func() bool {
		boxes := c.show(c.waitLeader()).Boxes
		for _, b := range boxes {
			if b.Version != version && b.SilentMs < 2000 {
				return false
			}
		}
		return len(boxes) == 4
	})
	t.Logf("applied on all boxes %v after the restart", time.Since(began))
	c.waitServing(3)
}

// TestChangeReachesAllBoxes guards against an entry that never applies an accepted
// change; it logs how long the change takes.
func TestChangeReachesAllBoxes(t *testing.T) {
	c := newCluster(t, topology{boxes: 5, controls: 3, engines: []float64{4}})
	leader := c.waitLeader()
	version := c.show(leader).Version
	began := time.Now()
	c.apply("new-team", version, teamChange(1))
	committed := time.Since(began)
	for i := range 5 {
		c.waitFor("the new team is served", func() bool {
			a := c.call(i, http.MethodPost, "/v1/completions", completion("x", 1, false), header("Authorization", "Bearer team-1"))
			return a.status == http.StatusOK
		})
	}
	t.Logf("committed after %v, applied on 5 boxes after %v", committed, time.Since(began))
}

// TestPlatformListDrainsBoxes guards against an owner that keeps leading, and an
// endpoint that receives new requests, when the platform's list marks their boxes as
// leaving, which means draining.
func TestPlatformListDrainsBoxes(t *testing.T) {
	var mu sync.Mutex
	draining := []string{}
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		list := []map[string]string{{"address": "10.0.0.1", "state": "live"}}
		for _, a := range draining {
			list = append(list, map[string]string{"address": a, "state": "leaving"})
		}
		_ = json.NewEncoder(w).Encode(list)
	}))
	defer platform.Close()
	c := newCluster(t, topology{boxes: 3, controls: 3, engines: []float64{4, 4}, platform: platform.URL})
	l := c.startLoad(10, 4, 0, 1, 2)
	leader := c.waitLeader()
	l.waitMore(20)
	mu.Lock()
	draining = append(draining, event.Host(c.boxAddress(leader)), event.Host(c.slotListenAddress(0)))
	mu.Unlock()
	next := c.waitLeader(leader)
	c.waitFor("the endpoint on the draining box does not serve", func() bool {
		for _, p := range c.show(next).Pools {
			if p.Name == "chef" {
				return !p.Endpoints[0].Serves && p.Endpoints[1].Serves
			}
		}
		return false
	})
	from := l.count()
	l.waitMore(100)
	for i, a := range l.finish()[from+10:] {
		if a.status != http.StatusOK || a.endpoint() != "chef-1" {
			t.Errorf("response %d: status %d from %q", i, a.status, a.endpoint())
		}
	}
}

// TestOperatorLanguage guards against wrong results and error messages of queries and
// commands of "lynxramp do".
func TestOperatorLanguage(t *testing.T) {
	c := newCluster(t, topology{boxes: 3, controls: 3, engines: []float64{1}})
	do := func(line string) string {
		control := c.boxAddress(0) + "," + c.boxAddress(1) + "," + c.boxAddress(2)
		tool := exec.Command(filepath.Join(binDir, "lynxramp"), "do", "--control", control,
			"--key-file", filepath.Join(c.dir, "operator-key"), line)
		out, _ := tool.CombinedOutput() // a failure is in what it prints
		return string(out)
	}
	l := c.startLoad(24, 50, 0, 1, 2)
	c.waitFor("16 run and 8 wait", func() bool {
		return strings.Contains(do("show running by endpoint where tier = gold"), "chef-0    16") &&
			strings.Contains(do("show waiting by team"), "gold-team  8")
	})
	for _, step := range [...]struct{ line, want string }{
		{"set team bronze-team tier silver", "accepted"},
		{"set tier gold rank 9 at 1", "conflict: version"},
		{"set team bronze-team tier platinum", "there is no tier"},
		{"show waiting by teem", "^ unexpected token"},
		{"drain endpoint nowhere", "there is no endpoint"},
	} {
		if got := do(step.line); !strings.Contains(got, step.want) {
			t.Errorf("%q printed %s", step.line, got)
		}
	}
	l.finish()
}

// TestDrainingEndpoint guards against new requests on an endpoint that an operator
// drains.
func TestDrainingEndpoint(t *testing.T) {
	c := newCluster(t, topology{boxes: 2, controls: 1, engines: []float64{4, 4}})
	l := c.startLoad(10, 4, 0, 1)
	l.waitMore(20)
	draining := catalog.EndpointChange{Pool: "chef", Endpoint: catalog.Endpoint{
		Name: "chef-0", Concurrency: 16, Speed: 4, Draining: true,
	}}
	c.apply("drain", c.show(0).Version, catalog.Change{Endpoint: &draining})
	accepted := time.Now()
	l.waitMore(100)
	after := 0
	for _, a := range l.finish() {
		// Calls in flight when the command is accepted may still run on it.
		if a.began.Before(accepted) {
			continue
		}
		after++
		if a.endpoint() != "chef-1" {
			t.Errorf("a call that began %v after the command was accepted ran on %q", a.began.Sub(accepted), a.endpoint())
		}
	}
	if after < 50 {
		t.Errorf("only %d calls began after the command", after)
	}
}
