// SPDX-License-Identifier: MIT

// Command lynxslotd is the daemon beside one endpoint.
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
	Settings string `arg:"" type:"existingfile" help:"The slot's settings file (YAML)."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("lynxslotd"), kong.Description("Guards one endpoint until it is told to stop (SIGTERM), then drains."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, f flags) error {
	s, err := settings.LoadSlot(f.Settings)
	if err != nil {
		return err
	}
	key, err := settings.ReadKey(s.KeyFile)
	if err != nil {
		return err
	}
	log, err := box.NewLogger(os.Stderr, s.Log.Level)
	if err != nil {
		return err
	}
	slot, err := box.NewSlot(s, key, log)
	if err != nil {
		return err
	}
	return slot.Run(ctx)
}
