// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// stream passes a series of events on, each whole and at once, under the head of
// the first endpoint that answered.
func (c *call) stream(x *exchange, a *attempt, began time.Time) {
	events := newEventReader(x.response.Body)
	control := http.NewResponseController(c.w)
	var last time.Time
	var gaps time.Duration
	seen := 0
	for {
		event, id, err := events.next()
		if err == io.EOF {
			c.streamEnd(x, a)
			break
		}
		if err != nil {
			x.abort()
			a.outcome = outcomeUnknown
			if c.begun {
				a.outcome = outcomeCut
			}
			a.err = err
			break
		}
		now := time.Now()
		if seen == 0 {
			a.first = now.Sub(began)
			c.beginStream(x)
		} else {
			gaps += now.Sub(last)
		}
		last = now
		seen++
		if !isAfter(id, c.lastEvent) {
			continue // the caller has it
		}
		if !c.passEvent(control, event, id) {
			x.abort()
			a.err = errCallerGone
			a.outcome = outcomeDone
			break
		}
	}
	a.tokens = c.events * c.stride()
	if seen > 1 {
		a.gap = gaps / time.Duration((seen-1)*c.stride())
	}
}

// stride returns how many tokens an event of the service's streams holds.
func (c *call) stride() int {
	if s := c.table.Service(c.service); s != nil && s.Stride > 0 {
		return s.Stride
	}
	return 1
}

// streamEnd ends an answer whose last event has come.
func (c *call) streamEnd(x *exchange, a *attempt) {
	x.finish(c.gateway.upstream)
	a.outcome = outcomeDone
	if !c.begun {
		c.beginStream(x)
	}
	c.gateway.meters.ended(x.response.StatusCode, c.rankLabel())
	c.note(stepEnded, zap.Int("status", x.response.StatusCode), zap.Int("events", c.events), zap.Int("attempts", c.attempts))
}

// beginStream sends the head of the answer, once.
func (c *call) beginStream(x *exchange) {
	if c.begun {
		return
	}
	c.begun = true
	c.record.failed = c.record.failed || c.isLate(time.Now())
	copyHeader(c.w.Header(), x.response.Header)
	c.w.WriteHeader(x.response.StatusCode)
	c.gateway.meters.began(c.arrived, c.rankLabel())
}

// passEvent writes an event and sends it off.
func (c *call) passEvent(control *http.ResponseController, event []byte, id string) bool {
	if _, err := c.w.Write(event); err != nil {
		return false
	}
	c.events++
	if id != "" {
		c.lastEvent = id
	}
	return control.Flush() == nil
}

// isAfter reports whether an event comes after the last one that the caller has.
// Ids rise; one that is no number is always new.
func isAfter(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	b, err := strconv.ParseInt(last, 10, 64)
	return err != nil || a > b
}
