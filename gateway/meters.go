// SPDX-License-Identifier: MIT

package gateway

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/heldmem"
	"lynxramp.org/overload"
	"lynxramp.org/reqlimit"
)

// meters are the gateway's metrics; docs/METRICS.md lists them.
type meters struct{ set *metrics.Set }

func newMeters(g *Gateway) meters {
	set := metrics.NewSet()
	set.NewGauge("lynxramp_gateway_held_requests", func() float64 { return float64(g.inFlight.Load()) })
	set.NewGauge("lynxramp_gateway_held_requests_limit", func() float64 { return float64(g.inFlightLimit) })
	set.NewGauge("lynxramp_gateway_held_bytes", func() float64 { return float64(g.bodyBytes.Load()) })
	for _, k := range heldmem.Kinds {
		set.NewGauge(`lynxramp_gateway_held_memory_bytes{kind="`+k.String()+`"}`, func() float64 { return float64(g.account.Held(k)) })
	}
	set.NewGauge("lynxramp_gateway_held_memory_limit_bytes", func() float64 { return float64(g.account.Limit()) })
	set.NewGauge("lynxramp_gateway_ready", func() float64 { return float64(boolToInt(g.Ready())) })
	set.NewGauge("lynxramp_gateway_configuration_version", func() float64 {
		if t := g.agent.LastTable(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	set.NewGauge("lynxramp_gateway_configuration_told_version", func() float64 { return float64(g.agent.client.announcedVersion.Load()) })
	set.NewGauge("lynxramp_gateway_configuration_bytes", func() float64 { return float64(g.agent.client.nodeBytes.Load()) })
	set.NewGauge("lynxramp_gateway_slowed_endpoints", func() float64 { return float64(g.agent.client.slowedEndpoints.Load()) })
	set.NewGauge("lynxramp_gateway_request_wait_seconds", func() float64 { return g.delays.wait.value().Seconds() })
	set.NewGauge("lynxramp_gateway_run_queue_seconds", func() float64 { return event.Duration(g.delays.runQueue.Load()).Seconds() })
	for path, delay := range map[string]*measuredDelay{
		"send": &g.delays.send, "connection": &g.delays.connection, "arrival": &g.delays.arrival, "common_arrival": &g.delays.commonArrival,
	} {
		set.NewGauge(`lynxramp_gateway_path_seconds{of="`+path+`"}`, func() float64 { return delay.value().Seconds() })
	}
	set.NewGauge("lynxramp_gateway_owner_round_trip_seconds", func() float64 {
		d, _ := g.agent.OwnerRoundTrip()
		return d.Seconds()
	})
	set.NewGauge("lynxramp_gateway_connection_limit", func() float64 { return perSecond(*g.delays.limit.Load()) })
	for _, reason := range []overload.Reason{overload.ReasonProcessor, overload.ReasonLink} {
		set.NewGauge(`lynxramp_gateway_refuses_connections{reason="`+reason.String()+`"}`, func() float64 {
			limit := g.delays.limit.Load()
			return float64(boolToInt(limit.IsReached && limit.Reason == reason))
		})
	}
	if listener := g.config.Listener; listener != nil {
		set.NewGauge("lynxramp_gateway_accepted_connections_total", func() float64 { return float64(listener.Accepted()) })
		set.NewGauge("lynxramp_gateway_listener_closures_total", func() float64 { return float64(listener.Closures()) })
	}
	metrics.RegisterSet(set)
	m := meters{set: set}
	for _, name := range g.config.Headers.Reserved {
		m.reservedHeaders(name).Set(0)
	}
	for _, kind := range []string{feedbackLimit, feedbackCooldown, feedbackDraining, feedbackInvalid} {
		m.feedback(kind)
	}
	for why := range cutReasons {
		m.cutCallers(why)
	}
	for why := range refusals {
		m.refusedResponses(why)
	}
	for _, kind := range []string{loadBasic, loadSlowdown, loadInvalid} {
		m.loadReports(kind)
	}
	for _, why := range []backpressure.StopReason{backpressure.StoppedByLimit, backpressure.StoppedByDrain, backpressure.StoppedByCooldown} {
		m.stoppedGrants(why)
	}
	for work := range event.WorkGroups {
		m.refusals(event.ReasonShed, work)
	}
	for _, why := range []reqlimit.Reason{reqlimit.HeadBytes, reqlimit.HeadLines, reqlimit.HeadMemory} {
		m.refusedHeads(why)
	}
	m.restrictedGrants()
	m.fullRefusals()
	m.stopRefusals()
	for a := range awaitedKinds {
		m.stoppedRequests(stopGivesUp, a)
		m.stoppedRequests(stopCloses, a)
	}
	m.stoppedRequests(stopHandsOver, sendingResponse)
	for _, by := range []string{resumedByCaller, resumedByEntry} {
		m.resumptions(by)
	}
	return m
}

func boolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}

// countResponse counts a finished request by its status; 0 if it was aborted.
func (m *meters) countResponse(status int, rank string) {
	m.set.GetOrCreateCounter(`lynxramp_gateway_requests_total{status="` + strconv.Itoa(status) + `",rank="` + rank + `"}`).Inc()
}

// refusals is the counter of requests that a scheduler refused.
func (m *meters) refusals(reason event.Reason, work event.WorkGroup) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_refusals_total{reason="` + reason.String() + `",work="` + work.String() + `"}`)
}

// observeFirstByte records the time from since to the first byte of a response.
func (m *meters) observeFirstByte(since time.Time, rank string) {
	m.set.GetOrCreateHistogram(`lynxramp_gateway_first_byte_seconds{rank="` + rank + `"}`).UpdateDuration(since)
}

// reservedHeaders counts the requests that carried a reserved header.
func (m *meters) reservedHeaders(name string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_reserved_headers_total{header="` + name + `"}`)
}

// countAttempt counts an attempt at an endpoint by its outcome.
func (m *meters) countAttempt(o outcome) {
	m.set.GetOrCreateCounter(`lynxramp_gateway_attempts_total{outcome="` + o.String() + `"}`).Inc()
}

// Kinds of feedback, as used in metric labels.
const (
	feedbackLimit    = "limit"
	feedbackCooldown = "rest"
	feedbackDraining = "leaving"
	feedbackInvalid  = "unread"
)

// feedback counts the responses with a kind of feedback.
func (m *meters) feedback(kind string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_endpoint_words_total{word="` + kind + `"}`)
}

// Kinds of load reports, as used in metric labels.
const (
	loadBasic    = "basic"    // without a slowdown
	loadSlowdown = "slowdown" // with one
	loadInvalid  = "invalid"
)

// loadReports counts the responses with a kind of load report.
func (m *meters) loadReports(kind string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_load_reports_total{kind="` + kind + `"}`)
}

// stoppedGrants counts the grants that were not used because of feedback.
func (m *meters) stoppedGrants(why backpressure.StopReason) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_stopped_grants_total{by="` + why.String() + `"}`)
}

// cutCallers counts the callers whose response was given up because they read too slowly.
func (m *meters) cutCallers(why cutReason) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_cut_callers_total{why="` + why.String() + `"}`)
}

// fullRefusals counts the requests that were refused because too many were in flight.
func (m *meters) fullRefusals() *metrics.Counter {
	return m.set.GetOrCreateCounter("lynxramp_gateway_full_refusals_total")
}

// stopRefusals counts the requests that were refused because of a planned stop.
func (m *meters) stopRefusals() *metrics.Counter {
	return m.set.GetOrCreateCounter("lynxramp_gateway_stop_refusals_total")
}

// stoppedRequests counts the requests that a planned stop ended, by how and by what they waited for.
func (m *meters) stoppedRequests(how string, a awaited) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_stopped_requests_total{how="` + how + `",waits_for="` + a.String() + `"}`)
}

// refusedHeads counts the requests of callers whose head was not read on because of a limit.
func (m *meters) refusedHeads(why reqlimit.Reason) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_refused_heads_total{why="` + why.String() + `"}`)
}

// refusedResponses counts the responses of endpoints that were not read on because of a limit.
func (m *meters) refusedResponses(why refusal) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_refused_responses_total{why="` + why.String() + `"}`)
}

// restrictedGrants counts the grants that were not used because of a roll-out.
func (m *meters) restrictedGrants() *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_stopped_grants_total{by="rollout"}`)
}

// Who resumed a stream, as used in metric labels.
const (
	resumedByCaller = "caller" // in another request
	resumedByEntry  = "entry"  // in the same response
)

// resumptions counts the attempts to resume a stream that broke off.
func (m *meters) resumptions(by string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_gateway_stream_resumptions_total{by="` + by + `"}`)
}

// observeDecision records how long a request waited for its decision, and who decided.
func (m *meters) observeDecision(since time.Time, degraded bool) {
	by := "owner"
	if degraded {
		by = "entry"
	}
	m.set.GetOrCreateHistogram(`lynxramp_gateway_decision_seconds{by="` + by + `"}`).UpdateDuration(since)
}
