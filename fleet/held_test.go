// SPDX-License-Identifier: MIT

package fleet

import (
	"testing"
	"time"

	"lynxramp.org/catalog"
	"lynxramp.org/settings"
)

// TestHeldMemoryFollowsFeature guards against an account in a deployment that has not turned it on, and against limits
// that differ from the settings.
func TestHeldMemoryFollowsFeature(t *testing.T) {
	f := settings.Fleet{
		Contracts: []string{"on"}, Resources: settings.FleetResources{MemoryMB: 100},
		Held: settings.FleetHeld{Share: 0.25, ResponseKB: 512, Rate: 1000, Pause: catalog.Duration(time.Second)},
	}
	on := Dialect{Features: func(contracts []string) Features { return Features{HeldMemory: len(contracts) == 1} }}
	if got := heldMemory(f, Dialect{}); got != nil {
		t.Errorf("without the feature: %+v, want none", got)
	}
	got := heldMemory(f, on)
	if got == nil || got.Limits.Total != 25<<20 || got.Limits.MinRate != 1000 || got.Limits.Pause != time.Second || got.MaxResponseBytes != 512<<10 {
		t.Errorf("with the feature: %+v", got)
	}
	f.Contracts = nil
	if got := heldMemory(f, on); got != nil {
		t.Errorf("without the contract: %+v, want none", got)
	}
}
