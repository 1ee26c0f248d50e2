// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"lynxramp.org/catalog"
	"lynxramp.org/lang"
	"lynxramp.org/rpc"
)

type doCommand struct {
	remote
	JSON bool     `help:"Print results as JSON lines."`
	Line []string `arg:"" optional:"" help:"A question or command; without one, lines are read from standard input."`
}

// Help implements kong.HelpProvider.
func (c *doCommand) Help() string {
	return `Examples:

  lynxramp do --control 10.20.0.1:7080 --key-file operator.key show waiting by team, tier
  lynxramp do ... 'show running by endpoint where tier = gold order by count desc limit 5'
  lynxramp do ... show refused by reason
  lynxramp do ... drain endpoint chef-01
  lynxramp do ... set tier gold rank 5 at 12

Exit status: 0 for success; 1 if the line was refused or invalid, or its result is unknown.`
}

func (c *doCommand) Run(ctx context.Context) error {
	if len(c.Line) > 0 {
		return c.do(ctx, strings.Join(c.Line, " "))
	}
	in := bufio.NewScanner(os.Stdin)
	for fmt.Print("> "); in.Scan(); fmt.Print("> ") {
		line := strings.TrimSpace(in.Text())
		if line == "" {
			continue
		}
		if line == "quit" || line == "exit" {
			return nil
		}
		if err := c.do(ctx, line); err != nil {
			fmt.Println(err)
		}
	}
	return errors.Wrap(in.Err(), "standard input")
}

func (c *doCommand) do(ctx context.Context, line string) error {
	s, err := lang.Parse(line)
	var syntax *lang.SyntaxError
	if errors.As(err, &syntax) {
		return errors.Errorf("%s\n%s^ %s", line, strings.Repeat(" ", max(0, syntax.Column-1)), syntax.Message)
	}
	if err != nil {
		return err
	}
	if s.Query != nil {
		return c.query(ctx, s.Query)
	}
	return c.command(ctx, s.Command)
}

func (c *doCommand) query(ctx context.Context, q *lang.Query) error {
	var rows []lang.Row
	err := c.callLeader(ctx, func(ctx context.Context, o rpc.Operator) (bool, error) {
		r, err := o.Count(ctx, &rpc.CountRequest{What: q.State})
		if err != nil || !r.Leads {
			return false, err
		}
		for _, row := range r.Rows {
			rows = append(rows, lang.Row{
				Team: row.Team, Tier: row.Tier, Pool: row.Pool, Endpoint: row.Endpoint, Reason: row.Reason, Count: int(row.Count),
			})
		}
		return true, nil
	})
	if err != nil {
		return err
	}
	return c.print(q, q.Run(rows))
}

func (c *doCommand) print(q *lang.Query, rows []lang.Row) error {
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		for _, r := range rows {
			if err := encoder.Encode(r); err != nil {
				return errors.Wrap(err, "result")
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(append(q.By, "count"), "\t"))
	for _, r := range rows {
		for _, f := range q.By {
			fmt.Fprint(w, r.Field(f), "\t")
		}
		fmt.Fprintln(w, r.Count)
	}
	return errors.Wrap(w.Flush(), "table")
}

func (c *doCommand) command(ctx context.Context, command *lang.Command) error {
	var status *rpc.ShowResponse
	err := c.callLeader(ctx, func(ctx context.Context, o rpc.Operator) (bool, error) {
		r, err := o.Show(ctx, &rpc.ShowRequest{})
		if err != nil {
			return false, err
		}
		status = r
		return r.Leads, nil
	})
	if err != nil {
		return err
	}
	var current catalog.Catalog
	if err := json.Unmarshal(status.Catalog, &current); err != nil {
		return errors.Wrap(err, "catalog")
	}
	changes, err := command.Changes(current)
	if err != nil {
		return err
	}
	expect := status.Version
	if command.CatalogVersion != nil {
		expect = *command.CatalogVersion
	}
	return c.apply(ctx, rand.Text(), expect, changes)
}
