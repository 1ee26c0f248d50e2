// SPDX-License-Identifier: MIT

package cluster

import (
	"testing"

	"lynxramp.org/consensus"
	"lynxramp.org/level"
)

// largeMachine returns a state machine with a large configuration and many endpoints.
func largeMachine(b *testing.B, d Document) *stateMachine {
	m := &stateMachine{}
	commands := encodeParts(d)
	for i := range manyEndpoints {
		commands = append(commands, encodeEndpoint(manyEndpoint(i, 1)))
	}
	for i, c := range commands {
		if _, err := m.apply(consensus.Index(i+1), c); err != nil {
			b.Fatal(err)
		}
	}
	return m
}

// BenchmarkSnapshot takes a snapshot, which runs in the event loop.
func BenchmarkSnapshot(b *testing.B) {
	m := largeMachine(b, routesDocument(1, manyRoutes))
	for b.Loop() {
		b.SetBytes(int64(len(m.snapshot())))
	}
}

// BenchmarkRestore restores the snapshot of a leader, which runs in the event loop.
func BenchmarkRestore(b *testing.B) {
	data := largeMachine(b, routesDocument(1, manyRoutes)).snapshot()
	for b.Loop() {
		var m stateMachine
		if err := m.restore(data, level.Newest); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPack compresses a configuration, which runs outside the event loop.
func BenchmarkPack(b *testing.B) {
	d := routesDocument(1, manyRoutes)
	for b.Loop() {
		d.packed = nil
		d.pack()
	}
}

// BenchmarkApplyPart applies one part of a configuration, a command of its own.
func BenchmarkApplyPart(b *testing.B) {
	list := encodeParts(routesDocument(1, manyRoutes))
	b.ResetTimer()
	for n := 0; n < b.N; {
		var m stateMachine
		for i := 0; i < len(list) && n < b.N; i, n = i+1, n+1 {
			if _, err := m.apply(1, list[i]); err != nil {
				b.Fatal(err)
			}
		}
	}
}
