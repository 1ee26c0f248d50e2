// SPDX-License-Identifier: MIT

package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of processor time in /proc, on every Linux that Go runs
// on.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the command's name, counted from 0.
const (
	statUser     = 11
	statSystem   = 12
	statResident = 21
)

// use is what a process has used.
type use struct {
	cpu      time.Duration
	resident int64 // bytes
}

// usage reads the use of a process; pid 0 gives nothing.
func usage(pid int) (use, error) {
	if pid == 0 {
		return use{}, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return use{}, errors.Wrap(err, "usage")
	}
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= statResident {
		return use{}, errors.New("usage: /proc has another form")
	}
	var n [3]int64
	for i, f := range [...]int{statUser, statSystem, statResident} {
		if n[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return use{}, errors.Wrap(err, "usage")
		}
	}
	return use{
		cpu:      time.Duration(n[0]+n[1]) * clockTick,
		resident: n[2] * int64(os.Getpagesize()),
	}, nil
}
