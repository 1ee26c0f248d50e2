// SPDX-License-Identifier: MIT

package heldmem

import (
	"cmp"
	"container/list"
	"slices"

	"lynxramp.org/event"
)

// element is a place in the queue of requests that wait.
type element = *list.Element

// Reclaim cuts the responses of overdue callers until the requests that wait, and the extra bytes given, can be
// granted. It returns the number of responses cut.
func (a *Account) Reclaim(now event.Time, extra int64) int {
	victims := a.selectVictims(now, extra)
	for _, r := range victims {
		r.cut()
	}
	return len(victims)
}

func (a *Account) selectVictims(now event.Time, extra int64) []*Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	missing := a.wanted + extra - a.free(KindStream) - a.reclaiming
	if missing <= 0 {
		return nil
	}
	var victims []*Response
	for _, r := range a.overdueResponses(now) {
		if missing <= 0 {
			break
		}
		missing -= a.markCut(r)
		victims = append(victims, r)
	}
	return victims
}

// markCut marks a response as cut and returns the bytes that its end will release or no longer want.
func (a *Account) markCut(r *Response) int64 {
	r.isCut = true
	bytes := r.held + r.sockets
	a.reclaiming += bytes
	if r.wait != nil {
		bytes += r.wait.bytes
		a.removeWait(r.wait)
	}
	return bytes
}

// overdueResponses returns the responses of overdue callers, those to be cut first at the front.
func (a *Account) overdueResponses(now event.Time) []*Response {
	var list []*Response
	for r := range a.responses {
		if !r.isCut && r.overdue(now) > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(x, y *Response) int { return cmp.Compare(y.weight(now), x.weight(now)) })
	return list
}

// weight is larger for a response that holds more and whose caller reads slower.
func (r *Response) weight(now event.Time) float64 {
	return float64(r.held+r.sockets) * r.overdue(now).Seconds()
}
