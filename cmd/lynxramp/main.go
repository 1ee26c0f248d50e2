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
	Check   checkCommand   `cmd:"" help:"Check settings and catalog files; all findings are printed, each with its place."`
	Dev     devCommand     `cmd:"" help:"Run a whole small deployment in this process, with stand-in engines."`
	Key     keyCommand     `cmd:"" help:"Make a key for a team, or print the hash of one that is typed in."`
	Bench   benchCommand   `cmd:"" help:"Measure a running deployment as its callers see it."`
	Do      doCommand      `cmd:"" help:"Ask or command in the operators' language."`
	Show    showCommand    `cmd:"" help:"Show who decides, what waits and runs, and which boxes have the catalog in force."`
	Apply   applyCommand   `cmd:"" help:"Change the catalog."`
	Recover recoverCommand `cmd:"" help:"Make a box the only voter, after most disks of the control group were lost for good."`
	Trace   traceCommand   `cmd:"" help:"Make a trace of a users workload."`
	Replay  replayCommand  `cmd:"" help:"Replay traces and compare with their stated outcomes."`
	Levels  levelsCommand  `cmd:"" help:"Show the build and the level of each box of a fleet, and what holds the next level back."`
	Explain explainCommand `cmd:"" help:"Walk log files from a request to its cause."`
	Engine  engineCommand  `cmd:"" help:"Run a stand-in of a model engine."`
	Service serviceCommand `cmd:"" help:"Run a stand-in of a plain service."`
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
	Key string `arg:"" optional:"" help:"The key to hash; a new one is made without it."`
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
	Speed  float64 `default:"1" help:"Relative to the reference engine."`
	Batch  int     `default:"16" help:"Sequences at once."`
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
