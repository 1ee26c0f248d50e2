// SPDX-License-Identifier: MIT

package trace

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/pkg/errors"
)

// Scenarios are the scenarios that Generate accepts.
var Scenarios = [...]string{"steady", "burst", "slowdown", "leaving", "new-owner", "mix"}

// Deployments are the deployments whose workloads Generate accepts.
var Deployments = [...]string{"casablanca", "tbilisi"}

// requestKind is a class of requests in a workload.
type requestKind struct {
	name         string
	share        float64 // fraction of all requests
	systemTokens int     // tokens of the shared prefix
	// documents is how many documents a prompt draws one from; 0 for none. documentTokens
	// is their mean length.
	documents      int
	documentTokens int
	questionTokens int // median tokens of the request's own part
	outputTokens   int // median tokens
	deadlineMillis int64
}

// teamShare is a team's share of a workload.
type teamShare struct {
	name  string
	rank  int     // of the tier
	share float64 // fraction of all requests
}

// workload is the traffic of a deployment and its pool.
type workload struct {
	pool          string
	kinds         []requestKind
	teams         []teamShare
	speeds        []float64 // of the endpoints in turn, relative to the reference engine
	rate          float64   // requests per second at steady load
	burstRate     float64   // requests per second, three times the pool's capacity
	prefillWeight float64
}

const (
	endpointCount  = 18
	durationMillis = 120_000 // length of a trace
	concurrency    = 16
	cacheBlocks    = 3000
	maxWaiting     = 400
	loadLagMillis  = 2000
	burstFactor    = 3.0
	slowdownFactor = 5.0
	lengthSigma    = 0.6                // standard deviation of a length's logarithm
	burstStart     = durationMillis / 4 // milliseconds from the start, as burstEnd and faultAt
	burstEnd       = durationMillis / 2
	faultAt        = durationMillis / 3
)

var workloads = map[string]workload{
	"casablanca": {
		pool: "chef", prefillWeight: 1, rate: 30, burstRate: 165,
		kinds: []requestKind{
			{name: "tag", share: 0.4, systemTokens: 200, questionTokens: 60, outputTokens: 12, deadlineMillis: 4_000},
			{name: "question", share: 0.35, systemTokens: 400, questionTokens: 80, outputTokens: 150, deadlineMillis: 12_000},
			{name: "recipe", share: 0.25, systemTokens: 400, documents: 150, documentTokens: 2500, questionTokens: 60, outputTokens: 600, deadlineMillis: 40_000},
		},
		teams: []teamShare{
			{"portal-regional", 3, 0.18}, {"portal-cities", 3, 0.1}, {"blogs-tagine", 2, 0.3}, {"blogs-family", 2, 0.12}, {"tagging", 1, 0.3},
		},
		speeds: []float64{1.6, 1, 0.5},
	},
	"tbilisi": {
		pool: "scribe", prefillWeight: 3, rate: 16, burstRate: 90,
		kinds: []requestKind{
			{name: "tag", share: 0.35, systemTokens: 300, documents: 60, documentTokens: 1500, questionTokens: 40, outputTokens: 15, deadlineMillis: 6_000},
			{name: "caption", share: 0.35, systemTokens: 300, documents: 60, documentTokens: 1500, questionTokens: 60, outputTokens: 90, deadlineMillis: 12_000},
			{name: "dossier", share: 0.3, systemTokens: 300, documents: 40, documentTokens: 7000, questionTokens: 100, outputTokens: 500, deadlineMillis: 45_000},
		},
		teams: []teamShare{
			{"icons", 3, 0.14}, {"manuscripts", 3, 0.1}, {"textiles", 3, 0.06}, {"research", 2, 0.3}, {"public-pages", 1, 0.4},
		},
		speeds: []float64{1.4, 0.7},
	},
}

// Generate returns a trace of a deployment's workload under a scenario.
func Generate(deployment, scenario string, seed uint64) (Trace, error) {
	w, ok := workloads[deployment]
	if !ok {
		return Trace{}, errors.Errorf("unknown deployment %q", deployment)
	}
	t := Trace{Header: Header{
		Name: fmt.Sprintf("%s-%s-%d", deployment, scenario, seed), Pool: w.pool,
		MaxWaiting: maxWaiting, LoadLagMillis: loadLagMillis, PrefillWeight: w.prefillWeight,
	}}
	t.Header.Objectives = objectives[deployment+"-"+scenario]
	for i := range endpointCount {
		t.Header.Endpoints = append(t.Header.Endpoints, Endpoint{
			Name: fmt.Sprintf("%s-%02d", w.pool, i), Speed: w.speeds[i%len(w.speeds)],
			Concurrency: concurrency, CacheBlocks: cacheBlocks,
		})
	}
	if !t.addFaults(scenario) {
		return t, errors.Errorf("unknown scenario %q", scenario)
	}
	random := rand.New(rand.NewPCG(seed, uint64(len(scenario))))
	for at := 0.0; ; {
		rate := w.rate
		if bursts := scenario == "burst" || scenario == "mix"; bursts && at >= burstStart && at < burstEnd {
			rate = w.burstRate
		}
		at += random.ExpFloat64() / rate * 1000
		if at >= durationMillis {
			return t, nil
		}
		t.Requests = append(t.Requests, w.newRequest(random, int64(at), len(t.Requests)))
	}
}

// addFaults adds a scenario's faults; false if the scenario is unknown.
func (t *Trace) addFaults(scenario string) bool {
	name := func(i int) string { return t.Header.Endpoints[i].Name }
	slow := Fault{At: faultAt, Endpoint: name(0), Slowdown: slowdownFactor}
	draining := []Fault{{At: faultAt, Endpoint: name(1), Draining: true}, {At: faultAt + 5000, Endpoint: name(4), Draining: true}}
	owner := Fault{At: faultAt + 10_000, NewOwner: true}
	switch scenario {
	case "steady", "burst":
	case "slowdown":
		t.Faults = []Fault{slow, {At: faultAt + 5000, Endpoint: name(3), Slowdown: slowdownFactor}, {At: faultAt + 9000, Endpoint: name(6), Slowdown: slowdownFactor}}
	case "leaving":
		t.Faults = draining
	case "new-owner":
		t.Faults = []Fault{owner}
	case "mix":
		t.Faults = append([]Fault{slow}, append(draining, owner)...)
	default:
		return false
	}
	return true
}

func (w workload) newRequest(random *rand.Rand, at int64, n int) Request {
	kind := pick(random, w.kinds, func(kind requestKind) float64 { return kind.share })
	team := pick(random, w.teams, func(team teamShare) float64 { return team.share })
	r := Request{
		At: at, ID: fmt.Sprintf("r%05d", n), Team: team.name, Rank: team.rank, Deadline: kind.deadlineMillis,
		Output: logNormal(random, kind.outputTokens),
		Prompt: []Segment{{Text: "system " + kind.name, Tokens: kind.systemTokens}},
	}
	if kind.documents > 0 {
		// The popularity of documents is skewed towards low numbers.
		which := int(float64(kind.documents) * math.Pow(random.Float64(), 2))
		size := kind.documentTokens/2 + which*kind.documentTokens/kind.documents
		r.Prompt = append(r.Prompt, Segment{Text: fmt.Sprintf("%s document %d", kind.name, which), Tokens: size})
	}
	r.Prompt = append(r.Prompt, Segment{Text: "question " + r.ID, Tokens: logNormal(random, kind.questionTokens)})
	return r
}

// pick returns a random item with the probability of its share; shares add up to 1.
func pick[T any](random *rand.Rand, list []T, share func(T) float64) T {
	x := random.Float64()
	for _, item := range list {
		if x -= share(item); x < 0 {
			return item
		}
	}
	return list[len(list)-1]
}

// logNormal returns a log-normally distributed length in tokens, at least 1.
func logNormal(random *rand.Rand, median int) int {
	return max(1, int(float64(median)*math.Exp(lengthSigma*random.NormFloat64())))
}
