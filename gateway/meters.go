// SPDX-License-Identifier: MIT

package gateway

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lynxramp.org/backpressure"
)

// meters are the gateway's figures; docs/METRICS.md lists them.
type meters struct{ set *metrics.Set }

func newMeters(g *Gateway) meters {
	set := metrics.NewSet()
	set.NewGauge("lynxramp_gateway_held_requests", func() float64 { return float64(g.held.Load()) })
	set.NewGauge("lynxramp_gateway_held_bytes", func() float64 { return float64(g.bytes.Load()) })
	set.NewGauge("lynxramp_gateway_ready", func() float64 { return float64(one(g.Ready())) })
	set.NewGauge("lynxramp_gateway_configuration_version", func() float64 {
		if t := g.agent.LastTable(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	set.NewGauge("lynxramp_gateway_configuration_told_version", func() float64 { return float64(g.agent.client.told.Load()) })
	set.NewGauge("lynxramp_gateway_configuration_bytes", func() float64 { return float64(g.agent.client.nodes.Load()) })
	metrics.RegisterSet(set)
	m := meters{set: set}
	for _, name := range g.config.Names.Reserved {
		m.reserved(name).Set(0)
	}
	for _, word := range []string{wordLimit, wordRest, wordLeaving, wordUnread} {
		m.asked(word)
	}
	for _, why := range []backpressure.StopReason{backpressure.StoppedByLimit, backpressure.StoppedByDrain, backpressure.StoppedByCooldown} {
		m.stopped(why)
	}
	return m
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

// ended counts a request's end by its status; 0 is an end without one.
func (m *meters) ended(status int, rank string) {
	m.set.GetOrCreateCounter(`lynxramp_gateway_requests_total{status="` + strconv.Itoa(status) + `",rank="` + rank + `"}`).Inc()
}

// began takes the time to an answer's beginning.
func (m *meters) began(since time.Time, rank string) {
	m.set.GetOrCreateHistogram(`lynxramp_gateway_first_byte_seconds{rank="` + rank + `"}`).UpdateDuration(since)
}

// reserved counts the requests that carried a header of the system's own.
func (m *meters) reserved(name string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_reserved_headers_total{header="` + name + `"}`)
}

// tried counts an attempt at an endpoint by how it ended.
func (m *meters) tried(o outcome) {
	m.set.GetOrCreateCounter(`lynxramp_gateway_attempts_total{outcome="` + o.String() + `"}`).Inc()
}

// The things that endpoints ask for, as figures have them.
const (
	wordLimit   = "limit"
	wordRest    = "rest"
	wordLeaving = "leaving"
	wordUnread  = "unread"
)

// asked counts the answers in which an endpoint asked for a thing.
func (m *meters) asked(word string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_endpoint_words_total{word="` + word + `"}`)
}

// stopped counts the grants that were not used.
func (m *meters) stopped(why backpressure.StopReason) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_stopped_grants_total{by="` + why.String() + `"}`)
}

// decided takes how long a request waited for its decision, and who decided.
func (m *meters) decided(since time.Time, alone bool) {
	by := "owner"
	if alone {
		by = "entry"
	}
	m.set.GetOrCreateHistogram(`lynxramp_gateway_decision_seconds{by="` + by + `"}`).UpdateDuration(since)
}
