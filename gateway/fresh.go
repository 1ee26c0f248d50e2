// SPDX-License-Identifier: MIT

package gateway

import (
	"slices"

	"lynxramp.org/event"
)

// This file is how long an entry may serve by its configuration: for Fresh from when an owner last said
// that no newer one was in force. The word counts also when the configuration comes in force after
// it: an operator whose changes follow each other faster than each is decoded, fetched and read would
// else have all entries refuse from Fresh on, as each word is of a version that they don't have yet.

// versionConfirmation is an owner's word that a version was the newest one.
type versionConfirmation struct {
	version uint64
	asked   event.Time // when the entry asked for it: the version was the newest at some time since
}

// confirmVersion takes an owner's word that a version was the newest one.
func (a *OwnerClient) confirmVersion(now event.Time, w versionConfirmation) {
	a.confirmations = slices.DeleteFunc(a.confirmations, func(old versionConfirmation) bool {
		return old.version == w.version || now.Sub(old.asked) >= a.config.Fresh
	})
	a.confirmations = append(a.confirmations, w)
	a.extendValidity()
}

// extendValidity takes how long the configuration that is in force may be used. A version at least as high as
// the one that was the newest has all that was acknowledged before the entry asked.
func (a *OwnerClient) extendValidity() {
	t := a.table.Load()
	if t == nil {
		return
	}
	until := a.validUntil.Load()
	wasKnown := until != 0
	a.confirmations = slices.DeleteFunc(a.confirmations, func(w versionConfirmation) bool {
		if w.version > t.Version {
			return false
		}
		until = max(until, int64(w.asked.Add(a.config.Fresh)))
		return true
	})
	a.validUntil.Store(until)
	if !wasKnown && until != 0 {
		close(a.hasTable)
	}
}
