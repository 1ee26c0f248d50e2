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

// clockTick is the unit of CPU time in /proc (USER_HZ), which is the same on every
// Linux platform of Go.
const clockTick = 10 * time.Millisecond

// Indices of fields in /proc/PID/stat, counted from 0 after the command's name.
const (
	statUser     = 11
	statSystem   = 12
	statResident = 21
)

// resources is the CPU time and the resident memory of a process.
type resources struct {
	cpu      time.Duration
	resident int64 // bytes
}

// usage reads the resources of a process; they are zero for pid 0.
func usage(pid int) (resources, error) {
	if pid == 0 {
		return resources{}, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return resources{}, errors.Wrap(err, "usage")
	}
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= statResident {
		return resources{}, errors.New("usage: unexpected format of /proc/PID/stat")
	}
	var n [3]int64
	for i, f := range [...]int{statUser, statSystem, statResident} {
		if n[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return resources{}, errors.Wrap(err, "usage")
		}
	}
	return resources{
		cpu:      time.Duration(n[0]+n[1]) * clockTick,
		resident: n[2] * int64(os.Getpagesize()),
	}, nil
}
