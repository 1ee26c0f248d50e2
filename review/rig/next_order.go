//go:build review

// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

func init() { scenarios["next-order"] = playNextOrder }

// Bounds of the deployment with the contract rollout.
const (
	exposeShare   = 0.1
	exposeSlack   = 50
	rollbackTime  = 5 * time.Second
	orderDuration = 12 * time.Second
	// leaveAfter is when the replicas of a version that was rolled back say that they drain.
	leaveAfter = 8 * time.Second
)

// playNextOrder: a bad version is ordered and rolled back; while its replicas still stand, the next version is ordered.
func playNextOrder(f *fleet, trouble bool) ([]string, error) {
	f.settings["contracts|json"] = `["base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants","quota","rollout"]`
	f.settings["bounds.exposeShare"], f.settings["bounds.exposeSlack"] = fmt.Sprint(exposeShare), fmt.Sprint(exposeSlack)
	config := map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r", "hostname": "a.example", "pathPrefix": "/r/", "kind": wire["once"], "timeoutMs": 1500, wire["target"]: 300,
			"priority": 0, "service": "api", "maxAttempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": "api", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{},
	}
	if err := f.start(config); err != nil {
		return nil, err
	}
	if _, err := f.group("v1", 4, nil); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	s, done := newSender(f, "a.example"), make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.traffic(150, 90*time.Second, 1500*time.Millisecond, done, "/r/x")
	}()
	defer func() { <-ended }()
	defer close(done)
	time.Sleep(2 * time.Second)

	var calls atomic.Int64
	bad, err := f.group("v2", 4, func(w http.ResponseWriter, _ *http.Request, id string) bool {
		if calls.Add(1)%5 == 0 {
			return false
		}
		f.rec.line("bad", "%s", id)
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprintf(w, "failed %s", id)
		return true
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	ordered := time.Now()
	if err := f.orderVersion("v2"); err != nil {
		return nil, err
	}
	state, at := f.awaitState("v2", orderDuration+5*time.Second)
	if state != "rolled_back" {
		return nil, fmt.Errorf("the bad version is %q, not rolled_back", state)
	}
	before := countRuns(bad)
	f.rec.line("summary", "rolled_back %v after the order; %d requests had reached v2", at.Sub(ordered), before)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if _, err := f.group("v3", 4, nil); err != nil {
			return nil, err
		}
		if err := f.orderVersion("v3"); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(at.Add(leaveAfter)))
	for _, r := range bad {
		r.drain()
	}
	time.Sleep(time.Until(ordered.Add(orderDuration)))
	return f.judgeExposure(s, bad, ordered), nil
}

// group starts replicas of a version.
func (f *fleet) group(version string, count int, fail func(http.ResponseWriter, *http.Request, string) bool) ([]*replica, error) {
	var list []*replica
	for i := range count {
		r, err := f.newReplica(fmt.Sprintf("i-%s-%d", version, i+1), "api", version, 4, 80*time.Millisecond)
		if err != nil {
			return nil, err
		}
		r.fail = fail
		list = append(list, r)
	}
	return list, nil
}

func (f *fleet) orderVersion(version string) error {
	body, err := json.Marshal(map[string]any{"service": "api", "targetVersion": version, "durationS": orderDuration.Seconds()})
	if err != nil {
		return err
	}
	status, answer := f.order(http.MethodPost, wire["base"]+"rollouts", body, 5*time.Second)
	f.rec.line("operator", "POST rollouts %s -> %d", body, status)
	if status != http.StatusOK {
		return fmt.Errorf("the order of %s was not acknowledged: %d %s", version, status, answer)
	}
	return nil
}

// awaitState waits until the order of a version has ended and returns its state.
func (f *fleet) awaitState(version string, timeout time.Duration) (string, time.Time) {
	var state struct{ State, TargetVersion string }
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, data := f.order(http.MethodGet, wire["base"]+"rollouts/api", nil, 2*time.Second)
		if status == http.StatusOK && json.Unmarshal(data, &state) == nil && state.TargetVersion == version && state.State != "in_progress" {
			f.rec.line("operator", "GET rollouts/api -> %s", data)
			return state.State, time.Now()
		}
	}
	return state.State, time.Now()
}

func countRuns(list []*replica) int {
	n := 0
	for _, r := range list {
		r.mu.Lock()
		n += len(r.runs)
		r.mu.Unlock()
	}
	return n
}

// judgeExposure applies the rule EXPOSURE to the requests that reached the bad version.
func (f *fleet) judgeExposure(s *sender, bad []*replica, ordered time.Time) []string {
	deadline := ordered.Add(orderDuration)
	arrived := make(map[string]time.Time) // at any replica of the service
	reachedBad := make(map[string]bool)
	for _, r := range f.replicas {
		r.mu.Lock()
		for id, times := range r.runs {
			arrived[id] = times[0]
			if slices.Contains(bad, r) {
				reachedBad[id] = true
			}
		}
		r.mu.Unlock()
	}
	all, exposed := 0, 0
	for id, at := range arrived {
		if at.Before(ordered) || at.After(deadline) {
			continue
		}
		all++
		if reachedBad[id] {
			exposed++
		}
	}
	limit := exposeShare*float64(all) + exposeSlack
	f.rec.line("summary", "%d of %d requests between the order of v2 and its deadline reached v2, limit %.0f", exposed, all, limit)
	var broken []string
	if float64(exposed) > limit {
		broken = append(broken, fmt.Sprintf("EXPOSURE: %d of %d requests between the order and its deadline reached the bad version, limit %.0f", exposed, all, limit))
	}
	// The 50th bad answer, and requests sent later than rollbackMs after it.
	var badAnswers []time.Time
	s.mu.Lock()
	list := append([]*sent(nil), s.list...)
	s.mu.Unlock()
	for _, q := range list {
		if reachedBad[q.id] && q.status == http.StatusInternalServerError {
			badAnswers = append(badAnswers, arrived[q.id])
		}
	}
	slices.SortFunc(badAnswers, time.Time.Compare)
	if len(badAnswers) >= 50 {
		late := 0
		for _, q := range list {
			if reachedBad[q.id] && q.at.After(badAnswers[49].Add(rollbackTime+100*time.Millisecond)) {
				late++
			}
		}
		f.rec.line("summary", "%d bad answers; %d requests sent later than rollbackMs after the 50th reached v2", len(badAnswers), late)
		if late > 0 {
			broken = append(broken, fmt.Sprintf("EXPOSURE: %d requests sent later than 5 s after the 50th bad answer reached the bad version", late))
		}
	}
	return broken
}
