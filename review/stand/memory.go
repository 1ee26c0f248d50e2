//go:build review

// SPDX-License-Identifier: MIT

package stand

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// EnforceMemory kills an entry's process while it holds more memory than its limit, as the platform does, and starts it
// again a second later. The returned function tells how often that happened to a machine.
func (f *Fleet) EnforceMemory() func(*Machine) int {
	var mu sync.Mutex
	ended := make(map[*Machine]int)
	for _, m := range f.Entries {
		go func() {
			for {
				time.Sleep(20 * time.Millisecond)
				if f.isClosed.Load() {
					return
				}
				mb := m.residentMB()
				if mb <= EntryMemory {
					continue
				}
				mu.Lock()
				ended[m]++
				mu.Unlock()
				f.Record.Add("platform: %s holds %d MB, its limit is %d MB: it is killed", m.Name, mb, EntryMemory)
				f.Signal(m, syscall.SIGKILL)
				<-m.exited
				time.Sleep(time.Second)
				f.restart(m)
			}
		}()
	}
	return func(m *Machine) int {
		mu.Lock()
		defer mu.Unlock()
		return ended[m]
	}
}

// restart starts a machine's process again unless the fleet is closed.
func (f *Fleet) restart(m *Machine) {
	f.closing.Lock()
	defer f.closing.Unlock()
	if f.isClosed.Load() {
		return
	}
	if err := f.Start(m); err != nil {
		f.Record.Add("%s: %v", m.Name, err)
	}
}

// residentMB returns the anonymous memory of the machine's process, in MB; 0 if it does not run.
func (m *Machine) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}
