// SPDX-License-Identifier: MIT

package slot

import (
	"context"
	"encoding/json"
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

// Times of the slot's reports.
const (
	reportEvery = 250 * time.Millisecond
	// quietEvery is how often a report is sent that says nothing new.
	quietEvery    = time.Second
	reportTimeout = 600 * time.Millisecond
	// downAfter is how long the endpoint may be silent before it counts as down.
	downAfter = time.Second
)

// loadWatch keeps the endpoint's last word on its load.
type loadWatch struct {
	mu   sync.Mutex
	load engine.Load
	at   event.Time
}

func (l *loadWatch) set(now event.Time, load engine.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load = load
	l.at = now
}

// fail notes that the endpoint could not be reached.
func (l *loadWatch) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = 0
}

// read returns the queue length, the age of that figure and whether the
// endpoint is silent.
func (l *loadWatch) read(now event.Time) (waiting int, age event.Duration, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := now.Sub(l.at)
	age = silent + time.Duration(l.load.AgeMillis)*time.Millisecond
	return l.load.Waiting, age, l.at == 0 || silent > downAfter
}

// Scheduler is a control box that may be the owner of the pool.
type Scheduler struct {
	Address string // IP:port
	Client  rpc.Scheduler
}

// Report tells the owner of the pool about the endpoint until ctx ends. The
// owner is found among the schedulers.
func (s *Slot) Report(ctx context.Context, schedulers []Scheduler) {
	var both sync.WaitGroup
	both.Go(func() { s.reportAll(ctx, schedulers) })
	both.Go(func() { s.watchLoad(ctx) })
	both.Wait()
}

func (s *Slot) reportAll(ctx context.Context, schedulers []Scheduler) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	current := 0
	var last event.Report
	var sent time.Time
	for ctx.Err() == nil {
		at := schedulers[current]
		report := s.report()
		if sameNews(report, last) && time.Since(sent) < quietEvery {
			wait.Next(ctx, ticker)
			continue
		}
		owner, leader := s.reportOnce(ctx, at, report)
		last, sent = report, time.Now()
		if !owner {
			sent = time.Time{}
			current = nextScheduler(schedulers, current, leader)
			s.log.Debug("not the owner", zap.String("scheduler", at.Address))
			if leader != "" && leader != at.Address {
				continue // it is asked at once
			}
		}
		wait.Next(ctx, ticker)
	}
}

// sameNews reports whether a report says nothing that the last one did not, its
// ages apart.
func sameNews(a, b event.Report) bool {
	return a.Draining == b.Draining && a.Down == b.Down && a.QueueLength == b.QueueLength &&
		a.TokenGap == b.TokenGap && slices.Equal(a.Running, b.Running)
}

// nextScheduler returns the scheduler at an address, or the one after current.
func nextScheduler(schedulers []Scheduler, current int, leader string) int {
	for i, c := range schedulers {
		if c.Address == leader && i != current {
			return i
		}
	}
	return (current + 1) % len(schedulers)
}

// reportOnce reports to one scheduler. It returns whether that is the owner, or
// else who may be.
func (s *Slot) reportOnce(ctx context.Context, c Scheduler, report event.Report) (owner bool, leader string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := c.Client.Report(ctx, rpc.ReportMessage(report))
	if err != nil {
		s.log.Debug("report failed", zap.String("scheduler", c.Address), logx.Err(err))
		return false, ""
	}
	if !answer.Owner {
		return false, answer.Leader
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.SeeEpoch(event.Epoch(answer.Epoch))
	return true, ""
}

// watchLoad asks the endpoint for its load until ctx ends.
func (s *Slot) watchLoad(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if load, err := s.fetchLoad(ctx); err == nil {
			s.load.set(s.clock.Now(), load)
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
		return load, errors.Wrap(err, "load")
	}
	response, err := s.client.Do(r)
	if err != nil {
		return load, errors.Wrap(err, "load")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return load, errors.Errorf("load: status %d", response.StatusCode)
	}
	return load, errors.Wrap(json.NewDecoder(response.Body).Decode(&load), "load")
}
