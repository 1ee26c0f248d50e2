// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"lynxramp.org/internal/bounded"
)

// metricsTimeout bounds the request of one box's metrics.
const metricsTimeout = 3 * time.Second

// maxMetricsBytes limits one box's metrics.
const maxMetricsBytes = 8 << 20

type levelsCommand struct {
	Boxes []string `arg:"" help:"Operators' addresses of control boxes (IP:port); the owner among them knows of all."`
	Path  string   `default:"/metrics" help:"Where boxes tell their figures."`
}

func (c *levelsCommand) Run(ctx context.Context) error {
	report := newLevelReport()
	for _, address := range c.Boxes {
		if err := report.fetch(ctx, "http://"+address+c.Path); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", address, err)
		}
	}
	if len(report.boxes) == 0 {
		return errors.New("no box reported its level")
	}
	return report.print(os.Stdout)
}

// boxLevel is the build and format level of one box.
type boxLevel struct{ box, role, build, level string }

// levelReport collects the builds and format levels from the metrics of control boxes.
type levelReport struct {
	group    int      // the control group's level; 0 if unknown
	blockers []string // members that block the next level
	boxes    map[string]boxLevel
}

func newLevelReport() *levelReport { return &levelReport{boxes: make(map[string]boxLevel)} }

var (
	groupLevelRE = regexp.MustCompile(`^lynxramp_control_level (\d+)$`)
	blockerRE    = regexp.MustCompile(`^lynxramp_control_level_held\{by="(.+)"\} 1$`)
	boxLevelRE   = regexp.MustCompile(`^lynxramp_control_box_level\{box="([^"]*)",role="([^"]*)",build="([^"]*)"\} (\d+)$`)
)

// fetch requests the metrics of a box and adds them to the report.
func (r *levelReport) fetch(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "metrics URL")
	}
	client := &http.Client{Transport: bounded.LimitBodies(bounded.NewTransport(&net.Dialer{}), maxMetricsBytes)}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "metrics request")
	}
	defer response.Body.Close()
	return r.read(response.Body)
}

// read adds the metrics of a box to the report. The highest group level is kept, as a box that was
// disconnected may report an older one.
func (r *levelReport) read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		line := lines.Text()
		if m := groupLevelRE.FindStringSubmatch(line); m != nil {
			group, err := strconv.Atoi(m[1])
			if err != nil {
				return errors.Wrap(err, "the group's level")
			}
			r.group = max(r.group, group)
		}
		if m := blockerRE.FindStringSubmatch(line); m != nil {
			r.blockers = append(r.blockers, m[1])
		}
		if m := boxLevelRE.FindStringSubmatch(line); m != nil {
			r.boxes[m[1]] = boxLevel{box: m[1], role: m[2], build: cmp.Or(m[3], "before levels"), level: m[4]}
		}
	}
	return errors.Wrap(lines.Err(), "metrics")
}

func (r *levelReport) print(out io.Writer) error {
	if r.group > 0 {
		fmt.Fprintf(out, "the group's level: %d\n", r.group)
	} else {
		fmt.Fprintln(out, "the group's level: unknown")
	}
	for _, by := range r.blockers {
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
