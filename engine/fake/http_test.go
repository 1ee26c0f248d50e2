// SPDX-License-Identifier: MIT

package fake

import (
	"sync"
	"testing"
)

// TestRequestsWithoutNamesAreToldApart: two that came within one tick of the clock had one
// name, and the second got the first one's answer (TestWholePath, twice).
func TestRequestsWithoutNamesAreToldApart(t *testing.T) {
	e := NewEngine(Profile{})
	var (
		mu   sync.Mutex
		wait sync.WaitGroup
	)
	seen := make(map[string]bool)
	for range 8 {
		wait.Go(func() {
			for range 20000 {
				id := e.directID()
				mu.Lock()
				if seen[id] {
					t.Errorf("%s names two requests", id)
				}
				seen[id] = true
				mu.Unlock()
			}
		})
	}
	wait.Wait()
}
