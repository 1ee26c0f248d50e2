// SPDX-License-Identifier: MIT

package proc

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The benchmarks of this file measure real processes. Run them one at a time:
//
//	go test ./proc -run '^$' -bench Commit -benchtime 500x
//	go test ./proc -run '^$' -bench 'Failover|Idle' -benchtime 1x

// sampleTime is how long reportUsage measures processes.
const sampleTime = 10 * time.Second

// usage is the CPU time and memory of processes.
type usage struct {
	cpu      time.Duration
	resident int64 // bytes, of the largest process
}

func usageOf(b *testing.B, list []*process) usage {
	var u usage
	for _, p := range list {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(data), ") ")
		f := strings.Fields(rest) // see proc(5); times are in ticks of 10 ms
		user, _ := strconv.ParseInt(f[11], 10, 64)
		system, _ := strconv.ParseInt(f[12], 10, 64)
		pages, _ := strconv.ParseInt(f[21], 10, 64)
		u.cpu += time.Duration(user+system) * 10 * time.Millisecond
		u.resident = max(u.resident, pages*int64(os.Getpagesize()))
	}
	return u
}

// loopbackBytes returns the bytes received on the loopback interface.
func loopbackBytes(b *testing.B) int64 {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "lo:" {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			return n
		}
	}
	b.Fatal("no loopback interface")
	return 0
}

// reportUsage measures the resource usage of a cluster's processes for sampleTime.
func (c *cluster) reportUsage(b *testing.B, name string) {
	groups := map[string][]*process{
		"control": c.boxes[:c.topology.controls],
		"entry":   c.boxes[c.topology.controls:],
		"slot":    c.slots,
	}
	before := make(map[string]usage)
	for group, list := range groups {
		before[group] = usageOf(b, list)
	}
	from := loopbackBytes(b)
	time.Sleep(sampleTime)
	to := loopbackBytes(b)
	all := len(c.boxes) + len(c.slots)
	b.ReportMetric(float64(to-from)/sampleTime.Seconds()/float64(all), name+"-B/s/process")
	for group, list := range groups {
		if len(list) == 0 {
			continue
		}
		after := usageOf(b, list)
		percent := 100 * (after.cpu - before[group].cpu).Seconds() / sampleTime.Seconds() / float64(len(list))
		b.ReportMetric(percent, name+"-"+group+"-%core")
		b.ReportMetric(float64(after.resident)/(1<<20), name+"-"+group+"-MiB")
	}
}

// BenchmarkIdle measures the network, CPU and memory usage of the control plane,
// when idle and at one change per second.
func BenchmarkIdle(b *testing.B) {
	for _, s := range []topology{
		{boxes: 3, controls: 3, engines: []float64{4}},
		{boxes: 30, controls: 3, engines: []float64{4}},
		{boxes: 3, controls: 3, engines: slices.Repeat([]float64{4}, 30)},
	} {
		b.Run(fmt.Sprintf("boxes=%d,slots=%d", s.boxes, len(s.engines)), func(b *testing.B) {
			c := newCluster(b, s)
			leader := c.waitLeader()
			time.Sleep(2 * time.Second)
			c.reportUsage(b, "idle")
			stop := make(chan struct{})
			done := make(chan struct{})
			go func() {
				defer close(done)
				version := c.show(leader).Version
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Second):
					}
					version = c.apply(fmt.Sprint("change-", n), version, teamChange(n%50)).Version
				}
			}()
			c.reportUsage(b, "changing")
			close(stop)
			<-done
		})
	}
}

// BenchmarkCommit measures the latency of sequential operators' commands.
func BenchmarkCommit(b *testing.B) {
	c := newCluster(b, topology{boxes: 3, controls: 3, engines: []float64{4}})
	leader := c.waitLeader()
	version := c.show(leader).Version
	times := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for n := range b.N {
		began := time.Now()
		version = c.apply(fmt.Sprint("change-", n), version, teamChange(n%50)).Version
		times = append(times, time.Since(began))
	}
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkFailover measures the time without an owner after the owner is killed,
// frozen or stopped.
func BenchmarkFailover(b *testing.B) {
	cases := []struct {
		name   string
		signal syscall.Signal
	}{{"kill", syscall.SIGKILL}, {"freeze", syscall.SIGSTOP}, {"stop", syscall.SIGTERM}}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			var times []time.Duration
			for range 7 {
				c := newCluster(b, topology{boxes: 3, controls: 3, engines: []float64{4}})
				leader := c.waitLeader()
				time.Sleep(time.Duration(len(times)) * 100 * time.Millisecond)
				began := time.Now()
				c.boxes[leader].exitExpected = true
				c.boxes[leader].signal(tc.signal)
				c.waitLeader(leader)
				times = append(times, time.Since(began))
				for _, list := range [][]*process{c.boxes, c.slots, c.engines} {
					for _, p := range list {
						p.kill()
					}
				}
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
		})
	}
}

// BenchmarkClaim compares plain calls with and without an idempotency key, which is
// claimed in the replicated log.
func BenchmarkClaim(b *testing.B) {
	c := newCluster(b, topology{boxes: 3, controls: 3, engines: []float64{4}, services: 1})
	box := (c.waitLeader() + 1) % 3
	var without, with []time.Duration
	for n := range b.N {
		without = append(without, c.call(box, "POST", "/svc/card-api/tag", "x", nil).took)
		with = append(with, c.call(box, "POST", "/svc/card-api/tag", "x", header("Idempotency-Key", fmt.Sprint(n))).took)
	}
	slices.Sort(without)
	slices.Sort(with)
	b.ReportMetric(float64(without[len(without)/2].Microseconds()), "without-p50-µs")
	b.ReportMetric(float64(with[len(with)/2].Microseconds()), "with-p50-µs")
	b.ReportMetric(float64(with[len(with)*99/100].Microseconds()), "with-p99-µs")
}
