// SPDX-License-Identifier: MIT

package sched

import (
	"slices"

	"lynxramp.org/engine"
)

// Bounds of the prefix index.
const (
	// maxEndpointHashes is how many hashes are kept per endpoint.
	maxEndpointHashes = 384
	// maxHolders is how many holders of a prompt a search returns.
	maxHolders = 16
	// commonHolders is the number of holders from which a hash is treated as
	// held by every endpoint: considering each would cost more than it saves.
	commonHolders = 64
)

// prefixIndex estimates which prompt prefixes endpoints have in their cache, from
// the requests recently granted to them. It maps hashes of prefixes, one for every
// engine.SampleTokens, to endpoints, so the cost of a search does not grow with
// the number of endpoints.
type prefixIndex struct {
	holders map[uint64][]*endpoint
	results []holder // result buffer of search
}

// holder is an endpoint that probably has part of a prompt in its cache.
type holder struct {
	endpoint *endpoint
	cached   int // tokens
}

// cachedHashes has the hashes of the prefixes that one endpoint probably has in
// its cache. Two generations approximate an LRU order: when the young one is full
// it becomes the old one, and the previous old one is discarded.
type cachedHashes struct {
	young, old map[uint64]struct{}
}

// add records that e was granted a request with these hashes.
func (p *prefixIndex) add(e *endpoint, hashes []uint64) {
	m := &e.cachedHashes
	for _, hash := range hashes {
		if _, ok := m.young[hash]; ok {
			continue
		}
		if m.young == nil || len(m.young) >= maxEndpointHashes/2 {
			p.rotate(e)
		}
		if _, ok := m.old[hash]; !ok {
			p.holders[hash] = append(p.holders[hash], e)
		}
		m.young[hash] = struct{}{}
	}
}

// rotate discards the endpoint's old generation and starts a new young one.
func (p *prefixIndex) rotate(e *endpoint) {
	m := &e.cachedHashes
	for hash := range m.old {
		if _, ok := m.young[hash]; !ok {
			p.remove(hash, e)
		}
	}
	recycled := m.old
	if recycled == nil {
		recycled = make(map[uint64]struct{}, maxEndpointHashes/2)
	}
	clear(recycled)
	m.young, m.old = recycled, m.young
}

func (p *prefixIndex) remove(hash uint64, e *endpoint) {
	list := p.holders[hash]
	i := slices.Index(list, e)
	if i < 0 {
		return
	}
	list[i] = list[len(list)-1]
	list = list[:len(list)-1]
	if len(list) == 0 {
		delete(p.holders, hash)
		return
	}
	p.holders[hash] = list
}

// search returns endpoints that have part of a prompt cached, longest prefix
// first. The result is valid until the next search.
func (p *prefixIndex) search(hashes []uint64, promptTokens int) []holder {
	p.results = p.results[:0]
	for i := len(hashes) - 1; i >= 0; i-- {
		list := p.holders[hashes[i]]
		if len(list) >= commonHolders {
			break
		}
		// The cached prefix ends somewhere before the next hash.
		cached := min(promptTokens, (i+1)*engine.SampleTokens+engine.SampleTokens/2)
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
