// SPDX-License-Identifier: MIT

package fleet

import (
	"lynxramp.org/event"
	"lynxramp.org/gateway"
	"lynxramp.org/heldmem"
	"lynxramp.org/settings"
)

// accountBytes returns the bytes that the account of an entry may hold; 0 if the memory of the box is not known.
func accountBytes(f settings.Fleet) int64 {
	return int64(float64(f.Resources.MemoryMB<<20) * f.Held.Share)
}

// heldMemory returns the configuration of an entry's account of held memory. It is nil if the deployment does not turn
// the account on, or if the memory of the box is not known.
func heldMemory(f settings.Fleet, d Dialect) *gateway.HeldMemory {
	if !d.features(f).HeldMemory || f.Resources.MemoryMB <= 0 {
		return nil
	}
	return &gateway.HeldMemory{
		Limits: heldmem.Limits{
			Total:   accountBytes(f),
			MinRate: int64(f.Held.Rate),
			Pause:   event.Duration(f.Held.Pause),
		},
		MaxResponseBytes: f.Held.ResponseKB << 10,
	}
}
