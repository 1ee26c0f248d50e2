// SPDX-License-Identifier: MIT

package cluster

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

// chaosSim is a group to which configurations are submitted under random faults.
type chaosSim struct {
	*sim
	stopped  *simBox // at most one box is stopped at a time
	wiped    bool    // a box lost its disk; only one does
	isolated string  // a box that no message reaches or leaves
	loss     int     // lost messages, in percent
	sent     map[uint64]Document
	calls    map[CallID]uint64 // submitted versions
	applied  map[*State]uint64
}

func newChaosSim(t *rapid.T, tb testing.TB) *chaosSim {
	c := &chaosSim{sim: newSim(tb, 3, 0), sent: make(map[uint64]Document), calls: make(map[CallID]uint64), applied: make(map[*State]uint64)}
	seed := rapid.Uint64().Draw(t, "seed")
	c.compactThreshold = 1 // a snapshot is due after twice the last one's size
	for _, name := range c.order {
		c.boxes[name].state.compactThreshold = 1
	}
	c.random = rand.New(rand.NewPCG(seed, 3))
	c.isCut = func(from, to string) bool {
		return from == c.isolated || to == c.isolated || c.random.IntN(100) < c.loss
	}
	return c
}

// send submits a configuration to any box, a new one or an earlier one again.
func (c *chaosSim) send() {
	version := uint64(len(c.sent))
	if version == 0 || c.random.IntN(3) == 0 {
		version++
		size := []int{0, 1, maxPartBytes - 1, maxPartBytes, maxPartBytes + 1, 9 * maxPartBytes}[c.random.IntN(6)]
		c.sent[version] = noiseDocument(version, size)
	} else {
		version -= uint64(c.random.IntN(2)) * uint64(c.random.IntN(int(version)))
	}
	b := c.boxes[c.order[c.random.IntN(len(c.order))]]
	c.lastCall++
	c.calls[c.lastCall] = version
	c.step(b, &DocumentSubmitted{CallID: c.lastCall, Document: c.sent[version]})
}

// randomAction runs a random action or fault, reorders and duplicates messages, and advances time.
func (c *chaosSim) randomAction() {
	switch n := c.random.IntN(100); {
	case n < 10:
		c.send()
	case n < 20:
		c.changeEndpoints()
	case n < 43 && c.stopped == nil:
		c.stopped = c.boxes[c.order[c.random.IntN(len(c.order))]]
		if owner := c.owner(); owner != nil && n < 42 {
			c.stopped = owner
		}
		c.stop(c.stopped.name)
	case n < 50 && c.stopped != nil:
		c.restart(c.stopped.name)
		c.stopped = nil
	case n < 51 && c.stopped != nil && !c.wiped:
		c.wiped = true
		c.addEmpty(c.stopped.name)
		c.stopped = nil
	case n < 53:
		c.isolated = c.order[c.random.IntN(len(c.order))]
	case n < 60:
		c.isolated = ""
	case n < 62:
		b := c.boxes[c.order[c.random.IntN(len(c.order))]]
		b.isDiskStalled = true
	case n < 70:
		c.endStalls()
	}
	c.random.Shuffle(len(c.messages), func(i, j int) { c.messages[i], c.messages[j] = c.messages[j], c.messages[i] })
	if n := len(c.messages); n > 0 && c.random.IntN(4) == 0 {
		c.messages = append(c.messages, c.messages[c.random.IntN(n)])
	}
	c.run(simStep * event.Duration(1+c.random.IntN(5)))
	c.check()
}

// changeEndpoints changes some endpoints, so that the log is compacted.
func (c *chaosSim) changeEndpoints() {
	owner := c.owner()
	for i := 0; owner != nil && i < 4; i++ {
		e := manyEndpoint(i, uint64(c.lastCall)+1)
		e.Slots = 1 + int(c.lastCall)
		c.heartbeat(owner, e)
	}
}

// partialUploads returns how many boxes have an incomplete upload.
func (c *chaosSim) partialUploads() int {
	n := 0
	for _, name := range c.order {
		if state := c.boxes[name].state; state != nil && state.machine.upload.data != nil {
			n++
		}
	}
	return n
}

func (c *chaosSim) endStalls() {
	for _, name := range c.order {
		b := c.boxes[name]
		b.isDiskStalled = false
		if b.state != nil {
			c.saveAll(b)
		}
	}
}

// check fails the test if a box has a configuration that was not submitted, or an older one than before.
func (c *chaosSim) check() {
	for _, name := range c.order {
		state := c.boxes[name].state
		if state == nil {
			continue
		}
		d := state.Document()
		if d.Version < c.applied[state] {
			c.t.Fatalf("%s went from version %d back to %d", name, c.applied[state], d.Version)
		}
		c.applied[state] = d.Version
		if want := c.sent[d.Version]; d.Version > 0 && !bytes.Equal(d.Data, want.Data) {
			c.t.Fatalf("%s has %d bytes in version %d, %d were submitted", name, len(d.Data), d.Version, len(want.Data))
		}
	}
}

// acknowledged returns the highest acknowledged version.
func (c *chaosSim) acknowledged() uint64 {
	highest := uint64(0)
	for callID, version := range c.calls {
		if c.answers[callID].Status == StatusDone {
			highest = max(highest, version)
		}
	}
	return highest
}

// TestConfigurationUploadsUnderFaults submits configurations of one or more parts while messages are lost,
// duplicated and reordered, boxes stop and restart, one loses its disk, disks stall and snapshots are
// taken. No box may have a configuration that was not submitted, acknowledged ones must not be lost, and
// after the faults the last one must be in force on all boxes.
func TestConfigurationUploadsUnderFaults(t *testing.T) {
	snapshots, documents, partly := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		c := newChaosSim(rt, t)
		c.run(2 * second)
		c.loss = rapid.SampledFrom([]int{0, 5, 20}).Draw(rt, "loss")
		for range rapid.IntRange(50, 200).Draw(rt, "steps") {
			c.randomAction()
			partly += c.partialUploads()
		}
		c.loss, c.isolated = 0, ""
		if c.stopped != nil {
			c.restart(c.stopped.name)
		}
		c.endStalls()
		c.run(6 * second)
		acknowledged := c.acknowledged()
		if got := c.mustOwner().state.Document().Version; got < acknowledged {
			rt.Fatalf("version %d is in force, %d was acknowledged", got, acknowledged)
		}
		last := uint64(len(c.sent)) + 1
		c.sent[last] = noiseDocument(last, 3*maxPartBytes)
		c.step(c.mustOwner(), &DocumentSubmitted{CallID: 1 << 40, Document: c.sent[last]})
		c.run(2 * second)
		c.check()
		for _, name := range c.order {
			state := c.boxes[name].state
			if got := state.Document().Version; got != last {
				rt.Fatalf("%s has version %d, want %d", name, got, last)
			}
			if state.machine.upload.data != nil {
				rt.Fatalf("%s keeps an incomplete upload of version %d", name, state.machine.upload.key.Version)
			}
			snapshots += int(min(1, state.snapshotIndex/2))
			documents += len(c.sent)
		}
	})
	t.Logf("%d snapshots, %d configurations submitted, %d times an incomplete upload", snapshots, documents, partly)
	if snapshots == 0 || partly == 0 {
		t.Errorf("%d snapshots and %d times an incomplete upload, want some of both", snapshots, partly)
	}
}
