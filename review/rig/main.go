//go:build review

// SPDX-License-Identifier: MIT

// Command rig plays the cases of a review: it starts a small fleet of the project's own programs on loopback
// addresses, with stand-ins for replicas, clients and the operator, and judges what those have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// most is how long a case may run.
const most = 110 * time.Second

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2 // the case could not run
)

// scenarios are the cases by name. Each returns what broke the rule; empty if it held.
var scenarios = make(map[string]func(*fleet, bool) ([]string, error))

func main() {
	target := flag.String("target", "target/lynxrampfleet", "the program that the deploy file starts")
	template := flag.String("template", "deploy/settings.yaml.template", "the template of its settings")
	recordFile := flag.String("record", "record.txt", "what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *target, *template, *recordFile, *trouble))
}

func play(name, target, template, recordFile string, trouble bool) int {
	scenario, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", name)
		return statusFailed
	}
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer rec.close()
	rec.line("case", "%s trouble=%v", name, trouble)
	f, err := newFleet(target, template, rec)
	if err != nil {
		rec.line("failed", "%v", err)
		return statusFailed
	}
	defer f.stop()
	broken, err := await(f, scenario, trouble)
	if err == nil {
		err = f.unexpectedEnd()
	}
	if err != nil {
		rec.line("failed", "%v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return statusFailed
	}
	if len(broken) == 0 {
		rec.line("result", "the rule held")
		fmt.Println("the rule held")
		return statusHeld
	}
	for _, b := range broken {
		rec.line("broken", "%s", b)
		fmt.Println("broken:", b)
	}
	return statusBroken
}

// await plays a scenario, but not for longer than it may run.
func await(f *fleet, scenario func(*fleet, bool) ([]string, error), trouble bool) ([]string, error) {
	type result struct {
		broken []string
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := scenario(f, trouble)
		ended <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-ended:
		return r.broken, r.err
	case <-time.After(most):
		return nil, fmt.Errorf("not done after %v", most)
	case s := <-signals:
		return nil, fmt.Errorf("ended by the signal %v", s)
	}
}
