// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"lynxramp.org/event"
)

// BenchmarkForwardEvent measures what an event of 100 bytes costs for a caller that reads, without and with the
// account of held memory. The handler sends as fast as it can, so with the account the caller is behind at times, and
// events are written in blocks then. Both share a process with the caller, whose reading is included.
func BenchmarkForwardEvent(b *testing.B) {
	for name, held := range map[string]*HeldMemory{"plain": nil, "held": heldLimits()} {
		b.Run(name, func(b *testing.B) {
			done := make(chan struct{})
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(done)
				forwardEvents(b, w, r, held)
			}))
			if held != nil {
				s.Config.ConnContext = ConnContext
			}
			s.Start()
			defer s.Close()
			a, err := http.Get(s.URL)
			if err != nil {
				b.Fatal(err)
			}
			defer a.Body.Close()
			if _, err := io.Copy(io.Discard, a.Body); err != nil {
				b.Fatal(err)
			}
			<-done
		})
	}
}

func forwardEvents(b *testing.B, w http.ResponseWriter, r *http.Request, held *HeldMemory) {
	g := &Gateway{memory: newHeldMemory(held), agent: &Agent{clock: event.NewClock()}}
	c := &call{gateway: g, w: newCallerWriter(w, callerWriteTimeout), r: r}
	c.newRelay()
	defer c.closeBenchRelay()
	control := http.NewResponseController(c.w)
	data := []byte(testEvent(1, 100))
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if !c.forwardEvent(control, data, fmt.Sprint(i)) {
			b.Error("the event was not taken")
			return
		}
	}
	if c.relay != nil {
		if err := c.relay.flush(context.Background(), func() bool { return false }); err != nil {
			b.Error(err)
		}
	}
	b.StopTimer()
}

// BenchmarkSocketAccepts measures what a direct write of an event costs more with the account: asking whether it would
// wait.
func BenchmarkSocketAccepts(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	s := ConnContext(context.Background(), c).Value(callerSocketKey{}).(*callerSocket)
	b.ReportAllocs()
	for range b.N {
		if !s.accepts(100) {
			b.Fatal("an empty socket accepts nothing")
		}
	}
}

func (c *call) closeBenchRelay() {
	if c.relay != nil {
		c.relay.close()
	}
}
