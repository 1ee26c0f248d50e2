// SPDX-License-Identifier: MIT

package slot

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/engine"
	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/internal/wait"
	"lynxramp.org/rpc"
)

// Intervals and timeouts of the slot's reports.
const (
	reportInterval = 250 * time.Millisecond
	// unchangedReportInterval is how often a report without changes is sent.
	unchangedReportInterval = time.Second
	reportTimeout           = 600 * time.Millisecond
	// downAfter is how long the endpoint may be unreachable before it counts as down.
	downAfter = time.Second
)

// loadMonitor holds the last load that the endpoint reported.
type loadMonitor struct {
	mu   sync.Mutex
	load engine.Load
	at   event.Time
}

func (l *loadMonitor) update(now event.Time, load engine.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load = load
	l.at = now
}

// markUnreachable records that no connection to the endpoint could be made.
func (l *loadMonitor) markUnreachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = 0
}

// read returns the queue length, the age of that figure and whether the endpoint is
// down.
func (l *loadMonitor) read(now event.Time) (waiting int, age event.Duration, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.at)
	age = elapsed + time.Duration(l.load.AgeMillis)*time.Millisecond
	return l.load.Waiting, age, l.at == 0 || elapsed > downAfter
}

// Scheduler is a control box that may be the owner of the pool.
type Scheduler struct {
	Address string // IP:port
	Client  rpc.Scheduler
}

// Report reports the state of the endpoint to the owner of the pool until ctx ends.
// It looks for the owner among schedulers.
func (s *Slot) Report(ctx context.Context, schedulers []Scheduler) {
	var wg sync.WaitGroup
	wg.Go(func() { s.reportLoop(ctx, schedulers) })
	wg.Go(func() { s.watchLoad(ctx) })
	wg.Wait()
}

func (s *Slot) reportLoop(ctx context.Context, schedulers []Scheduler) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	current := 0
	var last event.Report
	var sent time.Time
	for ctx.Err() == nil {
		scheduler := schedulers[current]
		report := s.currentReport()
		if isUnchanged(report, last) && time.Since(sent) < unchangedReportInterval {
			wait.Next(ctx, ticker)
			continue
		}
		owner, leader := s.reportOnce(ctx, scheduler, report)
		last, sent = report, time.Now()
		if !owner {
			sent = time.Time{}
			current = nextScheduler(schedulers, current, leader)
			s.log.Debug("scheduler is not the owner; trying another scheduler", zap.String("scheduler", scheduler.Address))
			if leader != "" && leader != scheduler.Address {
				continue // without a delay
			}
		}
		wait.Next(ctx, ticker)
	}
}

// isUnchanged reports whether two reports are the same, apart from the age of their
// figures.
func isUnchanged(a, b event.Report) bool {
	return a.Draining == b.Draining && a.Down == b.Down && a.QueueLength == b.QueueLength &&
		a.TokenGap == b.TokenGap && slices.Equal(a.Running, b.Running)
}

// nextScheduler returns the index of the scheduler at the leader's address, or of the
// one after current.
func nextScheduler(schedulers []Scheduler, current int, leader string) int {
	for i, c := range schedulers {
		if c.Address == leader && i != current {
			return i
		}
	}
	return (current + 1) % len(schedulers)
}

// reportOnce sends a report to one scheduler. It returns whether that is the owner,
// and if not, the address of the likely owner.
func (s *Slot) reportOnce(ctx context.Context, c Scheduler, report event.Report) (owner bool, leader string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := c.Client.Report(ctx, rpc.ReportMessage(report))
	if err != nil {
		s.log.Debug("failed to send report to scheduler", zap.String("scheduler", c.Address), logx.Err(err))
		return false, ""
	}
	if !response.Owner {
		return false, response.Leader
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.ObserveEpoch(event.Epoch(response.Epoch))
	return true, ""
}

// maxLoadBytes is the limit of the response to a poll of the load.
const maxLoadBytes = 64 << 10

// watchLoad polls the endpoint's load until ctx ends.
func (s *Slot) watchLoad(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if load, err := s.fetchLoad(ctx); err == nil {
			s.load.update(s.clock.Now(), load)
		}
		wait.Next(ctx, ticker)
	}
}

func (s *Slot) fetchLoad(ctx context.Context) (engine.Load, error) {
	var load engine.Load
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.config.EndpointURL+"/load", nil)
	if err != nil {
		return load, errors.Wrap(err, "fetch load")
	}
	response, err := s.client.Do(r)
	if err != nil {
		return load, errors.Wrap(err, "fetch load")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return load, errors.Errorf("fetch load: status %d", response.StatusCode)
	}
	return load, errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&load), "decode load")
}
