// SPDX-License-Identifier: MIT

// Command lynxrampd is the daemon of a box: it takes callers' requests, keeps
// the control state, or both, as its settings say.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"lynxramp.org/box"
	"lynxramp.org/settings"
)

type flags struct {
	Settings string `arg:"" type:"existingfile" help:"The box's settings file (YAML)."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("lynxrampd"), kong.Description("Runs a box of lynxramp until it is told to stop (SIGTERM), then drains."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, f flags) error {
	s, c, err := settings.LoadBox(f.Settings)
	if err != nil {
		return err
	}
	keys, err := box.ReadKeys(s)
	if err != nil {
		return err
	}
	log, err := box.NewLogger(os.Stderr, s.Log.Level)
	if err != nil {
		return err
	}
	b, err := box.New(s, c, keys, log)
	if err != nil {
		return err
	}
	return b.Run(ctx)
}
