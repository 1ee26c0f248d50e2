// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
)

// This file is an owner's part in what endpoints ask for in their answers: it takes in what entries heard, and
// tells all entries, so that none sends more than an endpoint takes when it decides alone, or by the grant of
// an owner that is new.

const (
	// askedMost bounds the endpoints in one message: 16 kB.
	askedMost = 400
	// askedLines bounds the lines about endpoints, in lines a second.
	askedLines = 20
)

// asking is what an owner knows of endpoints that ask for something. The zero asking knows nothing.
type asking struct {
	now  map[event.EndpointID]bool // those that do
	news map[event.EndpointID]bool // of which the entries are not yet told
	// listed has those of now by id, made once for all sessions that begin alike; nil if it is to be made anew.
	listed []event.EndpointID
	// lines were written since linesFrom, and leftOut not.
	lines, leftOut int
	linesFrom      event.Time
}

// list returns those that ask for something, by id.
func (a *asking) list() []event.EndpointID {
	if a.listed == nil {
		a.listed = slices.Sorted(maps.Keys(a.now))
	}
	return a.listed
}

// hearWords takes in words of endpoints that an entry heard.
func (o *owner) hearWords(now event.Time, entry event.BoxID, words []backpressure.Heard) {
	for i := range words {
		id := words[i].Endpoint
		if !o.admission.Hear(now, entry, &words[i], &o.effects) {
			continue
		}
		o.asking.changed(id, o.admission.Asked(id).Asks())
	}
}

func (a *asking) changed(id event.EndpointID, asks bool) {
	if a.now == nil {
		a.now, a.news = make(map[event.EndpointID]bool), make(map[event.EndpointID]bool)
	}
	a.news[id] = true
	a.listed = nil
	if asks {
		a.now[id] = true
	} else {
		delete(a.now, id)
	}
}

// gone forgets an endpoint that has ended. Entries find that out by themselves.
func (a *asking) gone(id event.EndpointID) {
	delete(a.now, id)
	delete(a.news, id)
	a.listed = nil
}

// tellAsked tells all entries what changed since the last tick, as much as one message may have.
func (o *owner) tellAsked(now event.Time, out *Effects) {
	if len(o.asking.news) == 0 {
		return
	}
	var list []backpressure.State
	for _, id := range slices.Sorted(maps.Keys(o.asking.news)) {
		if len(list) == askedMost {
			break
		}
		delete(o.asking.news, id)
		state := o.admission.Asked(id)
		list = append(list, state)
		if o.asking.mayWrite(now, out) {
			out.note("endpoint asks", Field{"endpoint", string(id)}, Field{"limited", state.Limited}, Field{"limit_per_s", state.Rate}, Field{"leaving", state.Leaving})
		}
	}
	m := &message.Envelope{View: &message.View{Asked: list}}
	for _, id := range o.inOrder() {
		if o.sessions[id].reads >= level.Asked {
			out.Sends = append(out.Sends, Send{id, m})
		}
	}
}

// mayWrite reports whether there is room for another line.
func (a *asking) mayWrite(now event.Time, out *Effects) bool {
	if now.Sub(a.linesFrom) >= event.Second {
		if a.leftOut > 0 {
			out.note("endpoints asked, lines left out", Field{"count", a.leftOut})
		}
		a.lines, a.leftOut, a.linesFrom = 0, 0, now
	}
	if a.lines == askedLines {
		a.leftOut++
		return false
	}
	a.lines++
	return true
}

// tellAskedTo tells an entry the next part of what was asked for when its session began.
func (o *owner) tellAskedTo(id SessionID, one *session, out *Effects) {
	n := min(len(one.asked), askedMost)
	if n == 0 {
		return
	}
	list := make([]backpressure.State, n)
	for i, endpoint := range one.asked[:n] {
		list[i] = o.admission.Asked(endpoint)
	}
	one.asked = one.asked[n:]
	out.Sends = append(out.Sends, Send{id, &message.Envelope{View: &message.View{Asked: list}}})
}

// obeysFor is how long an entry is taken to leave decisions to the owner after it said so: some of its questions,
// and less than it waits for an answer before it decides alone.
const obeysFor = 500 * event.Millisecond

// hearObeys takes whether an entry that asks leaves decisions to this owner. One that reads no limits spends no part.
func (e *entry) hearObeys(now event.Time, p *message.Ping) {
	if p.Owned || e.reads < level.Asked {
		e.obeyed = now
	}
}

func (e *entry) obeys(now event.Time) bool {
	return e.session != 0 && e.obeyed != 0 && now.Sub(e.obeyed) < obeysFor
}

// sharePart spends as much of endpoints' limits as belongs to the entries that leave decisions to this owner: the
// others may be deciding alone, by their own parts.
func (o *owner) sharePart(now event.Time) {
	obey := 0
	for _, e := range o.entries {
		if e.obeys(now) {
			obey++
		}
	}
	o.admission.SetPart(now, float64(obey)/float64(o.count(now)), &o.effects)
}
