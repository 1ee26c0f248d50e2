// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"lynxramp.org/replay"
	"lynxramp.org/trace"
)

type traceCommand struct {
	Deployment string `arg:"" help:"casablanca or tbilisi."`
	Scenario   string `arg:"" help:"steady, burst, slowdown, leaving, new-owner or mix."`
	File       string `arg:"" help:"File to write (.jsonl or .jsonl.gz)."`
	Seed       uint64 `default:"1" help:"Seed; the same gives the same trace."`
}

// Run implements the command.
func (c *traceCommand) Run() error {
	t, err := trace.Generate(c.Deployment, c.Scenario, c.Seed)
	if err != nil {
		return err
	}
	return t.Save(c.File)
}

type replayCommand struct {
	Files []string `arg:"" help:"Trace files."`
	All   bool     `help:"Compare with the baselines."`
}

// Run implements the command.
func (c *replayCommand) Run() error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "trace\tpolicy\tgoodput\tby tier, highest first\trefused\tlate\tprefilled\twasted\tshare")
	missed := 0
	for _, file := range c.Files {
		t, err := trace.Load(file)
		if err != nil {
			return err
		}
		for i, p := range replay.Policies {
			if i > 0 && !c.All {
				break
			}
			r := replay.Run(t, p.New)
			r.Policy = p.Name
			row(table, r)
			if i == 0 {
				for _, m := range r.Violations(t.Header.Objectives) {
					missed++
					fmt.Fprintf(table, "%s\tMISSED\t%s\n", r.Trace, m)
				}
			}
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "table")
	}
	if missed > 0 {
		return errors.Errorf("%d stated outcomes were missed", missed)
	}
	return nil
}

func row(w *tabwriter.Writer, r replay.Result) {
	tiers := ""
	refused, late := 0, 0
	for _, n := range r.SortedRanks() {
		tiers += fmt.Sprintf("%.3f ", r.Ranks[n].Goodput())
		refused += r.Ranks[n].Refused
		late += r.Ranks[n].TimedOut
	}
	fmt.Fprintf(w, "%s\t%s\t%.3f\t%s\t%d\t%d\t%d\t%d\t%.3f\n", r.Trace, r.Policy, r.Goodput(), tiers, refused, late, r.Prefilled, r.Wasted(), r.WastedShare())
}
