// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"
	"time"

	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/internal/cputime"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

// feedbackSim is an owner with endpoints that send feedback and connected entries.
type feedbackSim struct {
	*sim
	owner *simBox
}

func newFeedbackSim(t testing.TB, endpoints, entries int, formatVersion level.Level) *feedbackSim {
	s := &feedbackSim{sim: newSim(t, 1, 0)}
	s.run(2 * event.Second)
	s.owner = s.mustOwner()
	s.put(s.owner, 1)
	for i := range endpoints {
		s.heartbeat(s.owner, registry.Endpoint{
			ID: fmt.Sprintf("i-%08x", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, 1+i%250), Slots: 8, Sequence: 1,
		})
	}
	s.run(event.Second)
	for i := range entries {
		s.connect(SessionID(i+1), formatVersion)
	}
	return s
}

func (s *feedbackSim) connect(id SessionID, formatVersion level.Level) {
	s.step(s.owner, &SessionOpened{FormatVersion: formatVersion, Session: id, Hello: message.Hello{Entry: event.BoxID(fmt.Sprint("entry", id)), Life: 1}})
}

// reportLimits has an entry report a rate limit of the endpoints with numbers in [from, to).
func (s *feedbackSim) reportLimits(id SessionID, from, to int, rate float64) {
	b := &message.Batch{}
	for i := from; i < to; i++ {
		b.Heard = append(b.Heard, backpressure.Report{
			Endpoint: event.EndpointID(fmt.Sprintf("i-%08x", i)), Word: backpressure.Feedback{Limited: true, Rate: rate},
		})
	}
	s.step(s.owner, &BatchReceived{Session: id, Batch: b})
}

// receivedFeedback returns the feedback of endpoints that a session received, and the size of its longest
// message with feedback.
func (s *feedbackSim) receivedFeedback(id SessionID) (states map[event.EndpointID]backpressure.State, longest int) {
	states = make(map[event.EndpointID]backpressure.State)
	for _, m := range s.sends[id] {
		if m.View == nil || len(m.View.Asked) == 0 {
			continue
		}
		longest = max(longest, m.Size())
		for _, one := range m.View.Asked {
			states[one.Endpoint] = one
		}
	}
	return states, longest
}

// TestFeedbackReachesAllEntries: connected entries and those that connect later receive all feedback in
// force, in messages of bounded size; entries of a format version without feedback receive none.
func TestFeedbackReachesAllEntries(t *testing.T) {
	const endpoints = 1000
	s := newFeedbackSim(t, endpoints, 3, level.Newest)
	s.connect(4, level.Instances)
	for i := range 3 {
		s.reportLimits(1, i*400, min(endpoints, (i+1)*400), 2.5)
	}
	s.run(event.Second)
	s.connect(5, level.Newest)
	for range 3 {
		s.step(s.owner, &PingReceived{Session: 5, Ping: message.Ping{Sent: s.now}})
	}
	for id, want := range map[SessionID]int{1: endpoints, 3: endpoints, 4: 0, 5: endpoints} {
		states, longest := s.receivedFeedback(id)
		if len(states) != want || longest > 17_000 {
			t.Errorf("entry %d received feedback of %d endpoints, want %d; the longest message has %d bytes", id, len(states), want, longest)
		}
		for _, one := range states {
			if !one.Limited || one.Rate != 2.5 {
				t.Fatalf("entry %d received %+v", id, one)
			}
		}
	}
}

// BenchmarkLimitedEndpoints measures the CPU time of an owner, without the encoding of messages, when many
// endpoints report a rate limit and all entries receive them, and the size of these messages.
func BenchmarkLimitedEndpoints(b *testing.B) {
	for _, entries := range []int{100, 385, 770} {
		b.Run(fmt.Sprintf("1000_endpoints/%d_entries", entries), func(b *testing.B) {
			for range b.N {
				s := newFeedbackSim(b, 1000, entries, level.Newest)
				took := cputime.Of(func() {
					for i := range entries {
						s.reportLimits(SessionID(i+1), i*1000/entries, (i+1)*1000/entries, 1.1)
					}
					s.run(100 * event.Millisecond)
				})
				bytes := 0
				for i := range entries {
					for _, m := range s.sends[SessionID(i+1)] {
						if m.View != nil && len(m.View.Asked) > 0 {
							bytes += m.Size()
						}
					}
				}
				b.ReportMetric(float64(took)/float64(time.Millisecond), "ms")
				b.ReportMetric(float64(bytes)/1000, "kB")
			}
		})
	}
}
