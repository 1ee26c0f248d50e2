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

// The histograms' range and precision.
const (
	lowestTime  = int64(time.Microsecond)
	highestTime = int64(time.Minute)
	digits      = 3
)

// times is a histogram of times.
type times struct{ h *hdrhistogram.Histogram }

func newTimes() times { return times{h: hdrhistogram.New(lowestTime, highestTime, digits)} }

// add counts d; what lies outside the range counts as its end.
func (t times) add(d time.Duration) {
	_ = t.h.RecordValue(min(max(int64(d), lowestTime), highestTime)) // never outside
}

func (t times) at(percent float64) time.Duration {
	return time.Duration(t.h.ValueAtQuantile(percent))
}

// Path compares streamed calls through lynxramp with direct ones, in turn.
type Path struct {
	Direct  Target
	Through Target
	Calls   int // of each kind
	Tokens  int // of each answer
}

// Run measures and writes a table to out.
func (p Path) Run(ctx context.Context, out io.Writer) error {
	ways := [...]struct {
		name        string
		to          Target
		first, gaps times
	}{
		{"direct", p.Direct, newTimes(), newTimes()},
		{"through", p.Through, newTimes(), newTimes()},
	}
	c := client()
	for i := range p.Calls {
		q := engine.CompletionRequest{Prompt: fmt.Sprintf("call %d", i), MaxTokens: p.Tokens}
		for _, w := range ways {
			first, gaps, err := stream(ctx, c, w.to, q)
			if err != nil {
				return errors.Wrap(err, w.name)
			}
			w.first.add(first)
			for _, g := range gaps {
				w.gaps.add(g)
			}
		}
	}
	fmt.Fprintf(out, "%-10s %14s %14s %14s %14s\n", "way", "first p50", "first p99", "gap p50", "gap p99")
	for _, w := range ways {
		fmt.Fprintf(out, "%-10s %14v %14v %14v %14v\n", w.name, w.first.at(50), w.first.at(99), w.gaps.at(50), w.gaps.at(99))
	}
	d, t := ways[0], ways[1]
	fmt.Fprintf(out, "%-10s %14v %14v %14v %14v\n", "added",
		t.first.at(50)-d.first.at(50), t.first.at(99)-d.first.at(99),
		t.gaps.at(50)-d.gaps.at(50), t.gaps.at(99)-d.gaps.at(99))
	return nil
}

// Rate loads a target with a fixed number of callers that ask again at once.
type Rate struct {
	To      Target
	Callers int
	Tokens  int // of each answer
	For     time.Duration
	PID     int // of the process whose use is measured; 0 for none
}

// Run measures and writes a line to out.
func (r Rate) Run(ctx context.Context, out io.Writer) error {
	before, err := usage(r.PID)
	if err != nil {
		return err
	}
	c := client()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.For)
	defer cancel()
	var done, failed atomic.Int64
	var mu sync.Mutex
	all := newTimes()
	var wait sync.WaitGroup
	for i := range r.Callers {
		wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				q := engine.CompletionRequest{Prompt: fmt.Sprintf("caller %d call %d", i, n), MaxTokens: r.Tokens}
				first, _, err := stream(ctx, c, r.To, q)
				switch {
				case err == nil:
					done.Add(1)
					mu.Lock()
					all.add(first)
					mu.Unlock()
				case ctx.Err() == nil:
					failed.Add(1)
				}
			}
		})
	}
	wait.Wait()
	took := time.Since(began)
	after, err := usage(r.PID)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "callers %d: %.0f requests/s, p50 %v, p99 %v, failed %d", r.Callers, float64(done.Load())/took.Seconds(), all.at(50), all.at(99), failed.Load())
	if r.PID != 0 && done.Load() > 0 {
		cpu := after.cpu - before.cpu
		fmt.Fprintf(out, ", %v processor time a request, resident %d KiB", cpu/time.Duration(done.Load()), after.resident>>10)
	}
	fmt.Fprintln(out)
	return nil
}

// Waiting holds many calls open at once and tells what each costs a process.
type Waiting struct {
	To     Target
	Calls  int
	Tokens int
	PID    int
	// Settle is how long the calls stand before the process is measured.
	Settle time.Duration
}

// Run measures and writes a line to out.
func (w Waiting) Run(ctx context.Context, out io.Writer) error {
	before, err := usage(w.PID)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	c := client()
	var wait sync.WaitGroup
	var refused atomic.Int64
	for i := range w.Calls {
		wait.Go(func() {
			q := engine.CompletionRequest{Prompt: fmt.Sprintf("call %d", i), MaxTokens: w.Tokens}
			if _, _, err := stream(ctx, c, w.To, q); err != nil && ctx.Err() == nil {
				refused.Add(1)
			}
		})
		if i%100 == 99 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(w.Settle)
	after, err := usage(w.PID)
	cancel()
	wait.Wait()
	if err != nil {
		return err
	}
	grown := after.resident - before.resident
	fmt.Fprintf(out, "%d calls: resident %d KiB before, %d KiB with them, %.1f KiB a call, ended early %d\n",
		w.Calls, before.resident>>10, after.resident>>10, float64(grown)/1024/float64(w.Calls), refused.Load())
	return nil
}
