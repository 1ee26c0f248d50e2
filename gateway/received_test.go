// SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lynxramp.org/heldmem"
)

// sampleHeld samples what the account holds for responses until the returned function is called, which returns the most.
func (r *testGateway) sampleHeld() func() int64 {
	stop := make(chan struct{})
	var most int64
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				most = max(most, r.heldBytes())
			}
		}
	})
	return func() int64 {
		close(stop)
		sampling.Wait()
		return most
	}
}

// heapInUse returns the bytes of the heap that are in use.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// readLater sends a request and reads the body of its response once released is closed. It returns "" for a response that
// is not complete.
func (r *testGateway) readLater(path string, released chan struct{}) string {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, ReadBufferSize: 4 << 10}}
	a, err := client.Do(r.request("POST", path, "q"))
	if err != nil {
		return ""
	}
	defer a.Body.Close()
	<-released
	body, err := io.ReadAll(a.Body)
	if err != nil || a.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}

// pausedResponses is an endpoint that sends all but the end of each response, which it sends once it is released.
type pausedResponses struct {
	start, part string // of the response
	parts       int
	end         string
	begun       atomic.Int64
	released    chan struct{}
}

func (s *pausedResponses) script(c net.Conn, r *http.Request) bool {
	fmt.Fprint(c, head(r, 200, s.start))
	for range s.parts {
		if _, err := c.Write([]byte(s.part)); err != nil {
			return false
		}
	}
	s.begun.Add(1)
	<-s.released
	fmt.Fprint(c, s.end)
	return true
}

// TestResponsesTogetherAreBounded guards against responses and events that are each within their limit and together fill
// the memory of an entry without the account of slow callers. Sound endpoints suffice for that.
func TestResponsesTogetherAreBounded(t *testing.T) {
	const (
		requests = 60
		account  = 4 << 20
		size     = 800 << 10 // of a whole response
		event    = 200 << 10
		beside   = 100 << 10 // of each request at the test's caller and endpoint, and at the gateway beside the account
	)
	for name, c := range map[string]struct {
		path, start, part string
		parts             int
		end, want         string
		allServed         bool
	}{
		"whole": {"/once/x", fmt.Sprintf("Content-Length: %d\r\n\r\n", size), strings.Repeat("x", size/10), 9,
			strings.Repeat("x", size/10), strings.Repeat("x", size), true},
		"chunked": {"/once/x", "Transfer-Encoding: chunked\r\n\r\n", chunk(strings.Repeat("x", size/10)), 9,
			chunk(strings.Repeat("x", size/10)) + "0\r\n\r\n", strings.Repeat("x", size), true},
		"event": {"/stream/x", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("data: " + strings.Repeat("x", event/10) + "\n"), 9,
			chunk("\n") + "0\r\n\r\n", strings.Repeat("data: "+strings.Repeat("x", event/10)+"\n", 9) + "\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &pausedResponses{start: c.start, part: c.part, parts: c.parts, end: c.end, released: make(chan struct{})}
			paused := newFakeEndpoint(t, s.script)
			endpoints := make([]*fakeEndpoint, requests, requests+1)
			for i := range endpoints {
				endpoints[i] = paused
			}
			r := newTestGateway(t, append(endpoints, newFakeEndpoint(t, whole(200, "answer")))...)
			r.gateway.account = heldmem.NewAccount(heldmem.Limits{Total: account})
			before := heapInUse()
			held := r.sampleHeld()
			var served atomic.Int64
			var all sync.WaitGroup
			for range requests {
				all.Go(func() {
					if r.readLater(c.path, s.released) == c.want {
						served.Add(1)
					}
				})
			}
			waitFor(t, "the responses have begun", func() bool { return paused.runs() == requests })
			if status, body, _ := r.do(t, r.request("POST", "/once/x", "q")); status != http.StatusOK || body != "answer" {
				t.Errorf("status %d %q beside the others, want 200", status, body)
			}
			time.Sleep(200 * time.Millisecond)
			used := int64(heapInUse()) - int64(before)
			close(s.released)
			all.Wait()
			if most := held(); most == 0 || most > account {
				t.Errorf("%d bytes were held, want %d at most", most, account)
			}
			if limit := int64(account + requests*beside); used > limit {
				t.Errorf("the heap grew by %d bytes, want %d at most", used, limit)
			}
			if n := served.Load(); c.allServed && n != requests {
				t.Errorf("%d of %d responses were served whole", n, requests)
			}
			r.checkNothingHeld(t)
		})
	}
}

// chunk returns a chunk of a body.
func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
