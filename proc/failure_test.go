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

// load sends streamed calls through boxes until it is told to stop, and keeps
// the answers.
type load struct {
	c       *cluster
	stop    chan struct{}
	wait    sync.WaitGroup
	mu      sync.Mutex
	answers []answer
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
				l.answers = append(l.answers, a)
				l.mu.Unlock()
			}
		})
	}
	return l
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

// more waits until n more calls were answered.
func (l *load) more(n int) {
	l.c.t.Helper()
	from := l.count()
	l.c.wait(fmt.Sprintf("%d more answers", n), func() bool { return l.count() >= from+n })
}

// end stops the load and returns all answers.
func (l *load) end() []answer {
	close(l.stop)
	l.wait.Wait()
	return l.answers
}

// TestKilledOwner kills the owner of the pools while requests wait on it. Calls
// through the other boxes are all answered whole, and nothing runs twice.
func TestKilledOwner(t *testing.T) {
	c := newCluster(t, shape{boxes: 4, controls: 3, engines: []float64{4, 2}, services: 1})
	o := c.newOracle()
	at := c.waitLeader()
	others := []int{3}
	for i := range 3 {
		if i != at {
			others = append(others, i)
		}
	}
	l := c.startLoad(40, 8, others...)
	l.more(50)
	c.boxes[at].kill()
	began := time.Now()
	c.waitLeader(at)
	t.Logf("a new owner after %v", time.Since(began))
	l.more(100)
	for _, a := range l.end() {
		o.check(t, "/v1/completions", a)
		c.checkOnce(a)
	}
}

// TestFrozenOwner stops the owner in its tracks, past its lease, and lets it go
// on while another rules.
func TestFrozenOwner(t *testing.T) {
	c := newCluster(t, shape{boxes: 4, controls: 3, engines: []float64{4, 2}})
	o := c.newOracle()
	at := c.waitLeader()
	l := c.startLoad(20, 8, 3)
	l.more(20)
	c.boxes[at].signal(syscall.SIGSTOP)
	began := time.Now()
	next := c.waitLeader(at)
	t.Logf("a new owner after %v", time.Since(began))
	version := c.show(next).Version
	r := c.apply("while-frozen", version, teamChange(1))
	if r.Version != version+1 {
		t.Fatalf("command while the owner is frozen: %v", r)
	}
	l.more(20)
	c.boxes[at].signal(syscall.SIGCONT)
	c.wait("the old owner has the new catalog and does not lead", func() bool {
		s := c.show(at)
		return s.Version == version+1 && !s.Leads
	})
	l.more(20)
	for _, a := range l.end() {
		o.check(t, "/v1/completions", a)
		c.checkOnce(a)
	}
	if s := c.show(c.waitLeader()); s.Version != version+1 {
		t.Errorf("the catalog went from version %d to %d", version+1, s.Version)
	}
}

// TestCutOffOwner cuts the owner off from the other control boxes, both ways or
// one, while entries and slots still reach it. Another rules, what is accepted
// stays, nothing runs twice, and the old owner follows when it is back.
func TestCutOffOwner(t *testing.T) {
	c := newCluster(t, shape{boxes: 4, controls: 3, engines: []float64{4, 2}, controlRelays: true})
	o := c.newOracle()
	l := c.startLoad(20, 8, 3)
	version := c.show(c.waitLeader()).Version
	for n, way := range []struct{ from, to bool }{{true, true}, {true, false}} {
		at := c.waitLeader()
		l.more(20)
		c.cutOff(at, way.from, way.to)
		next := c.waitLeader(at)
		if r := c.apply(fmt.Sprint("cut-", n), version, teamChange(n)); r.Version != version+1 {
			t.Fatalf("command while the owner is cut off: %v", r)
		}
		version++
		if s := c.show(at); s.Leads {
			t.Errorf("the cut-off box says that it rules, as box %d does", next)
		}
		l.more(20)
		c.cutOff(at, false, false)
		c.wait("the old owner has the new catalog", func() bool { return c.show(at).Version == version })
	}
	for _, a := range l.end() {
		o.check(t, completions, a)
		c.checkOnce(a)
	}
}

// waitVoter waits until the leader counts a box that came back as a voter, all
// its repair done, and the box has a version.
func (c *cluster) waitVoter(leader, box int, version uint64) {
	c.t.Helper()
	c.wait("the wiped box is a voter again", func() bool {
		s := c.show(leader)
		return len(s.GetMembers().GetVoters()) == 3 && len(s.Members.Learners) == 0 && c.show(box).Version == version
	})
}

// TestWipedDisk loses the disk of one box, lets it come back with the same
// command line, and loses another right after the repair.
func TestWipedDisk(t *testing.T) {
	c := newCluster(t, shape{boxes: 3, controls: 3, engines: []float64{4}})
	at := c.waitLeader()
	version := c.show(at).Version
	for n := range 5 {
		c.apply(fmt.Sprint("before-", n), version, teamChange(n))
		version++
	}
	lost, second := (at+1)%3, (at+2)%3
	c.boxes[lost].kill()
	c.wipe(lost)
	c.boxes[lost].start()
	c.waitVoter(at, lost, version)
	// The second loss comes at once. What was accepted must be there still.
	c.boxes[second].kill()
	c.wipe(second)
	r := c.apply("after", version, teamChange(9))
	if r.Version != version+1 {
		t.Errorf("command after a second loss: %v", r)
	}
	c.boxes[second].start()
	c.waitVoter(at, second, version+1)
	c.boxes[at].kill()
	if next := c.waitLeader(at); c.show(next).Version != version+1 {
		t.Errorf("version %d after the loss of the leader, want %d", c.show(next).Version, version+1)
	}
}

// TestNoSecondGroup loses the disks of two boxes of three while the third is
// away. The two must not found a group of their own; with the third back there
// is still no majority, and nobody leads.
func TestNoSecondGroup(t *testing.T) {
	c := newCluster(t, shape{boxes: 3, controls: 3, engines: []float64{4}})
	version := c.show(c.waitLeader()).Version
	for i := range 3 {
		c.boxes[i].kill()
	}
	c.wipe(0)
	c.wipe(1)
	c.boxes[0].start()
	c.boxes[1].start()
	c.wait("both say that they wait", func() bool {
		return strings.Contains(tail(c.boxes[0].log), "waiting for the other control boxes") &&
			strings.Contains(tail(c.boxes[1].log), "waiting for the other control boxes")
	})
	c.boxes[2].start()
	c.wait("the third says that it cannot lead", func() bool {
		return strings.Contains(tail(c.boxes[2].log), "no quorum")
	})
	if at := c.leader(); at >= 0 {
		t.Errorf("box %d leads after a majority of disks was lost", at)
	}
	// The operators' recovery: the third box goes on alone, the others join it.
	for i := range 3 {
		c.boxes[i].kill()
	}
	c.wipe(0)
	c.wipe(1)
	recovery := exec.Command(filepath.Join(binaries, "lynxramp"), "recover", "--yes", filepath.Join(c.dir, "box-2.yaml"))
	if out, err := recovery.CombinedOutput(); err != nil {
		t.Fatalf("recover: %v\n%s", err, out)
	}
	for i := range 3 {
		c.boxes[i].start()
	}
	c.waitVoter(c.waitLeader(), 0, version)
	if s := c.show(c.waitLeader()); s.Version != version {
		t.Errorf("version %d after the recovery, want %d", s.Version, version)
	}
}

// TestOperatorsRace lets operators command under one version, and resend.
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t, shape{boxes: 3, controls: 3, engines: []float64{4}})
	version := c.show(c.waitLeader()).Version
	var wait sync.WaitGroup
	var mu sync.Mutex
	won := make(map[string]bool)
	conflicts := make(map[string]bool)
	for n := range 12 {
		wait.Go(func() {
			id := fmt.Sprint("race-", n)
			r := c.apply(id, version, teamChange(n))
			again := c.apply(id, version, teamChange(n))
			mu.Lock()
			defer mu.Unlock()
			if r.Conflict == "" && r.Version == version+1 {
				won[id+" by test"] = true
			} else {
				conflicts[r.Conflict] = true
			}
			if !again.Again || again.Version != r.Version || again.Conflict != r.Conflict {
				t.Errorf("%s sent again: %v, at first %v", id, again, r)
			}
		})
	}
	wait.Wait()
	if len(won) != 1 || len(conflicts) != 1 {
		t.Fatalf("%d won, conflicts with %v", len(won), conflicts)
	}
	for id := range conflicts {
		if !won[id] {
			t.Errorf("the losers were told that %q won, it was %v", id, won)
		}
	}
}

// TestRestartAfterManyChanges restarts a control box and an entry after 500
// changes went by without them.
func TestRestartAfterManyChanges(t *testing.T) {
	c := newCluster(t, shape{boxes: 4, controls: 3, engines: []float64{4}})
	at := c.waitLeader()
	away := (at + 1) % 3
	c.boxes[away].kill()
	c.boxes[3].kill()
	version := c.show(at).Version
	for n := range 500 {
		if r := c.apply(fmt.Sprint("change-", n), version, teamChange(n%7)); r.Version != version+1 {
			t.Fatalf("change %d: %v", n, r)
		}
		version++
	}
	began := time.Now()
	c.boxes[away].start()
	c.boxes[3].start()
	c.wait("the control box has all changes", func() bool { return c.show(away).Version == version })
	c.wait("the entries have all changes in force", func() bool {
		boxes := c.show(c.waitLeader()).Boxes
		for _, b := range boxes {
			if b.Version != version && b.SilentMs < 2000 {
				return false
			}
		}
		return len(boxes) == 4
	})
	t.Logf("in force on all boxes %v after the start", time.Since(began))
	c.waitServing(3)
}

// TestChangeInForce measures how long a change takes to be in force on all
// boxes.
func TestChangeInForce(t *testing.T) {
	c := newCluster(t, shape{boxes: 5, controls: 3, engines: []float64{4}})
	at := c.waitLeader()
	version := c.show(at).Version
	began := time.Now()
	c.apply("new-team", version, teamChange(1))
	committed := time.Since(began)
	for i := range 5 {
		c.wait("the new team is served", func() bool {
			a := c.call(i, http.MethodPost, "/v1/completions", completion("x", 1, false), header("Authorization", "Bearer team-1"))
			return a.status == http.StatusOK
		})
	}
	t.Logf("committed after %v, in force on 5 boxes after %v", committed, time.Since(began))
}

// TestPlatformList lets the platform's list say that an endpoint's box and the
// owner's are leaving.
func TestPlatformList(t *testing.T) {
	var mu sync.Mutex
	leaving := []string{}
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		list := []map[string]string{{"address": "10.0.0.1", "state": "live"}}
		for _, a := range leaving {
			list = append(list, map[string]string{"address": a, "state": "leaving"})
		}
		_ = json.NewEncoder(w).Encode(list)
	}))
	defer platform.Close()
	c := newCluster(t, shape{boxes: 3, controls: 3, engines: []float64{4, 4}, platform: platform.URL})
	l := c.startLoad(10, 4, 0, 1, 2)
	at := c.waitLeader()
	l.more(20)
	mu.Lock()
	leaving = append(leaving, event.Host(c.box(at)), event.Host(c.slot(0)))
	mu.Unlock()
	next := c.waitLeader(at)
	c.wait("the endpoint on the leaving box does not serve", func() bool {
		for _, p := range c.show(next).Pools {
			if p.Name == "chef" {
				return !p.Endpoints[0].Serves && p.Endpoints[1].Serves
			}
		}
		return false
	})
	from := l.count()
	l.more(100)
	for i, a := range l.end()[from+10:] {
		if a.status != http.StatusOK || a.endpoint() != "chef-1" {
			t.Errorf("answer %d: status %d from %q", i, a.status, a.endpoint())
		}
	}
}

// TestLanguage asks and commands through the operators' tool.
func TestLanguage(t *testing.T) {
	c := newCluster(t, shape{boxes: 3, controls: 3, engines: []float64{1}})
	do := func(line string) string {
		control := c.box(0) + "," + c.box(1) + "," + c.box(2)
		tool := exec.Command(filepath.Join(binaries, "lynxramp"), "do", "--control", control,
			"--key-file", filepath.Join(c.dir, "operator-key"), line)
		out, _ := tool.CombinedOutput() // a failure is in what it prints
		return string(out)
	}
	l := c.startLoad(24, 50, 0, 1, 2)
	c.wait("16 run and 8 wait", func() bool {
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
			t.Errorf("%s: %s", step.line, got)
		}
	}
	l.end()
}

// TestLeavingEndpoint checks that an endpoint that an operator sends off gets
// no new work.
func TestLeavingEndpoint(t *testing.T) {
	c := newCluster(t, shape{boxes: 2, controls: 1, engines: []float64{4, 4}})
	l := c.startLoad(10, 4, 0, 1)
	l.more(20)
	leaving := catalog.EndpointChange{Pool: "chef", Endpoint: catalog.Endpoint{
		Name: "chef-0", Concurrency: 16, Speed: 4, Draining: true,
	}}
	c.apply("drain", c.show(0).Version, catalog.Change{Endpoint: &leaving})
	accepted := time.Now()
	l.more(100)
	after := 0
	for _, a := range l.end() {
		// A call that was under way may still be there, whenever it ends.
		if a.began.Before(accepted) {
			continue
		}
		after++
		if a.endpoint() != "chef-1" {
			t.Errorf("a call that began %v after the command was accepted was answered by %q", a.began.Sub(accepted), a.endpoint())
		}
	}
	if after < 50 {
		t.Errorf("only %d calls began after the command", after)
	}
}
