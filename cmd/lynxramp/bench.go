// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"
	"time"

	"lynxramp.org/bench"
)

type benchCommand struct {
	Path    benchPath    `cmd:"" help:"Compare streamed calls through lynxramp with direct ones, in one run."`
	Rate    benchRate    `cmd:"" help:"Load a target with callers that ask again at once."`
	Waiting benchWaiting `cmd:"" help:"Hold many calls open and tell what each costs a process in memory."`
}

// target has the flags for the destination of requests.
type target struct {
	URL   string `default:"http://127.0.0.1:8080" help:"Where lynxramp takes requests."`
	Key   string `default:"dev-key" help:"Key of a team."`
	Model string `default:"lynx-chef" help:"Model to ask for."`
}

func (t target) target() bench.Target {
	return bench.Target{URL: t.URL, Key: t.Key, Model: t.Model}
}

type benchPath struct {
	target
	Direct string `required:"" help:"URL of the engine itself."`
	Calls  int    `default:"200" help:"Calls of each kind."`
	Tokens int    `default:"20" help:"Tokens of each answer."`
}

func (c *benchPath) Run(ctx context.Context) error {
	direct := bench.Target{URL: c.Direct, Model: c.Model}
	return bench.Overhead{Direct: direct, Through: c.target.target(), Calls: c.Calls, Tokens: c.Tokens}.Run(ctx, os.Stdout)
}

type benchRate struct {
	target
	Callers int           `default:"64" help:"Callers at once."`
	Tokens  int           `default:"1" help:"Tokens of each answer."`
	For     time.Duration `default:"5s" help:"How long."`
	PID     int           `help:"Process whose use is measured."`
}

func (c *benchRate) Run(ctx context.Context) error {
	return bench.Throughput{Target: c.target.target(), Callers: c.Callers, Tokens: c.Tokens, Duration: c.For, PID: c.PID}.Run(ctx, os.Stdout)
}

type benchWaiting struct {
	target
	Calls  int           `default:"10000" help:"Calls at once."`
	Tokens int           `default:"100000" help:"Tokens that each asks for."`
	PID    int           `required:"" help:"Process whose memory is measured."`
	Settle time.Duration `default:"3s" help:"How long the calls stand first."`
}

func (c *benchWaiting) Run(ctx context.Context) error {
	return bench.CallMemory{Target: c.target.target(), Calls: c.Calls, Tokens: c.Tokens, PID: c.PID, Settle: c.Settle}.Run(ctx, os.Stdout)
}
