// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/heldmem"
)

// HeldMemory configures the account of the memory that an entry holds for callers and endpoints.
type HeldMemory struct {
	Limits heldmem.Limits
	// MaxResponseBytes limits what is held of one response that its caller has not taken.
	MaxResponseBytes int
}

// heldMemory is the state of the account; nil if it is off.
type heldMemory struct {
	account           *heldmem.Account
	maxResponseBlocks int
	patience          time.Duration // for which an endpoint may be left unread
	bodyTimeout       time.Duration // in which an endpoint must take a part of a body
}

func newHeldMemory(c *HeldMemory) *heldMemory {
	if c == nil {
		return nil
	}
	return &heldMemory{account: heldmem.NewAccount(c.Limits), maxResponseBlocks: max(floorBlocks, c.MaxResponseBytes/blockBytes), patience: unreadPatience, bodyTimeout: endpointBodyTimeout}
}

const (
	// unreadPatience is how long an endpoint may be left unread. Replicas cut off a response that is left
	// unread for 3 s; the difference is for goroutines that are scheduled late at a tenth of a core.
	unreadPatience = 2 * time.Second
	// reclaimInterval is the interval at which a response that waits for memory looks for responses to cut.
	reclaimInterval = 250 * time.Millisecond
	// holdTimeout is how long a request body waits for memory that is being reclaimed, in polls of holdPoll.
	holdTimeout = 300 * time.Millisecond
	holdPoll    = 25 * time.Millisecond
	// smallResponse is the size in bytes up to which a whole response is held without regard to the limit. The
	// number of such responses is bounded by the slots of the endpoints.
	smallResponse = 16 << 10
	// longChunk is the size in bytes in which a long response is read.
	longChunk = 4 << 10
	// cutLines is the number of log lines a second about callers that were cut.
	cutLines = 20
	// flushPoll is the interval at which a flush checks whether the process stops, and flushIdleTimeout how long
	// a caller may then take nothing.
	flushPoll        = 500 * time.Millisecond
	flushIdleTimeout = time.Second
)

// errCallerTooSlow is returned if a response is given up because its caller takes it too slowly.
var errCallerTooSlow = errors.New("caller reads too slowly")

// newRelay prepares the request's response to be held for a slow caller. Without the feature, or on a connection of
// another kind, there is no relay, and the response is written as it is read.
func (c *call) newRelay() {
	socket, ok := c.r.Context().Value(callerSocketKey{}).(*callerSocket)
	if c.gateway.memory == nil || !ok {
		return
	}
	c.relay = newRelay(c.gateway.memory, c.gateway.agent.clock, c.w, socket)
}

// closeRelay releases what is held of the response. No goroutine uses the caller's connection afterwards.
func (c *call) closeRelay() {
	if c.relay == nil {
		return
	}
	c.relay.close()
	c.reportCut()
}

// pass writes a part of the response to the caller, or holds it if the caller is behind.
func (c *call) pass(p []byte) error { return c.relay.pass(c.r.Context(), p) }

// callerError returns why the caller takes no more of its response.
func (c *call) callerError() error {
	if c.relay != nil {
		return c.relayError
	}
	return errCallerDisconnected
}

// flushBeforeAbort waits until the caller has taken what was received before its response broke off.
func (c *call) flushBeforeAbort() {
	if c.relay != nil && c.headSent {
		_ = c.flushRelay() // the response is aborted anyway
	}
}

// endRelayed ends a response after an attempt. The endpoint's slot is given back at once; the caller may still have
// to take what is held.
func (c *call) endRelayed(x *exchange, a *attempt) {
	c.reportAttempt(a)
	c.releaseBody()
	err := a.err
	if err == nil {
		c.setAwaited(sendingResponse)
		err = c.flushRelay()
	}
	if err != nil {
		c.abortRelayed(err)
	}
	c.gateway.meters.countResponse(x.response.StatusCode, c.rankLabel())
	c.addStep(stepEnded, zap.Int("status", x.response.StatusCode), zap.Int("events", c.eventsSent), zap.Int("attempts", c.attempts))
}

// flushRelay waits until the caller has taken what is held of its response.
func (c *call) flushRelay() error {
	return c.relay.flush(c.r.Context(), c.gateway.hasStopped)
}

// abortRelayed ends a response whose caller does not take it.
func (c *call) abortRelayed(err error) {
	if !c.wasCut() && c.r.Context().Err() != nil {
		c.abortCancelled()
	}
	c.abortResponse("the caller does not take its response", err)
}

// wasCut reports whether the caller was cut because it reads too slowly.
func (c *call) wasCut() bool {
	if c.relay == nil {
		return false
	}
	_, ok := c.relay.cutReport()
	return ok
}

// markCut sets the result of an attempt that was cancelled because the caller was cut.
func (c *call) markCut(a *attempt) {
	if c.wasCut() {
		a.outcome, a.err = outcomeDone, errCallerTooSlow
	}
}

// reportCut counts and logs the caller if it was cut.
func (c *call) reportCut() {
	cut, ok := c.relay.cutReport()
	if !ok {
		return
	}
	c.gateway.meters.cutCallers(cut.why).Inc()
	if !c.gateway.cutLimiter.Allow(time.Now(), 1) {
		return
	}
	c.gateway.log.Warn("slow caller cut", zap.String("request", c.callerID), zap.String("id", string(c.id)), zap.Stringer("why", cut.why),
		zap.Int64("held_bytes", cut.usage.Held), zap.Int64("taken_bytes", cut.usage.Taken), zap.Duration("behind_for", cut.usage.Age),
		zap.Duration("overdue", cut.usage.Overdue), zap.Duration("endpoint_unread", cut.blocked), zap.Duration("age", c.age()),
		zap.Int("events", c.eventsSent), zap.Int("attempts", c.attempts))
}

// growHeldBody gives the body a larger buffer that the account holds. The buffer grows as bytes arrive, so that a
// caller cannot take memory by its declared length alone.
func (c *call) growHeldBody(limit int64) bool {
	g := c.gateway
	size := max(initialBodyBuffer, 2*int64(cap(c.body)))
	if c.r.ContentLength >= 0 {
		limit = c.r.ContentLength
	}
	size = min(size, limit+1) // one more, so that the read after the last byte finds the end
	more := size - int64(cap(c.body))
	if more <= 0 || !g.hold(c.r.Context(), heldmem.KindBody, more, holdTimeout) {
		return false
	}
	c.bodyMemory += more
	grown := make([]byte, len(c.body), size)
	copy(grown, c.body)
	c.body = grown
	return true
}

// releaseHeldBody releases what the account holds of the body.
func (c *call) releaseHeldBody() {
	if c.bodyMemory > 0 {
		c.gateway.memory.account.Release(heldmem.KindBody, c.bodyMemory)
		c.bodyMemory = 0
	}
}

// holdResponse holds n bytes of a whole response.
func (c *call) holdResponse(n int64) bool {
	g := c.gateway
	if c.responseBytes+n <= smallResponse {
		g.account.Force(heldmem.KindResponse, n)
	} else if !g.hold(c.r.Context(), heldmem.KindResponse, n, g.wholeTimeout()) {
		return false
	}
	c.responseBytes += n
	return true
}

// wholeTimeout is how long a whole response waits for memory before it is forwarded as it arrives. Without slow callers
// to cut, there is nothing to wait for.
func (g *Gateway) wholeTimeout() time.Duration {
	if g.memory == nil {
		return 0
	}
	return unreadPatience / 2
}

// releaseResponse releases what is held of whole responses.
func (c *call) releaseResponse() {
	if c.responseBytes > 0 {
		c.gateway.account.Release(heldmem.KindResponse, c.responseBytes)
		c.responseBytes = 0
	}
}

// forwardWhole writes a complete response to the caller.
func (c *call) forwardWhole(body []byte) {
	if c.relay == nil {
		_, _ = c.w.Write(body) // the caller may have disconnected
		return
	}
	if err := c.relay.passWhole(body, c.responseBytes, c.releaseResponse); errors.Is(err, errCallerTooSlow) {
		c.abortRelayed(err)
	}
}

// forwardLongRelayed forwards the rest of a long response.
func (c *call) forwardLongRelayed(x *exchange, a *attempt, prefix []byte) {
	a.outcome = outcomeDone
	a.err = c.pass(prefix)
	c.releaseResponse()
	chunk := make([]byte, longChunk)
	for a.err == nil {
		n, err := x.response.Body.Read(chunk)
		if a.err = c.pass(chunk[:n]); a.err == nil {
			a.err = err
		}
	}
	if a.err == io.EOF {
		a.err = nil
		x.finish(c.gateway.upstream)
	} else {
		x.abort()
		c.markCut(a)
	}
	c.endRelayed(x, a)
}

// readWhole reads a whole response. It returns false and the first part if the response is too long to be buffered,
// or if there is no memory for it.
func (c *call) readWhole(x *exchange) ([]byte, bool, error) {
	length := x.response.ContentLength
	if c.r.Method == http.MethodHead {
		length = 0
	}
	if length > maxBufferedResponse {
		return nil, false, nil
	}
	data := make([]byte, 0)
	for {
		if len(data) == cap(data) {
			grown, ok := c.growResponse(data, length)
			if !ok {
				return data, false, nil
			}
			data = grown
		}
		n, err := x.response.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF:
			return data, true, nil
		case err != nil:
			return nil, false, errors.Wrap(err, "read response")
		}
	}
}

// growResponse returns data with a larger capacity, and false if there is no memory for it. One more byte than the
// known length lets the read that fills it find the end.
func (c *call) growResponse(data []byte, length int64) ([]byte, bool) {
	size := max(initialBodyBuffer, 2*cap(data))
	if length >= 0 && cap(data) == 0 {
		size = int(length) + 1
	}
	size = min(size, maxBufferedResponse+1)
	if size <= cap(data) || !c.holdResponse(int64(size-cap(data))) {
		return data, false
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, true
}

// reclaimMemory cuts overdue callers if floors exceed the limit, as no response may be waiting for memory then.
func (g *Gateway) reclaimMemory() { g.account.Reclaim(g.agent.clock.Now(), 0) }
