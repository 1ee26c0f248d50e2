// SPDX-License-Identifier: MIT

package slot

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/engine"
	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/rpc"
)

// Times of the slot's reports.
const (
	reportEvery   = 250 * time.Millisecond
	reportTimeout = time.Second
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

// read returns the queue length, the age of that figure and whether the
// endpoint is silent.
func (l *loadWatch) read(now event.Time) (waiting int, age event.Span, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := now.Sub(l.at)
	age = silent + time.Duration(l.load.AgeMillis)*time.Millisecond
	return l.load.Waiting, age, l.at == 0 || silent > downAfter
}

// Report tells the schedulers about the endpoint until ctx ends. A scheduler
// that does not answer does not hold up the others.
func (s *Slot) Report(ctx context.Context, schedulers []rpc.Scheduler) {
	var wait sync.WaitGroup
	for _, c := range schedulers {
		wait.Go(func() { s.reportTo(ctx, c) })
	}
	wait.Go(func() { s.watchLoad(ctx) })
	wait.Wait()
}

func (s *Slot) reportTo(ctx context.Context, c rpc.Scheduler) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	silent := false
	for {
		err := s.reportOnce(ctx, c)
		if failed := err != nil && ctx.Err() == nil; failed != silent {
			silent = failed
			s.log.Info("scheduler reached", zap.Bool("reached", !failed), logx.Err(err))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Slot) reportOnce(ctx context.Context, c rpc.Scheduler) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := c.Report(ctx, rpc.ReportMessage(s.report()))
	if err != nil {
		return errors.Wrap(err, "report")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.SeeEpoch(event.Epoch(answer.Epoch))
	return nil
}

// watchLoad asks the endpoint for its load until ctx ends.
func (s *Slot) watchLoad(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		if load, err := s.fetchLoad(ctx); err == nil {
			s.load.set(s.clock.Now(), load)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
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
