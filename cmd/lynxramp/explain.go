// SPDX-License-Identifier: MIT

package main

import (
	"os"

	"github.com/pkg/errors"

	"lynxramp.org/explain"
)

type explainCommand struct {
	ID    string   `arg:"" help:"The caller's id of the request, or ours."`
	Files []string `arg:"" type:"existingfile" help:"Log files of all processes."`
}

func (c *explainCommand) Run() error {
	var lines []explain.Line
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "log file")
		}
		read, err := explain.Read(file)
		_ = file.Close() // it was only read
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	return explain.Explain(os.Stdout, c.ID, lines)
}
