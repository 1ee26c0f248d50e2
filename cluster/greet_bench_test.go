// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"
	"time"

	"lynxramp.org/event"
	"lynxramp.org/internal/cputime"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// BenchmarkNewSessions measures the CPU time until a new owner has answered the first pings of all entries,
// without the encoding of messages, and the size of its messages.
func BenchmarkNewSessions(b *testing.B) {
	for _, size := range []struct{ entries, teams int }{{100, 333}, {385, 5}, {385, 100}, {385, 333}, {770, 333}, {1540, 333}} {
		b.Run(fmt.Sprintf("%d_entries/%d_teams", size.entries, size.teams), func(b *testing.B) {
			for range b.N {
				took, bytes := openAllSessions(b, size.entries, size.teams)
				b.ReportMetric(float64(took.Microseconds())/1000, "ms")
				b.ReportMetric(float64(bytes)/1000, "kB")
			}
		})
	}
}

// openAllSessions connects entries to a new owner, and returns its CPU time and the encoded size of its
// messages.
func openAllSessions(b *testing.B, entries, teams int) (time.Duration, int) {
	s := newSim(b, 1, 0)
	s.settings = func(seed uint64) Settings {
		set := simSettings(seed)
		set.Decode = func([]byte) (*routing.Table, error) {
			t := &routing.Table{Version: 1, Services: []routing.Service{{Name: "s"}}}
			for i := range teams {
				t.Teams = append(t.Teams, routing.Team{Name: fmt.Sprintf("team%04d", i), Rate: 36000, Burst: 36000, InTokens: true})
			}
			t.Index()
			return t, nil
		}
		return set
	}
	s.stop("box1")
	s.restart("box1")
	s.run(2 * event.Second)
	s.put(s.mustOwner(), 1)
	s.run(event.Second)
	s.stop("box1")
	s.restart("box1")
	s.run(2 * event.Second)
	owner := s.mustOwner()
	took := cputime.Of(func() {
		for i := range entries {
			id := SessionID(i + 1)
			s.step(owner, &SessionOpened{FormatVersion: level.Newest, Session: id, Hello: message.Hello{
				Entry: event.BoxID(fmt.Sprint("entry", i)), Life: 1, Entries: entries,
			}})
			s.step(owner, &PingReceived{Session: id, Ping: message.Ping{Sent: s.now}})
		}
	})
	bytes := 0
	for _, list := range s.sends {
		size := newWireSize()
		for _, m := range list {
			bytes += size.of(m)
		}
	}
	return took, bytes
}
