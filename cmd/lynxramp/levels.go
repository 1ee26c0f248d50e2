// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// figuresTime bounds how long a box may take to tell its figures.
const figuresTime = 3 * time.Second

type levelsCommand struct {
	Boxes []string `arg:"" help:"Operators' addresses of control boxes (IP:port); the owner among them knows of all."`
	Path  string   `default:"/metrics" help:"Where boxes tell their figures."`
}

// Run implements the command.
func (c *levelsCommand) Run(ctx context.Context) error {
	found := newLevelReport()
	for _, address := range c.Boxes {
		if err := found.ask(ctx, "http://"+address+c.Path); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", address, err)
		}
	}
	if len(found.boxes) == 0 {
		return errors.New("no box told its level")
	}
	return found.print(os.Stdout)
}

// boxLevel is a line of the report.
type boxLevel struct{ box, role, build, level string }

// levelReport is what boxes say of their builds and levels.
type levelReport struct {
	group string
	held  []string
	boxes map[string]boxLevel
}

func newLevelReport() *levelReport { return &levelReport{boxes: make(map[string]boxLevel)} }

var (
	groupLevel = regexp.MustCompile(`^lynxramp_control_level (\d+)$`)
	heldLevel  = regexp.MustCompile(`^lynxramp_control_level_held\{by="(.+)"\} 1$`)
	oneLevel   = regexp.MustCompile(`^lynxramp_control_box_level\{box="([^"]*)",role="([^"]*)",build="([^"]*)"\} (\d+)$`)
)

func (r *levelReport) ask(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, figuresTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "figures")
	}
	defer answer.Body.Close()
	return r.read(answer.Body)
}

// read takes in what a box tells. The highest level of the group counts: a box that was away knows
// less.
func (r *levelReport) read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		line := lines.Text()
		if m := groupLevel.FindStringSubmatch(line); m != nil {
			r.group = max(r.group, m[1])
		}
		if m := heldLevel.FindStringSubmatch(line); m != nil {
			r.held = append(r.held, m[1])
		}
		if m := oneLevel.FindStringSubmatch(line); m != nil {
			r.boxes[m[1]] = boxLevel{box: m[1], role: m[2], build: cmp.Or(m[3], "before levels"), level: m[4]}
		}
	}
	return errors.Wrap(lines.Err(), "figures")
}

func (r *levelReport) print(out io.Writer) error {
	fmt.Fprintf(out, "the group's level: %s\n", cmp.Or(r.group, "unknown"))
	for _, by := range r.held {
		fmt.Fprintf(out, "held back by %s\n", by)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "box\trole\tlevel\tbuild")
	for _, name := range slices.Sorted(maps.Keys(r.boxes)) {
		b := r.boxes[name]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", b.box, b.role, b.level, b.build)
	}
	return errors.Wrap(table.Flush(), "report")
}
