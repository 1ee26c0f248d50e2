// SPDX-License-Identifier: MIT

package proc

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// stopCallers calls one box until stop is closed, and collects the calls that ended without a response although the box must
// have read them.
type stopCallers struct {
	stop   chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	served int
	lost   []string
}

// crossing is the time in which a request that crosses the close of its connection fails; the box has not read it.
const crossing = 200 * time.Millisecond

func (c *cluster) startStopCallers(box, callers, tokens int) *stopCallers {
	s := &stopCallers{stop: make(chan struct{})}
	for i := range callers {
		s.wait.Go(func() {
			for {
				select {
				case <-s.stop:
					return
				default:
				}
				began := time.Now()
				a := c.call(box, http.MethodPost, "/v1/completions", completion("stop", tokens, i%2 == 0), nil)
				s.mu.Lock()
				switch {
				case a.err == nil && a.status == http.StatusOK:
					s.served++
				case a.err == nil:
				case a.status != 0:
					s.lost = append(s.lost, "a response broke off: "+a.err.Error())
				case time.Since(began) > crossing:
					s.lost = append(s.lost, "no response: "+a.err.Error())
				}
				s.mu.Unlock()
				if a.err != nil {
					time.Sleep(20 * time.Millisecond) // the box is gone
				}
			}
		})
	}
	return s
}

func (s *stopCallers) finish(t *testing.T, what string) {
	t.Helper()
	close(s.stop)
	s.wait.Wait()
	t.Logf("%s: %d served, %d lost", what, s.served, len(s.lost))
	if s.served == 0 {
		t.Errorf("%s: nothing was served", what)
	}
	for _, l := range s.lost {
		t.Errorf("LOST: %s: %s", what, l)
	}
}

// TestStopBesideKeptConnections guards against planned stops of an entry, a slot and an owner that cut requests of callers
// who keep using their connections until the process is gone.
func TestStopBesideKeptConnections(t *testing.T) {
	c := newCluster(t, topology{boxes: 5, controls: 3, engines: []float64{4, 4, 4}})
	leader := c.waitLeader()
	l := c.startStopCallers(4, 12, 60)
	other := c.startStopCallers(3, 6, 60)
	time.Sleep(time.Second)
	c.boxes[4].stop()
	l.finish(t, "an entry stops")
	for range 2 {
		c.slots[0].stop()
		time.Sleep(300 * time.Millisecond)
		c.slots[0].start()
		time.Sleep(300 * time.Millisecond)
	}
	c.boxes[leader].stop()
	time.Sleep(time.Second)
	other.finish(t, "slots and the owner stop")
}
