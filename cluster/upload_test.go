// SPDX-License-Identifier: MIT

package cluster

import (
	"bytes"
	"testing"

	"lynxramp.org/consensus"
	"lynxramp.org/level"
	"lynxramp.org/registry"
)

// TestResentConfigurationIsLoggedOnce: a configuration that is submitted again before it is acknowledged
// must not be appended to the log again.
func TestResentConfigurationIsLoggedOnce(t *testing.T) {
	s := newSim(t, 3, 0)
	s.run(2 * second)
	owner := s.mustOwner()
	d := noiseDocument(1, 1<<20)
	before := owner.state.Node().LogBytes()
	const calls = 5
	for i := range CallID(calls) {
		s.step(owner, &DocumentSubmitted{CallID: 100 + i, Document: d})
	}
	if got, most := owner.state.Node().LogBytes()-before, 11*len(d.Data)/10; got > most {
		t.Errorf("%d calls took %d bytes of the log, want at most %d", calls, got, most)
	}
	s.run(second)
	for i := range CallID(calls) {
		if a := s.answers[100+i]; a.Status != StatusDone {
			t.Errorf("call %d was answered with %+v", i, a)
		}
	}
	s.wantDocument(owner.name, d)
}

// wantDocument checks the configuration of a box byte for byte.
func (s *sim) wantDocument(name string, want Document) {
	s.t.Helper()
	got := s.boxes[name].state.Document()
	if got.Version != want.Version || !bytes.Equal(got.Data, want.Data) {
		s.t.Errorf("%s has version %d of %d bytes, want version %d of %d bytes", name, got.Version, len(got.Data), want.Version, len(want.Data))
	}
}

// TestOnlyNewestPendingConfigurationIsLogged: of the configurations that arrive while one is being
// replicated only the newest is logged, and it answers all calls. A cancelled call delays nothing.
func TestOnlyNewestPendingConfigurationIsLogged(t *testing.T) {
	s := newSim(t, 3, 0)
	s.run(2 * second)
	owner := s.mustOwner()
	versions := []uint64{2, 5, 3, 9, 1, 7}
	for i, v := range versions {
		s.step(owner, &DocumentSubmitted{CallID: 100 + CallID(i), Document: noiseDocument(v, 1<<20)})
	}
	s.step(owner, &CallCancelled{CallID: 101})
	if got, most := owner.state.Node().LogBytes(), 11<<20/10; got > most {
		t.Errorf("the log took %d bytes, want at most %d", got, most)
	}
	s.run(3 * second)
	for i, v := range versions {
		a, answered := s.answers[100+CallID(i)]
		if isCancelled := v == 5; isCancelled == answered || (answered && a.Status != StatusDone) {
			t.Errorf("the call of version %d was answered with %+v, %v", v, a, answered)
		}
	}
	s.wantDocument(owner.name, noiseDocument(9, 1<<20))
}

// TestCallsEndWhenLeadershipIsLost: pending calls must be answered when their box is no longer the leader.
func TestCallsEndWhenLeadershipIsLost(t *testing.T) {
	s := newSim(t, 3, 0)
	s.run(2 * second)
	old := s.mustOwner()
	s.isCut = func(from, to string) bool { return from == old.name || to == old.name }
	s.step(old, &DocumentSubmitted{CallID: 100, Document: noiseDocument(1, 1<<20)})
	s.step(old, &DocumentSubmitted{CallID: 101, Document: noiseDocument(2, 1<<20)})
	s.run(3 * second)
	for callID := CallID(100); callID <= 101; callID++ {
		if a := s.answers[callID]; a.Status != StatusUnknown {
			t.Errorf("call %d was answered with %+v", callID, a)
		}
	}
	s.isCut = func(string, string) bool { return false }
	next := s.mustOwner()
	s.step(next, &DocumentSubmitted{CallID: 102, Document: noiseDocument(3, 1<<20)})
	s.run(2 * second)
	for _, name := range s.order {
		s.wantDocument(name, noiseDocument(3, 1<<20))
	}
}

// encodeParts returns the commands of a document.
func encodeParts(d Document) [][]byte {
	d.pack()
	var list [][]byte
	for i := range d.packed.parts {
		list = append(list, d.packed.encodePart(i))
	}
	return list
}

// apply applies commands, which must not fail.
func apply(t *testing.T, m *stateMachine, commands ...[]byte) {
	t.Helper()
	for i, c := range commands {
		if _, err := m.apply(consensus.Index(i+1), c); err != nil {
			t.Fatalf("command %d: %v", i, err)
		}
	}
}

func wantInForce(t *testing.T, m *stateMachine, want Document) {
	t.Helper()
	if m.document.Version != want.Version || !bytes.Equal(m.document.Data, want.Data) {
		t.Errorf("version %d of %d bytes is in force, want %d of %d", m.document.Version, len(m.document.Data), want.Version, len(want.Data))
	}
	if m.upload.data != nil {
		t.Errorf("an incomplete upload of version %d is kept", m.upload.key.Version)
	}
}

// TestDocumentsOfAllSizes: documents of one and more parts, compressible or not, are restored unchanged.
func TestDocumentsOfAllSizes(t *testing.T) {
	var m stateMachine
	for i, size := range []int{0, 1, maxPartBytes - 1, maxPartBytes, maxPartBytes + 1, 3 * maxPartBytes, 1 << 20} {
		d := noiseDocument(uint64(i+1), size)
		apply(t, &m, encodeParts(d)...)
		wantInForce(t, &m, d)
		d = Document{Version: d.Version, Data: bytes.Repeat([]byte("{}\n"), size/3)}
		var other stateMachine
		apply(t, &other, encodeParts(d)...)
		wantInForce(t, &other, d)
	}
}

// TestPartsOfOtherDocumentsAreIgnored: abandoned, duplicate, reordered and outdated parts must not change
// the document that is completed.
func TestPartsOfOtherDocumentsAreIgnored(t *testing.T) {
	a, b := noiseDocument(3, 4*maxPartBytes), noiseDocument(4, 4*maxPartBytes)
	sameVersion := noiseDocument(4, 4*maxPartBytes)
	sameVersion.Data[0]++
	pa, pb, ps := encodeParts(a), encodeParts(b), encodeParts(sameVersion)
	var m stateMachine
	apply(t, &m, pa[0], pa[1], ps[0], ps[1], pb[2], pb[0], pb[0], pb[2], pb[1], ps[1], pb[1], pb[2], pa[2])
	if m.document.Version != 0 || m.upload.key.Sum != parseKey(pb[0][1:]).Sum || len(m.upload.parts) != 3 {
		t.Fatalf("%d parts of version %d, want 3 of 4", len(m.upload.parts), m.upload.key.Version)
	}
	apply(t, &m, pb[3])
	wantInForce(t, &m, b)
	apply(t, &m, pa...)
	apply(t, &m, ps...)
	wantInForce(t, &m, b)
}

// TestDamagedPartIsNotApplied: a document that does not match its checksum or size must not take effect.
func TestDamagedPartIsNotApplied(t *testing.T) {
	var m stateMachine
	list := encodeParts(noiseDocument(1, 2*maxPartBytes))
	for name, bad := range map[string][]byte{
		"no content": list[1][:partHeaderBytes],
		"truncated":  list[1][:len(list[1])-5],
		"other part": append(bytes.Clone(list[1][:1+partHeaderBytes]), list[0][1+partHeaderBytes:]...),
		"too long":   append(bytes.Clone(list[1][:1+partHeaderBytes]), compress(make([]byte, maxPartBytes+1))...),
	} {
		apply(t, &m, list[0])
		if _, err := m.apply(9, bad); err == nil {
			t.Errorf("%s: no error", name)
		}
		if m.document.Version != 0 {
			t.Errorf("%s: the document took effect", name)
		}
		m = stateMachine{}
	}
	huge := noiseDocument(1, 5)
	huge.pack()
	huge.packed.key.Size = maxDocumentBytes + 1
	if _, err := m.apply(9, huge.packed.encodePart(0)); err == nil {
		t.Error("a document larger than the limit was accepted")
	}
}

// TestSnapshotKeepsIncompleteUpload: a restored state machine must continue an incomplete upload, and have
// the same snapshot as the original.
func TestSnapshotKeepsIncompleteUpload(t *testing.T) {
	first, second := noiseDocument(1, maxPartBytes+7), noiseDocument(2, 3*maxPartBytes)
	list := encodeParts(second)
	var m, restored stateMachine
	apply(t, &m, encodeParts(first)...)
	apply(t, &m, list[0], list[1], encodeEndpoint(registry.Endpoint{ID: "a", Service: "s", Address: "10.0.0.1:80", Sequence: 2}))
	if err := restored.restore(m.snapshot(), level.Newest); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(m.snapshot(), restored.snapshot()) {
		t.Error("the restored state machine has another snapshot than the original")
	}
	for _, one := range []*stateMachine{&m, &restored} {
		apply(t, one, list[2])
		wantInForce(t, one, second)
	}
	if got, most := len(m.snapshot()), len(second.Data)*11/10; got > most {
		t.Errorf("the snapshot has %d bytes, want at most %d", got, most)
	}
}

// FuzzRestore: arbitrary bytes are rejected, or restored to a state whose snapshot restores to the same.
func FuzzRestore(f *testing.F) {
	var m stateMachine
	list := encodeParts(noiseDocument(2, 2*maxPartBytes))
	for _, c := range append(encodeParts(noiseDocument(1, 9)), list[0]) {
		if _, err := m.apply(1, c); err != nil {
			f.Fatal(err)
		}
	}
	whole := m.snapshot()
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{lastFormat})
	f.Add(bootstrapState())
	f.Add([]byte(`{"version":1,"data":"e30=","registry":{"endpoints":null,"gone":null},"spending":{"lines":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var one, two stateMachine
		if one.restore(data, level.Newest) != nil {
			return
		}
		if err := two.restore(one.snapshot(), level.Newest); err != nil || !bytes.Equal(one.snapshot(), two.snapshot()) {
			t.Errorf("the snapshot of a restored state is not restored to the same: %v", err)
		}
	})
}
