// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"

	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// newSessionClient returns an entry in a session with an owner, and what puts a version in force.
func newSessionClient() (a *OwnerClient, put func(now event.Time, version uint64)) {
	a = NewOwnerClient(ClientConfig{
		Entry: "entry", Control: []string{"box"}, Log: zap.NewNop(), Fresh: 5 * event.Second,
		Decode: func(data []byte) (*routing.Table, error) {
			table := &routing.Table{Version: uint64(data[0])}
			table.Index()
			return table, nil
		},
	})
	a.Dialed(0, 1, "box")
	return a, func(now event.Time, version uint64) {
		a.Received(now, 1, &message.Envelope{View: &message.View{Version: version, Document: []byte{byte(version)}}})
	}
}

// TestValidWhileConfigurationChangesOften: an operator sent a change as soon as the one before was acknowledged.
// Each came in force at an entry when the next was the newest already, so that no word of the owner
// counted, and the entry refused all requests 5 s later though it was never more than half a second behind.
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
			t.Fatalf("%d words kept", len(a.confirmations))
		}
	}
}

// TestValidityCountsFromPing: a version that was the newest a while ago is good for that much less, and
// one that is not in force for nothing.
func TestValidityCountsFromPing(t *testing.T) {
	a, put := newSessionClient()
	at := func(ms int) event.Time { return event.Time(event.Span(ms) * event.Millisecond) }
	hear := func(ms int, version uint64) {
		a.confirmVersion(at(ms), versionConfirmation{version: version, asked: at(ms)})
	}
	serves := func(ms int) bool { return a.Table(at(ms)) != nil }
	put(0, 1)
	if serves(0) {
		t.Error("serves without word")
	}
	hear(1000, 1)
	hear(2000, 2)
	hear(3000, 3)
	if !serves(5999) || serves(6000) {
		t.Error("version 1 was the newest when the owner was asked at 1 s")
	}
	put(4000, 2)
	if !serves(6999) || serves(7000) {
		t.Error("version 2 was the newest when the owner was asked at 2 s")
	}
	hear(4500, 1) // a word that came late tells that version 1 still was the newest then
	if !serves(9499) || serves(9500) {
		t.Error("version 2 has what version 1 had at 4.5 s")
	}
	put(9600, 3)
	if serves(9600) {
		t.Error("a word of 3 s counts at 9.6 s")
	}
	select {
	case <-a.hasTable:
	default:
		t.Error("it is not told that a configuration is in force")
	}
}
