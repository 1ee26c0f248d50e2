// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/event"
)

// receiveStream forwards a stream event by event, each without delay. The response head is that of the first
// endpoint that responded.
func (c *call) receiveStream(x *exchange, a *attempt, started time.Time) {
	events := newEventReader(x.response.Body, c.holdEvent)
	control := http.NewResponseController(c.w)
	var last time.Time
	var gaps []time.Duration
	received := 0
	for {
		data, id, err := events.next()
		if err == io.EOF && received == 0 && !a.isFramed {
			err = io.ErrUnexpectedEOF // a response that ends with its connection has at least one event
		}
		if err == io.EOF {
			c.finishStream(x, a)
			break
		}
		if err != nil {
			x.abort()
			a.outcome = outcomeUnknown
			if c.headSent {
				a.outcome = outcomeCut
			}
			a.err = err
			c.markCut(a)
			break
		}
		now := time.Now()
		if received == 0 {
			a.firstByteAfter = now.Sub(started)
			c.bind(a.decision)
			begun := event.Begun{ID: c.id, Pool: c.service, After: a.firstByteAfter}
			begun.Slowdown, begun.SlowdownAge = a.load.take()
			begun.Delayed = c.gateway.isDelaying()
			c.gateway.agent.Begin(begun)
			c.sendStreamHead(x)
		} else if len(gaps) < maxGaps {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
		received++
		if !isAfter(id, c.lastEventID) {
			continue // the caller has received it already
		}
		if !c.forwardEvent(control, data, id) {
			x.abort()
			a.err = c.callerError()
			a.outcome = outcomeDone
			break
		}
	}
	a.tokens = c.eventsSent * c.stride()
	a.tokenGap = median(gaps) / time.Duration(c.stride())
	if c.relay != nil && a.outcome == outcomeDone {
		c.endRelayed(x, a)
	}
}

// maxGaps limits the gaps between events that are measured in a stream.
const maxGaps = 48

// median returns the median of times, or 0 if there are none. It sorts them. An endpoint that prefills
// another prompt makes a few gaps long, which does not move the median.
func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// stride returns the number of tokens in an event of the service's streams.
func (c *call) stride() int {
	if s := c.table.Service(c.service); s != nil && s.Stride > 0 {
		return s.Stride
	}
	return 1
}

// finishStream ends a stream after its last event.
func (c *call) finishStream(x *exchange, a *attempt) {
	x.finish(c.gateway.upstream)
	a.outcome = outcomeDone
	if !c.headSent {
		c.sendStreamHead(x)
	}
	if c.relay != nil {
		return // it ends once the caller has taken everything
	}
	c.gateway.meters.countResponse(x.response.StatusCode, c.rankLabel())
	c.addStep(stepEnded, zap.Int("status", x.response.StatusCode), zap.Int("events", c.eventsSent), zap.Int("attempts", c.attempts))
}

// sendStreamHead sends the head of the response unless it was sent before.
func (c *call) sendStreamHead(x *exchange) {
	if c.headSent {
		return
	}
	c.headSent = true
	c.record.failed = c.record.failed || c.isLate(time.Now())
	copyHeader(c.w.Header(), x.response.Header)
	c.w.WriteHeader(x.response.StatusCode)
	c.gateway.meters.observeFirstByte(c.arrived, c.rankLabel())
}

// forwardEvent writes an event to the caller and flushes it.
func (c *call) forwardEvent(control *http.ResponseController, event []byte, id string) bool {
	if c.relay != nil {
		if c.relayError = c.pass(event); c.relayError != nil {
			return false
		}
	} else if _, err := c.w.Write(event); err != nil {
		return false
	}
	c.eventsSent++
	if id != "" {
		c.lastEventID = id
	}
	return c.relay != nil || control.Flush() == nil
}

// isAfter reports whether an event follows the last one that the caller received. IDs rise; one that is not
// a number is always new.
func isAfter(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	b, err := strconv.ParseInt(last, 10, 64)
	return err != nil || a > b
}
