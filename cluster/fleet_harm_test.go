// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/event"
)

// injectFault starts a random fault.
func (f *fleetSim) injectFault() {
	randomDuration := func(most int) event.Duration { return event.Duration(1+f.random.IntN(most)) * event.Millisecond }
	box := f.order[f.random.IntN(len(f.order))]
	if owner := f.owner(); owner != nil && f.random.IntN(2) == 0 {
		box = owner.name
	}
	forSome := func(share float64, do func(e *fleetEntry)) {
		for _, e := range f.entries {
			if f.random.Float64() < share {
				do(e)
			}
		}
	}
	share := f.random.Float64()
	switch f.random.IntN(10) {
	case 0: // kill a control box
		f.killBox(box, randomDuration(1500))
	case 1: // kill all control boxes
		for _, name := range f.order {
			f.killBox(name, randomDuration(800))
		}
	case 2: // suspend a control box
		if b := f.boxes[box]; b.state != nil && len(f.suspendedStates) == 0 {
			f.suspendedStates[box], b.state = b.state, nil
			f.restartAt[box] = f.now.Add(randomDuration(3000))
		}
	case 3: // partition a control box from the others, perhaps in one direction
		until, oneWay := f.now.Add(randomDuration(3000)), f.random.IntN(2) == 0
		f.isCut = func(from, to string) bool { return f.now < until && (from == box || (to == box && !oneWay)) }
	case 4: // request a graceful stop of a control box
		if b := f.boxes[box]; b.state != nil {
			f.step(b, &StopRequested{})
		}
	case 5, 6: // kill entries, and perhaps the owner with them
		forSome(share, func(e *fleetEntry) { f.killEntry(e, randomDuration(700)) })
		if f.random.IntN(2) == 0 {
			f.killBox(box, randomDuration(1500))
		}
	case 7: // cut entries off from the control boxes
		forSome(share, func(e *fleetEntry) { e.cutUntil = f.now.Add(randomDuration(6000)) })
	case 8: // suspend entries
		forSome(share, func(e *fleetEntry) { e.suspendedUntil = f.now.Add(randomDuration(4000)) })
	case 9: // reset connections of entries
		forSome(share, f.dropLink)
	}
	if f.random.IntN(3) == 0 { // change the load and its distribution over entries
		f.demand = fleetTeam.Rate * 6 * f.random.Float64()
		forSome(1, func(e *fleetEntry) { e.weight = f.random.Float64() * f.random.Float64() })
	}
}

func (f *fleetSim) killBox(name string, off event.Duration) {
	if f.boxes[name].state == nil {
		return
	}
	f.stop(name)
	f.restartAt[name] = f.now.Add(off)
}

// losePower has all control boxes and entries lose power for up to a second, and lostDisks control boxes their disks.
func (f *fleetSim) losePower() {
	off := func() event.Duration { return event.Duration(1+f.random.IntN(1000)) * event.Millisecond }
	for _, e := range f.entries {
		f.killEntry(e, off())
	}
	for _, name := range f.order {
		f.killBox(name, off())
	}
	for _, i := range f.random.Perm(len(f.order))[:lostDisks] {
		f.emptyBoxes++
		b := f.boxes[f.order[i]]
		b.disk = newEmptyDisk(b.name, f.emptyBoxes)
	}
}
