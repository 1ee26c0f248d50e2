// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"lynxramp.org/internal/logx"
	"lynxramp.org/settings"
)

// daemonFlags is the command line of a daemon.
type daemonFlags struct {
	Settings string `arg:"" type:"existingfile" help:"The settings file (YAML)."`
}

// RunDaemon is the main function of a daemon: it parses the command line and
// calls run with the settings file. SIGTERM and SIGINT cancel ctx. If run fails,
// the process exits with status 1.
func RunDaemon(name, description string, run func(ctx context.Context, file string) error) {
	var f daemonFlags
	kong.Parse(&f, kong.Name(name), kong.Description(description))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, f.Settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// RunFile runs a box with the given settings file until ctx ends.
func RunFile(ctx context.Context, file string) error {
	s, c, err := settings.LoadBox(file)
	if err != nil {
		return err
	}
	keys, err := ReadKeys(s)
	if err != nil {
		return err
	}
	log, err := logx.New(os.Stderr, s.Log.Level)
	if err != nil {
		return err
	}
	b, err := New(s, c, keys, log)
	if err != nil {
		return err
	}
	return b.Run(ctx)
}

// RunSlotFile runs a slot with the given settings file until ctx ends.
func RunSlotFile(ctx context.Context, file string) error {
	s, err := settings.LoadSlot(file)
	if err != nil {
		return err
	}
	key, err := settings.ReadKey(s.KeyFile)
	if err != nil {
		return err
	}
	log, err := logx.New(os.Stderr, s.Log.Level)
	if err != nil {
		return err
	}
	slot, err := NewSlot(s, key, log)
	if err != nil {
		return err
	}
	return slot.Run(ctx)
}
