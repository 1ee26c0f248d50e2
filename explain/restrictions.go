// SPDX-License-Identifier: MIT

package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Messages of the owner's log lines.
const (
	messageOwns       = "owns the pools" // a new owner logs all restrictions again
	messageRestricted = "restriction of a version changed"
)

// restrictions has the last line of each version of a service that the owner restricts.
type restrictions map[[2]string]Line

// observe updates the restrictions from a line.
func (r restrictions) observe(line Line) {
	switch line.Message {
	case messageOwns:
		clear(r)
	case messageRestricted:
		key := [2]string{fmt.Sprint(line.Fields["service"]), fmt.Sprint(line.Fields["version"])}
		if line.Fields["mode"] == "normal" {
			delete(r, key)
			return
		}
		r[key] = line
	}
}

// write writes the restrictions of a service at the time of one of its requests.
func (r restrictions) write(w io.Writer, request Line) {
	compare := func(a, b [2]string) int { return slices.Compare(a[:], b[:]) }
	for _, key := range slices.SortedFunc(maps.Keys(r), compare) {
		if key[0] != request.Fields["service"] {
			continue
		}
		line := r[key]
		fmt.Fprintf(w, "  %s: version %s is %v since %s (%.1f s): %v, order %v\n", line.Box, key[1], line.Fields["mode"],
			line.At.Format("15:04:05.000"), request.At.Sub(line.At).Seconds(), line.Fields["cause"], line.Fields["order"])
	}
}
