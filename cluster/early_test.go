// SPDX-License-Identifier: MIT

package cluster

import (
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
)

// TestEntriesAwaitTheNextOwner: the owner was killed, and the other boxes sent the entries that came back to it until
// they held an election, 0.4 s later; each turn took an entry up to 0.2 s, so that it found the next owner
// that much late. A box that has lost its connection to the leader keeps them until another one is there.
func TestEntriesAwaitTheNextOwner(t *testing.T) {
	for _, isSilent := range []bool{false, true} { // its computer lost power: nobody sees its connections end
		s := newSim(t, 3, 2)
		s.run(5 * second)
		s.put(s.mustOwner(), 1)
		s.run(second)
		old := s.mustOwner().name
		if isSilent {
			s.cut = func(from, to string) bool { return from == old || to == old }
			s.run(300 * event.Millisecond)
		} else {
			s.stop(old)
		}
		// Entries come to each box again and again: what has waited for earlyPatience was sent to any other box.
		const comes = 200 * event.Millisecond
		session, last := SessionID(0), make(map[string]SessionID)
		come := func() {
			for _, name := range s.order {
				if name == old {
					continue
				}
				session++
				last[name] = session
				s.step(s.boxes[name], &SessionBegan{Reads: level.Newest, Session: session, Hello: message.Hello{Entry: event.BoxID(name)}})
				s.step(s.boxes[name], &SessionPinged{Session: session})
			}
		}
		var next *simBox
		for began := s.now; next == nil; s.run(simStep) {
			if s.now.Sub(began) > 5*second {
				t.Fatalf("silent %v: nobody owns the pools", isSilent)
			}
			if s.now.Sub(began)%comes == 0 {
				come()
			}
			for _, name := range s.order {
				if b := s.boxes[name]; name != old && b.state != nil && b.state.owner != nil {
					next = b
				}
			}
		}
		s.run(30 * event.Millisecond)
		for name, id := range last {
			knows := false
			for _, m := range s.sends[id] {
				knows = knows || m.View != nil || m.Redirect != nil && m.Redirect.Leader == next.name
			}
			if !knows {
				t.Errorf("silent %v: the entry at %s does not know of the next owner 30 ms after it began", isSilent, name)
			}
		}
		for id := range session {
			for _, m := range s.sends[id+1] {
				if m.Redirect != nil && m.Redirect.Leader == old {
					t.Errorf("silent %v: an entry was sent to the box that is gone", isSilent)
				}
			}
		}
	}
}
