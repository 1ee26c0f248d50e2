// SPDX-License-Identifier: MIT

package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// awaited is what a request in flight waits for.
type awaited int32

const (
	readingRequest     awaited = iota // the rest of the request
	waitingForEndpoint                // a decision, or a connection
	waitingForResponse                // the head of the response; the endpoint has the request
	receivingResponse                 // the rest of the response
	sendingResponse                   // the caller, which has not taken all of a complete response
	awaitedKinds
)

// String returns it as used in logs and metrics.
func (a awaited) String() string {
	return [...]string{"request", "endpoint", "response", "rest_of_response", "caller"}[a]
}

// stopLines is the most requests that have a line when a planned stop ends them.
const stopLines = 100

// callSet is a set of calls.
type callSet struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func newCallSet() *callSet { return &callSet{calls: make(map[*call]struct{})} }

func (s *callSet) add(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c] = struct{}{}
}

func (s *callSet) remove(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
}

func (s *callSet) list() []*call {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*call, 0, len(s.calls))
	for c := range s.calls {
		list = append(list, c)
	}
	return list
}

// callAwaited is what a call waits for, to be read by other goroutines.
type callAwaited struct {
	now      atomic.Int32 // awaited
	since    atomic.Int64 // nanoseconds from the call's arrival to now
	endpoint atomic.Pointer[Decision]
}

func (c *call) setAwaited(a awaited) {
	c.awaited.since.Store(int64(time.Since(c.arrived)))
	c.awaited.now.Store(int32(a))
}

// How a planned stop ends requests, as used in logs and metrics.
const (
	stopGivesUp   = "given_up"    // it responds that time was up, or cuts the response
	stopHandsOver = "handed_over" // the kernel sends the rest of their complete responses
	stopCloses    = "closed"      // it closes their connections
)

// handOverBuffer is the send buffer of a connection whose response is handed over to the kernel, in bytes. The kernel allocates
// twice as much at most, and less where its own limit is lower.
const handOverBuffer = 2 * maxBufferedResponse

// handOver has the kernel take the rest of a complete response, which it sends to the caller also once the process has exited. It
// takes no more memory than the response does in the process.
func (c *call) handOver() {
	var conn *net.TCPConn
	if socket, ok := c.r.Context().Value(callerSocketKey{}).(*callerSocket); ok {
		conn = socket.conn
	} else if caller, ok := c.r.Context().Value(callerConnKey{}).(*callerConn); ok {
		conn = tcpConn(caller.conn)
	}
	if conn != nil {
		_ = conn.SetWriteBuffer(handOverBuffer) // with a smaller one, less is handed over
	}
}

// endInFlight hands over complete responses and gives up the other requests in flight.
func (g *Gateway) endInFlight() {
	var complete, others []*call
	for _, c := range g.calls.list() {
		if awaited(c.awaited.now.Load()) == sendingResponse {
			c.handOver()
			complete = append(complete, c)
		} else {
			others = append(others, c)
		}
	}
	g.reportStopped(complete, stopHandsOver)
	g.reportStopped(others, stopGivesUp)
	g.giveUpAll()
}

// ReportClosed logs and counts the requests that are still in flight when the connections of callers are closed.
func (g *Gateway) ReportClosed() { g.reportStopped(g.calls.list(), stopCloses) }

// reportStopped logs and counts requests that a planned stop ends.
func (g *Gateway) reportStopped(list []*call, how string) {
	for i, c := range list {
		now := awaited(c.awaited.now.Load())
		g.meters.stoppedRequests(how, now).Inc()
		if i >= stopLines {
			continue
		}
		fields := []zap.Field{
			zap.String("request", c.callerID), zap.String("id", string(c.id)), zap.String("how", how), zap.Stringer("waits_for", now),
			zap.Duration("age", time.Since(c.arrived)), zap.Duration("waits", time.Since(c.arrived)-time.Duration(c.awaited.since.Load())),
		}
		if now > readingRequest {
			fields = append(fields, zap.String("route", c.route.Name), zap.Duration("left", c.remaining()))
		}
		if d := c.awaited.endpoint.Load(); d != nil {
			fields = append(fields, zap.String("endpoint", string(d.Endpoint)))
		}
		g.log.Warn("ended by the stop", fields...)
	}
	if rest := len(list) - stopLines; rest > 0 {
		g.log.Warn("more requests ended by the stop", zap.Int("requests", rest), zap.String("how", how))
	}
}
