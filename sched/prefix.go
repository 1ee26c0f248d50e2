// SPDX-License-Identifier: MIT

package sched

import (
	"slices"

	"lynxramp.org/engine"
)

// Bounds of the prefix index.
const (
	// maxEndpointMarks is how many marks are remembered of an endpoint.
	maxEndpointMarks = 384
	// maxHolders is how many holders of a prompt are weighed.
	maxHolders = 16
	// commonHolders is from how many holders on a mark counts as held by all:
	// to look at them would cost more than it saves.
	commonHolders = 64
)

// prefixIndex guesses which endpoints hold which prompt marks: those of the
// requests that they were granted lately. It is kept from the mark to its
// holders, so that the search for a prompt's holders does not grow with the
// number of endpoints.
type prefixIndex struct {
	holders map[uint64][]*endpoint
	results   []holder // of the last search
}

// holder is an endpoint that is thought to hold a part of a prompt.
type holder struct {
	endpoint *endpoint
	cached   int // tokens
}

// markSet is what one endpoint is thought to hold. Two generations of a set
// stand in for an exact order of use: when the young one is full it becomes the
// old one, and the old one is forgotten.
type markSet struct {
	young, old map[uint64]struct{}
}

// add notes that e was granted a request with these marks.
func (p *prefixIndex) add(e *endpoint, marks []uint64) {
	m := &e.cachedMarks
	for _, mark := range marks {
		if _, ok := m.young[mark]; ok {
			continue
		}
		if m.young == nil || len(m.young) >= maxEndpointMarks/2 {
			p.rotate(e)
		}
		if _, ok := m.old[mark]; !ok {
			p.holders[mark] = append(p.holders[mark], e)
		}
		m.young[mark] = struct{}{}
	}
}

// rotate forgets the endpoint's old generation and begins a young one.
func (p *prefixIndex) rotate(e *endpoint) {
	m := &e.cachedMarks
	for mark := range m.old {
		if _, ok := m.young[mark]; !ok {
			p.remove(mark, e)
		}
	}
	forgotten := m.old
	if forgotten == nil {
		forgotten = make(map[uint64]struct{}, maxEndpointMarks/2)
	}
	clear(forgotten)
	m.young, m.old = forgotten, m.young
}

func (p *prefixIndex) remove(mark uint64, e *endpoint) {
	list := p.holders[mark]
	i := slices.Index(list, e)
	if i < 0 {
		return
	}
	list[i] = list[len(list)-1]
	list = list[:len(list)-1]
	if len(list) == 0 {
		delete(p.holders, mark)
		return
	}
	p.holders[mark] = list
}

// search returns the endpoints that hold most of a prompt, the longest part
// first. The list is good until the next search.
func (p *prefixIndex) search(marks []uint64, promptTokens int) []holder {
	p.results = p.results[:0]
	for i := len(marks) - 1; i >= 0; i-- {
		list := p.holders[marks[i]]
		if len(list) >= commonHolders {
			break
		}
		// The prefix ends somewhere before the next mark.
		cached := min(promptTokens, (i+1)*engine.MarkTokens+engine.MarkTokens/2)
		for _, e := range list {
			if len(p.results) == maxHolders {
				return p.results
			}
			if !p.isFound(e) {
				p.results = append(p.results, holder{endpoint: e, cached: cached})
			}
		}
	}
	return p.results
}

func (p *prefixIndex) isFound(e *endpoint) bool {
	for _, h := range p.results {
		if h.endpoint == e {
			return true
		}
	}
	return false
}
