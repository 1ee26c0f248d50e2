// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lynxramp.org/event"
)

// endless is an endpoint whose responses go on until their connection is closed.
type endless struct {
	start, part string
	pause       time.Duration // after each part
	hasNoHead   bool          // start is the first that is sent; otherwise it follows a status line with the request's ID
	status      int
	// begin is closed when the responses may begin; nil for at once.
	begin chan struct{}

	sent  atomic.Int64 // bytes
	open  atomic.Int64 // connections
	runs  atomic.Int64
	total atomic.Int64 // nanoseconds that the connections were open
}

func (s *endless) script(c net.Conn, r *http.Request) bool {
	s.runs.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	began := time.Now()
	defer func() { s.total.Add(int64(time.Since(began))) }()
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
	if s.begin != nil {
		<-s.begin
	}
	start := s.start
	if !s.hasNoHead {
		start = head(r, s.status, "") + start
	}
	n, err := io.WriteString(c, start)
	for ; err == nil; n, err = io.WriteString(c, s.part) {
		s.sent.Add(int64(n))
		time.Sleep(s.pause)
	}
	return false
}

const (
	byClose   = "\r\n"
	byChunks  = "Transfer-Encoding: chunked\r\n\r\n"
	byLength  = "Content-Length: 1000000000000\r\n\r\n"
	notRunOne = "X-Not-Run: 1\r\n"
)

var (
	garbage = strings.Repeat("spoiled ", 1024)
	comment = ": " + strings.Repeat("c", 1000) + "\n\n"
)

// TestEndlessResponsesAreClosed guards against responses that can be no answer and are read on until the request's deadline,
// as fast as they come or a few bytes at a time.
func TestEndlessResponsesAreClosed(t *testing.T) {
	const (
		most   = 3 << 20 // bytes that are taken of a response
		atOnce = 700 * time.Millisecond
		pause  = 20 * time.Millisecond
	)
	for name, c := range map[string]struct {
		path       string
		endpoint   *endless
		wantStatus int
	}{
		"head: garbage":                   {"/once/x", &endless{hasNoHead: true, start: "sp", part: garbage}, 502},
		"head: garbage trickles":          {"/once/x", &endless{hasNoHead: true, start: "spoiled", part: "x", pause: pause}, 502},
		"head: other protocol trickles":   {"/once/x", &endless{hasNoHead: true, start: "HTTP/2.0 200 OK\r\n", part: "x", pause: pause}, 502},
		"head: bad status trickles":       {"/once/x", &endless{hasNoHead: true, start: "HTTP/1.1 abc\r\n", part: "x", pause: pause}, 502},
		"head: no field trickles":         {"/once/x", &endless{status: 200, start: "no field\r\n", part: "x", pause: pause}, 502},
		"head: no field":                  {"/once/x", &endless{status: 200, part: "no field\r\n"}, 502},
		"stream by close":                 {"/single/x", &endless{status: 200, start: byClose, part: garbage}, 502},
		"stream by chunks":                {"/single/x", &endless{status: 200, start: byChunks, part: chunk(garbage)}, 502},
		"stream by length":                {"/single/x", &endless{status: 200, start: byLength, part: garbage}, 502},
		"stream: trailer line":            {"/single/x", &endless{status: 200, start: byChunks + chunk(eventText(1)) + "0\r\nX-Long: ", part: garbage}, 0},
		"stream: trailer lines":           {"/single/x", &endless{status: 200, start: byChunks + chunk(eventText(1)) + "0\r\n", part: "a: b\r\n"}, 0},
		"stream of comments":              {"/single/x", &endless{status: 200, start: byClose, part: comment}, 0},
		"stream: comments after an event": {"/single/x", &endless{status: 200, start: byClose + eventText(1), part: comment}, 0},
		"not run, by close":               {"/safe/x", &endless{status: 503, start: notRunOne + byClose, part: garbage}, 200},
		"not run, by chunks":              {"/safe/x", &endless{status: 503, start: notRunOne + byChunks, part: chunk(garbage)}, 200},
		"not run, trickles":               {"/safe/x", &endless{status: 503, start: notRunOne + byLength, part: "x", pause: pause}, 200},
		"misdirected, trickles":           {"/safe/x", &endless{status: 421, start: byClose, part: "x", pause: pause}, 200},
		"refused resumption, trickles":    {"/stream/x", &endless{status: 404, start: byClose, part: "x", pause: pause}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newFakeEndpoint(t, c.endpoint.script), newFakeEndpoint(t, whole(200, "answer"))
			endpoints := []*fakeEndpoint{first, second, second}
			if c.path == "/stream/x" {
				endpoints = append([]*fakeEndpoint{newFakeEndpoint(t, events(2, true))}, endpoints...)
			}
			r := newTestGateway(t, endpoints...)
			began := time.Now()
			status, whole := r.statusOf(t, c.path)
			took := time.Since(began)
			if c.wantStatus != 0 && (status != c.wantStatus || !whole) {
				t.Errorf("status %d, complete: %t, want status %d", status, whole, c.wantStatus)
			}
			if c.wantStatus == 0 && whole {
				t.Errorf("a response that broke off looks complete, status %d", status)
			}
			if took > atOnce {
				t.Errorf("the response took %v", took)
			}
			waitFor(t, "the connection is closed", func() bool { return c.endpoint.open.Load() == 0 && c.endpoint.runs.Load() > 0 })
			if open := time.Duration(c.endpoint.total.Load()); open > atOnce {
				t.Errorf("the connection was open for %v", open)
			}
			if sent := c.endpoint.sent.Load(); sent > most {
				t.Errorf("%d bytes were taken", sent)
			}
			if status, body, _ := r.do(t, r.request("POST", "/once/x", "q")); c.wantStatus != 200 && (status != 200 || body != "answer") {
				t.Errorf("a sound request after it: status %d %q", status, body)
			}
		})
	}
}

// statusOf sends a request and returns the status and whether the response is complete.
func (r *testGateway) statusOf(t *testing.T, path string) (int, bool) {
	a, err := http.DefaultClient.Do(r.request("POST", path, "q"))
	if err != nil {
		return 0, false
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, err == nil
}

// TestEndlessCallsEndWithTheirDeadline guards against endless responses to calls, which are passed on as they may be sound, that
// fill the memory of an entry whose callers read slowly, look complete, or outlast the deadline or a planned stop.
func TestEndlessCallsEndWithTheirDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		start, part string
		stops       bool
		pause       time.Duration
	}{
		"by close":                 {start: byClose, part: garbage},
		"by chunks":                {start: byChunks, part: chunk(garbage)},
		"by length":                {start: byLength, part: garbage},
		"trickles":                 {start: byLength, part: "x", pause: 20 * time.Millisecond},
		"by close during a stop":   {start: byClose, part: garbage, stops: true},
		"trickles during a stop":   {start: byLength, part: "x", pause: 20 * time.Millisecond, stops: true},
		"before a stop's deadline": {start: byChunks, part: chunk("x"), pause: 20 * time.Millisecond, stops: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const (
				calls = 30
				// withoutLimit is what a response may hold beside the limit of the account: two blocks and the socket buffers if its
				// caller is behind, and the beginning of a whole one.
				withoutLimit = floorBlocks*blockBytes + callerSendBuffer + endpointReceiveBuffer + smallResponse
			)
			// The first responses fill the memory, and calls that begin after that are refused.
			s := &endless{status: 200, start: c.start, part: c.part, pause: c.pause, begin: make(chan struct{})}
			begin := sync.OnceFunc(func() { close(s.begin) })
			t.Cleanup(begin)
			var endpoints []*fakeEndpoint
			for range calls {
				endpoints = append(endpoints, newFakeEndpoint(t, s.script))
			}
			limits := heldLimits()
			limits.Limits.Total = 4 << 20
			r := newConfiguredGateway(t, event.NewClock(), testTable(1, "key"), limits, endpoints...)
			held := r.sampleHeld()
			var wait sync.WaitGroup
			var whole atomic.Int64
			for i := range calls {
				wait.Go(func() {
					conn := r.dialCaller(t, testReceiveBuffer)
					defer conn.Close()
					fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request: r-%d\r\nAuthorization: Key key\r\nContent-Length: 1\r\n\r\nq", i)
					a, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), nil)
					if err != nil {
						return
					}
					for buffer := make([]byte, 4<<10); err == nil; _, err = a.Body.Read(buffer) {
						time.Sleep(time.Duration(i%3) * 10 * time.Millisecond)
					}
					if err == io.EOF && a.StatusCode == http.StatusOK {
						whole.Add(1)
					}
				})
			}
			waitFor(t, "all run", func() bool { return s.runs.Load() == calls })
			begin()
			if c.stops {
				r.gateway.StartDraining(time.Second)
				time.Sleep(300 * time.Millisecond)
				began := time.Now()
				r.gateway.SetDrainPhase(Stopped)
				waitFor(t, "the endpoints are closed", func() bool { return s.open.Load() == 0 })
				if took := time.Since(began); took > 500*time.Millisecond {
					t.Errorf("the connections to the endpoints were closed %v after the stop", took)
				}
			}
			waitFor(t, "the endpoints are closed", func() bool { return s.open.Load() == 0 })
			if most, limit := held(), limits.Limits.Total+calls*withoutLimit; most > limit {
				t.Errorf("%d bytes were held, limit %d", most, limit)
			}
			r.checkNothingHeld(t)
			wait.Wait()
			if whole.Load() > 0 {
				t.Errorf("%d responses look complete", whole.Load())
			}
			if open := time.Duration(s.total.Load() / calls); open > 3500*time.Millisecond {
				t.Errorf("the connections were open for %v, the deadline is 3 s", open)
			}
		})
	}
}
