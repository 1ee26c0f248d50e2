// SPDX-License-Identifier: MIT

package fake

import (
	"sync"
	"testing"
)

// Two requests without an id must not get the same one: the second would receive the
// response of the first.
func TestGeneratedIDsAreUnique(t *testing.T) {
	e := NewEngine(Profile{})
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	seen := make(map[string]bool)
	for range 8 {
		wg.Go(func() {
			for range 20000 {
				id := e.generateID()
				mu.Lock()
				if seen[id] {
					t.Errorf("%s was generated twice", id)
				}
				seen[id] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}
