// SPDX-License-Identifier: MIT

package rollout

import "lynxramp.org/event"

const (
	// maxEndpoints and maxRoutes bound the memory of an order: some 0.3 MB. Further ones
	// are counted together, as one.
	maxEndpoints = 64
	maxRoutes    = 8
	// maxBlocks is the number of points in time from which a version may be bad that are
	// tested, and blockSize the number of responses between them at first.
	maxBlocks = 12
	blockSize = 6
	// coldResponses is how many of the first responses of an endpoint may be slower by
	// coldBins: its caches are cold. The allowance shrinks evenly.
	coldResponses = 8
	coldBins      = 2.0
)

// instanceSeparator separates the name of an endpoint from its start time. An endpoint that
// restarts stays one endpoint.
const instanceSeparator = "/"

// evidence compares the responses of a version with those of the others over the same time.
type evidence struct {
	routes    map[string]int // index in controls
	controls  []*control
	peers     peers
	ratios    [maxRoutes][maxBlocks]failRatios // as last judged
	endpoints map[string]*endpoint
	// list has the endpoints in the order of their first response: sums of numbers depend
	// on their order, and decisions must repeat.
	list []*endpoint
	// blocks has the number of responses between the points in time, the newest last.
	blocks []int

	counts    Counts
	isChanged bool // since the last judgement
	judgedAt  event.Time
	last      judgement
}

// Counts are the numbers of responses that were compared.
type Counts struct {
	Responses, Failed               int
	ControlResponses, ControlFailed int
}

// endpoint has the evidence of one endpoint of the new version.
type endpoint struct {
	instance  event.EndpointID
	responses int // of this instance
	total     int
	histories [maxRoutes]*history
}

// history has the responses of one endpoint on one route by block.
type history [maxBlocks]block

// block has the responses of a part of the order. Failures are compared with the failure rate
// when they are judged: at first it is known badly. slow are the sums of the logarithms of
// likelihood ratios.
type block struct {
	outcomes
	slow [slowAlternatives]float64
}

func newEvidence() evidence {
	return evidence{
		routes: make(map[string]int), endpoints: make(map[string]*endpoint), blocks: []int{0},
		peers: peers{byName: make(map[string]*peer)},
	}
}

// Observe adds the outcome of a request. The target is compared with versions in use only: responses of others, to
// requests that were sent before, would hide a bad target.
func (t *Tracker) Observe(sample Sample) {
	s, p := t.active(sample.Service)
	if p == nil {
		return
	}
	isTarget := sample.Version == s.newest.record.Version
	if isTarget || s.isInUse(sample.Version) {
		p.evidence.add(sample, isTarget)
	}
}

func (e *evidence) add(s Sample, isTarget bool) {
	failed := 0
	if s.Failed {
		failed = 1
	}
	route := e.route(s.Route)
	c := e.controls[route]
	if !isTarget {
		e.counts.ControlResponses++
		e.counts.ControlFailed += failed
		c.add(s, len(e.blocks)-1, &e.peers)
		return
	}
	e.counts.Responses++
	e.counts.Failed += failed
	e.isChanged = true
	e.advance()
	e.endpoint(s.Endpoint).add(route, len(e.blocks)-1, c, s)
}

// route returns the index of a route. The last one is shared by all above the bound.
func (e *evidence) route(name string) int {
	if i, ok := e.routes[name]; ok {
		return i
	}
	if len(e.controls) < maxRoutes {
		e.controls = append(e.controls, &control{})
	}
	i := len(e.controls) - 1
	if len(e.routes) < maxRoutes-1 {
		e.routes[name] = i
	}
	return i
}

// endpoint returns the state of an endpoint. The last one is shared by all above the bound.
func (e *evidence) endpoint(id event.EndpointID) *endpoint {
	name := endpointName(id)
	n, ok := e.endpoints[name]
	switch {
	case !ok && len(e.list) == maxEndpoints:
		return e.list[maxEndpoints-1]
	case !ok:
		n = &endpoint{}
		e.endpoints[name] = n
		e.list = append(e.list, n)
	}
	if n.instance != id {
		n.instance, n.responses = id, 0
	}
	return n
}

// add adds a response to a block.
func (n *endpoint) add(route, block int, c *control, s Sample) {
	if n.histories[route] == nil {
		n.histories[route] = &history{}
	}
	cold := coldBins * max(0, 1-float64(n.responses)/coldResponses)
	b := &n.histories[route][block]
	b.add(s.Failed)
	for i, ratio := range c.slowRatios(s, cold) {
		b.slow[i] += ratio
	}
	n.responses++
	n.total++
}

// advance counts a response in the newest block, and begins a new block when it is full.
func (e *evidence) advance() {
	newest := len(e.blocks) - 1
	if e.blocks[newest] < blockSize {
		e.blocks[newest]++
		return
	}
	if len(e.blocks) == maxBlocks {
		e.merge(e.leastUseful())
	}
	e.blocks = append(e.blocks, 1)
}

// leastUseful returns the first of the two adjacent blocks that are shortest relative to the
// responses since: points in time that are long ago need less resolution.
func (e *evidence) leastUseful() int {
	best, bestSize := 0, 0.0
	since := e.blocks[len(e.blocks)-1]
	for i := len(e.blocks) - 2; i > 0; i-- {
		size := float64(e.blocks[i-1]+e.blocks[i]) / float64(since+blockSize)
		if best == 0 && bestSize == 0 || size < bestSize {
			best, bestSize = i-1, size
		}
		since += e.blocks[i]
	}
	return best
}

// merge merges a block with the next one.
func (e *evidence) merge(at int) {
	e.blocks[at] += e.blocks[at+1]
	e.blocks = append(e.blocks[:at+1], e.blocks[at+2:]...)
	for _, c := range e.controls {
		c.outcomes[at].merge(c.outcomes[at+1])
		copy(c.outcomes[at+1:], c.outcomes[at+2:])
		c.outcomes[maxBlocks-1] = outcomes{}
	}
	for _, n := range e.list {
		for _, h := range n.histories {
			if h != nil {
				h.merge(at)
			}
		}
	}
}

func (h *history) merge(at int) {
	h[at].merge(h[at+1].outcomes)
	for i, sum := range h[at+1].slow {
		h[at].slow[i] += sum
	}
	copy(h[at+1:], h[at+2:])
	h[maxBlocks-1] = block{}
}
