// SPDX-License-Identifier: MIT

package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"lynxramp.org/engine"
)

// Range and precision (significant digits) of the histograms.
const (
	minTime = int64(time.Microsecond)
	maxTime = int64(time.Minute)
	digits  = 3
)

// histogram is a histogram of durations.
type histogram struct{ hdr *hdrhistogram.Histogram }

func newHistogram() histogram { return histogram{hdr: hdrhistogram.New(minTime, maxTime, digits)} }

// add records d, clamped to the histogram's range.
func (h histogram) add(d time.Duration) {
	_ = h.hdr.RecordValue(min(max(int64(d), minTime), maxTime)) // the value is within the range
}

// at returns a percentile, 0 to 100.
func (h histogram) at(percent float64) time.Duration {
	return time.Duration(h.hdr.ValueAtQuantile(percent))
}

// Overhead measures the latency that lynxramp adds to streamed calls. Direct calls to an engine
// and calls through lynxramp alternate.
type Overhead struct {
	Direct  Target
	Through Target
	Calls   int // per target
	Tokens  int // per response
}

// Run measures and writes a table to out.
func (o Overhead) Run(ctx context.Context, out io.Writer) error {
	targets := [...]struct {
		name        string
		target      Target
		first, gaps histogram
	}{
		{"direct", o.Direct, newHistogram(), newHistogram()},
		{"through", o.Through, newHistogram(), newHistogram()},
	}
	c := newClient()
	for i := range o.Calls {
		q := engine.CompletionRequest{Prompt: fmt.Sprintf("call %d", i), MaxTokens: o.Tokens}
		for _, t := range targets {
			first, gaps, err := stream(ctx, c, t.target, q)
			if err != nil {
				return errors.Wrap(err, t.name)
			}
			t.first.add(first)
			for _, g := range gaps {
				t.gaps.add(g)
			}
		}
	}
	fmt.Fprintf(out, "%-10s %14s %14s %14s %14s\n", "target", "first p50", "first p99", "gap p50", "gap p99")
	for _, t := range targets {
		fmt.Fprintf(out, "%-10s %14v %14v %14v %14v\n", t.name, t.first.at(50), t.first.at(99), t.gaps.at(50), t.gaps.at(99))
	}
	direct, through := targets[0], targets[1]
	fmt.Fprintf(out, "%-10s %14v %14v %14v %14v\n", "added",
		through.first.at(50)-direct.first.at(50), through.first.at(99)-direct.first.at(99),
		through.gaps.at(50)-direct.gaps.at(50), through.gaps.at(99)-direct.gaps.at(99))
	return nil
}

// Throughput loads a target with a fixed number of closed-loop callers, each of which
// sends its next request as soon as the previous one ends.
type Throughput struct {
	Target   Target
	Callers  int
	Tokens   int // per response
	Duration time.Duration
	PID      int // process whose CPU time and memory are measured; 0 for none
}

// Run measures and writes a line to out.
func (t Throughput) Run(ctx context.Context, out io.Writer) error {
	before, err := usage(t.PID)
	if err != nil {
		return err
	}
	c := newClient()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, t.Duration)
	defer cancel()
	var done, failed atomic.Int64
	var mu sync.Mutex
	latencies := newHistogram()
	var wg sync.WaitGroup
	for i := range t.Callers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				q := engine.CompletionRequest{Prompt: fmt.Sprintf("caller %d call %d", i, n), MaxTokens: t.Tokens}
				first, _, err := stream(ctx, c, t.Target, q)
				switch {
				case err == nil:
					done.Add(1)
					mu.Lock()
					latencies.add(first)
					mu.Unlock()
				case ctx.Err() == nil:
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	took := time.Since(began)
	after, err := usage(t.PID)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "callers %d: %.0f requests/s, p50 %v, p99 %v, failed %d", t.Callers, float64(done.Load())/took.Seconds(), latencies.at(50), latencies.at(99), failed.Load())
	if t.PID != 0 && done.Load() > 0 {
		cpu := after.cpu - before.cpu
		fmt.Fprintf(out, ", %v CPU time per request, resident %d KiB", cpu/time.Duration(done.Load()), after.resident>>10)
	}
	fmt.Fprintln(out)
	return nil
}

// CallMemory measures the memory that an open call costs a process.
type CallMemory struct {
	Target Target
	Calls  int // concurrent
	Tokens int // per response
	PID    int
	// Settle is how long the calls are open before the process is measured.
	Settle time.Duration
}

// Run measures and writes a line to out.
func (m CallMemory) Run(ctx context.Context, out io.Writer) error {
	before, err := usage(m.PID)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	c := newClient()
	var wg sync.WaitGroup
	var endedEarly atomic.Int64
	for i := range m.Calls {
		wg.Go(func() {
			q := engine.CompletionRequest{Prompt: fmt.Sprintf("call %d", i), MaxTokens: m.Tokens}
			if _, _, err := stream(ctx, c, m.Target, q); err != nil && ctx.Err() == nil {
				endedEarly.Add(1)
			}
		})
		if i%100 == 99 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(m.Settle)
	after, err := usage(m.PID)
	cancel()
	wg.Wait()
	if err != nil {
		return err
	}
	growth := after.resident - before.resident
	fmt.Fprintf(out, "%d calls: resident %d KiB before, %d KiB with them, %.1f KiB per call, ended early %d\n",
		m.Calls, before.resident>>10, after.resident>>10, float64(growth)/1024/float64(m.Calls), endedEarly.Load())
	return nil
}
