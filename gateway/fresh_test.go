// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"

	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// newSessionClient returns a client in a session with an owner, and a function that puts a version in force.
func newSessionClient() (a *OwnerClient, put func(now event.Time, version uint64)) {
	a = NewOwnerClient(ClientConfig{
		Entry: "entry", ControlAddresses: []string{"box"}, Log: zap.NewNop(), ConfigValidity: 5 * event.Second,
		Decode: func(data []byte) (*routing.Table, error) {
			table := &routing.Table{Version: uint64(data[0])}
			table.Index()
			return table, nil
		},
	})
	a.Connected(0, 1, "box")
	return a, func(now event.Time, version uint64) {
		a.Received(now, 1, &message.Envelope{View: &message.View{Version: version, Document: []byte{byte(version)}}})
	}
}

// TestValidWhileConfigurationChangesOften guards against ignoring confirmations of versions not in force yet: if
// changes follow each other quickly, every version is outdated when it comes in force.
func TestValidWhileConfigurationChangesOften(t *testing.T) {
	a, put := newSessionClient()
	pong := func(now event.Time, version uint64) {
		a.Received(now, 1, &message.Envelope{Pong: &message.Pong{Sent: now, Version: version}})
	}
	pong(0, 1)
	put(0, 1)
	for version := uint64(2); version < 100; version++ {
		now := event.Time(version) * event.Time(300*event.Millisecond)
		pong(now, version)
		put(now.Add(100*event.Millisecond), version-1)
		if a.Table(now.Add(100*event.Millisecond)) == nil {
			t.Fatalf("refuses at version %d, %v after the beginning", version, now)
		}
		if len(a.confirmations) > 20 {
			t.Fatalf("%d confirmations kept", len(a.confirmations))
		}
	}
}

// TestValidityCountsFromPing: a confirmation counts from the time the ping was sent, and only once its version or a
// later one is in force.
func TestValidityCountsFromPing(t *testing.T) {
	a, put := newSessionClient()
	at := func(ms int) event.Time { return event.Time(event.Duration(ms) * event.Millisecond) }
	confirm := func(ms int, version uint64) {
		a.confirmVersion(at(ms), versionConfirmation{version: version, pingSentAt: at(ms)})
	}
	serves := func(ms int) bool { return a.Table(at(ms)) != nil }
	put(0, 1)
	if serves(0) {
		t.Error("valid without a confirmation")
	}
	confirm(1000, 1)
	confirm(2000, 2)
	confirm(3000, 3)
	if !serves(5999) || serves(6000) {
		t.Error("version 1 must be valid for 5 s after the ping at 1 s")
	}
	put(4000, 2)
	if !serves(6999) || serves(7000) {
		t.Error("version 2 must be valid for 5 s after the ping at 2 s")
	}
	confirm(4500, 1) // a late confirmation that version 1 still was the newest
	if !serves(9499) || serves(9500) {
		t.Error("version 2 is valid by the confirmation of version 1 at 4.5 s")
	}
	put(9600, 3)
	if serves(9600) {
		t.Error("a confirmation of 3 s is valid at 9.6 s")
	}
	select {
	case <-a.firstTable:
	default:
		t.Error("firstTable is not closed")
	}
}
