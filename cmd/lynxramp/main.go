// SPDX-License-Identifier: MIT

// Command lynxramp is the operators' tool.
package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/catalog"
	"lynxramp.org/dev"
	"lynxramp.org/engine/fake"
	"lynxramp.org/internal/logx"
	"lynxramp.org/settings"
)

type commands struct {
	Check   checkCommand   `cmd:"" help:"Check settings and catalog files; all problems are printed, each with its position."`
	Dev     devCommand     `cmd:"" help:"Run a small deployment in this process, with fake engines."`
	Key     keyCommand     `cmd:"" help:"Generate a key for a team, or print the hash of a given one."`
	Bench   benchCommand   `cmd:"" help:"Measure a running deployment from the outside."`
	Do      doCommand      `cmd:"" help:"Run a query or command in the operators' language."`
	Show    showCommand    `cmd:"" help:"Show the owner, the waiting and running requests, and the catalog version of each box."`
	Apply   applyCommand   `cmd:"" help:"Change the catalog."`
	Recover recoverCommand `cmd:"" help:"Make a box the only voter, after most disks of the control group were lost for good."`
	Trace   traceCommand   `cmd:"" help:"Generate a trace of a user workload."`
	Replay  replayCommand  `cmd:"" help:"Replay traces and check their objectives."`
	Levels  levelsCommand  `cmd:"" help:"Show the build and the format level of each box of a fleet, and what blocks the next level."`
	Explain explainCommand `cmd:"" help:"Show the log lines of a request and why it ended as it did."`
	Engine  engineCommand  `cmd:"" help:"Run a fake model engine."`
	Service serviceCommand `cmd:"" help:"Run a fake plain service."`
}

func main() {
	var c commands
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed := kong.Parse(&c, kong.Name("lynxramp"), kong.Description("The operators' tool of lynxramp."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type checkCommand struct {
	Files []string `arg:"" help:"Files of any kind: box, slot, fleet or catalog."`
}

func (c *checkCommand) Run() error {
	failed := 0
	for _, file := range c.Files {
		kind, err := settings.Check(file)
		if err != nil {
			failed++
			fmt.Println(err)
			continue
		}
		fmt.Printf("%s: valid (%s)\n", file, kind)
	}
	if failed > 0 {
		return errors.Errorf("%d of %d files are invalid", failed, len(c.Files))
	}
	return nil
}

type devCommand struct {
	Listen string `default:"127.0.0.1:8080" help:"Address for callers (IP:port)."`
	Log    string `default:"warn" enum:"debug,info,warn,error" help:"Level of the log on standard error."`
}

func (c *devCommand) Run(ctx context.Context) error {
	log, err := logx.New(os.Stderr, c.Log)
	if err != nil {
		return err
	}
	return dev.Run(ctx, c.Listen, os.Stdout, log)
}

type keyCommand struct {
	Key string `arg:"" optional:"" help:"The key to hash; without it a new one is generated."`
}

func (c *keyCommand) Run() error {
	key := c.Key
	if key == "" {
		key = rand.Text()
		fmt.Println("key: ", key)
	}
	fmt.Println("hash:", catalog.HashKey(key))
	return nil
}

type engineCommand struct {
	Listen string  `required:"" help:"Address (IP:port)."`
	Speed  float64 `default:"1" help:"Speed relative to the reference engine."`
	Batch  int     `default:"16" help:"Concurrent sequences."`
}

func (c *engineCommand) Run(ctx context.Context) error {
	p := fake.DefaultProfile().Scaled(c.Speed)
	p.MaxBatch = c.Batch
	e := fake.NewEngine(p)
	go e.Run(ctx)
	return serve(ctx, c.Listen, e.Handler())
}

type serviceCommand struct {
	Listen string        `required:"" help:"Address (IP:port)."`
	Delay  time.Duration `help:"How long each call takes."`
}

func (c *serviceCommand) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, (&fake.Service{Delay: c.Delay}).Handler())
}

// serve serves HTTP requests until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ErrorLog: zap.NewStdLog(zap.NewNop())}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); err != http.ErrServerClosed {
		return errors.Wrap(err, "serve")
	}
	return nil
}
