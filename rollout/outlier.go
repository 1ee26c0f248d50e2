// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"slices"
	"strings"

	"lynxramp.org/event"
)

const (
	// An endpoint of the other versions is an outlier if it exceeds the lower median of them by
	// outlierFailures in its failure rate, or by outlierBins in its mean slowness, over at least
	// minOutlierResponses. Outlier ones are left out of the comparison: with 3 endpoints one that
	// fails 40% hides a version that fails half.
	outlierFailures     = 0.2
	outlierBins         = 2.0
	minOutlierResponses = 12.0
	// recentOfEndpoint is the number of responses of an endpoint above which its counts are
	// halved.
	recentOfEndpoint = 64.0
	// outlierInterval is the number of control responses after which outlier endpoints are looked
	// for again.
	outlierInterval = 8
)

// peers are the endpoints of the other versions.
type peers struct {
	byName map[string]*peer
	list   []*peer
	added  int
}

// peer has the recent responses of an endpoint of another version.
type peer struct {
	responses, failures float64
	timed, bins         float64 // responses with a known slowness, and its sum
	// isFailing and isSlow are set while the endpoint is an outlier.
	isFailing, isSlow bool
}

// get returns the state of an endpoint. The last one is shared by all above the bound.
func (p *peers) get(id event.EndpointID) *peer {
	name := endpointName(id)
	if n, ok := p.byName[name]; ok {
		return n
	}
	if len(p.list) == maxEndpoints {
		return p.list[maxEndpoints-1]
	}
	n := &peer{}
	p.byName[name] = n
	p.list = append(p.list, n)
	return n
}

// endpointName returns the name of an endpoint without its start time: an endpoint that
// restarts stays one endpoint.
func endpointName(id event.EndpointID) string {
	name, _, _ := strings.Cut(string(id), instanceSeparator)
	return name
}

// add adds a response of an endpoint and returns its state.
func (p *peers) add(s Sample, bin float64, isTimed bool) *peer {
	n := p.get(s.Endpoint)
	n.responses++
	if s.Failed {
		n.failures++
	}
	if isTimed {
		n.timed++
		n.bins += bin
	}
	if n.responses > recentOfEndpoint {
		n.responses, n.failures = n.responses/2, n.failures/2
		n.timed, n.bins = n.timed/2, n.bins/2
	}
	p.added++
	if p.added%outlierInterval == 0 {
		p.findOutliers()
	}
	return n
}

// findOutliers marks the outlier endpoints.
func (p *peers) findOutliers() {
	usualRate := p.lowerMedian((*peer).failureRate)
	usualBin := p.lowerMedian((*peer).slowness)
	for _, n := range p.list {
		n.isFailing = n.failureRate() > usualRate+outlierFailures
		n.isSlow = n.slowness() > usualBin+outlierBins
	}
}

// failureRate returns the failure rate of an endpoint; not a number if it is not known.
func (n *peer) failureRate() float64 { return ratio(n.failures, n.responses) }

// slowness returns the mean slowness of an endpoint; not a number if it is not known.
func (n *peer) slowness() float64 { return ratio(n.bins, n.timed) }

func ratio(sum, responses float64) float64 {
	if responses < minOutlierResponses {
		return math.NaN()
	}
	return sum / responses
}

// lowerMedian returns the lower median of a figure over the endpoints for which it is known;
// not a number if there is none.
func (p *peers) lowerMedian(figure func(*peer) float64) float64 {
	var list []float64
	for _, n := range p.list {
		if x := figure(n); !math.IsNaN(x) {
			list = append(list, x)
		}
	}
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
