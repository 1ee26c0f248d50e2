// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/engine"

// prefixBlocks bounds an endpoint's prefix index, in blocks.
const prefixBlocks = 4096

// prefixIndex guesses which prompt blocks an endpoint holds: those of the
// requests it was granted lately. Two generations of a set stand in for an
// exact order of use: when the young one is full it becomes the old one.
type prefixIndex struct {
	young, old map[uint64]struct{}
}

// cached returns how many leading prompt tokens are thought to be held.
func (p *prefixIndex) cached(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		if !p.has(b) {
			break
		}
		n++
	}
	return n * engine.BlockTokens
}

func (p *prefixIndex) has(b uint64) bool {
	if _, ok := p.young[b]; ok {
		return true
	}
	_, ok := p.old[b]
	return ok
}

func (p *prefixIndex) add(blocks []uint64) {
	for _, b := range blocks {
		if len(p.young) >= prefixBlocks/2 || p.young == nil {
			p.old = p.young
			p.young = make(map[uint64]struct{}, prefixBlocks/2)
		}
		p.young[b] = struct{}{}
	}
}
