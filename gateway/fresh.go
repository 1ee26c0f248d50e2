// SPDX-License-Identifier: MIT

package gateway

import (
	"slices"

	"lynxramp.org/event"
)

// This file computes how long an entry may use its configuration: for ConfigValidity after it sent a ping to
// an owner that then confirmed the version as the newest. A confirmation counts even if its version is put in
// force only later. Otherwise all entries would refuse requests when an operator changes the configuration faster
// than an entry fetches it, as each confirmation would name a version that they don't have yet.

// versionConfirmation is an owner's confirmation that a version was the newest.
type versionConfirmation struct {
	version    uint64
	pingSentAt event.Time // of the ping that the owner answered; the version was the newest at some time after
}

// confirmVersion records an owner's confirmation that a version was the newest.
func (a *OwnerClient) confirmVersion(now event.Time, c versionConfirmation) {
	a.confirmations = slices.DeleteFunc(a.confirmations, func(old versionConfirmation) bool {
		return old.version == c.version || now.Sub(old.pingSentAt) >= a.config.ConfigValidity
	})
	a.confirmations = append(a.confirmations, c)
	a.extendValidity()
}

// extendValidity extends the validity of the configuration in force. A version not lower than the confirmed
// one includes everything that was acknowledged before the entry sent the ping.
func (a *OwnerClient) extendValidity() {
	t := a.table.Load()
	if t == nil {
		return
	}
	until := a.validUntil.Load()
	wasKnown := until != 0
	a.confirmations = slices.DeleteFunc(a.confirmations, func(c versionConfirmation) bool {
		if c.version > t.Version {
			return false
		}
		until = max(until, int64(c.pingSentAt.Add(a.config.ConfigValidity)))
		return true
	})
	a.validUntil.Store(until)
	if !wasKnown && until != 0 {
		close(a.firstTable)
	}
}
