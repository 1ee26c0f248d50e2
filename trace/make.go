// SPDX-License-Identifier: MIT

package trace

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/pkg/errors"
)

// Scenarios are the kinds of traces that Make knows.
var Scenarios = [...]string{"steady", "burst", "slowdown", "leaving", "new-owner", "mix"}

// Deployments are the workloads that Make knows: the association's and the
// agency's.
var Deployments = [...]string{"casablanca", "tbilisi"}

// kind is a kind of request of a workload.
type kind struct {
	name   string
	share  float64 // of all requests
	system int     // tokens of the shared beginning
	// documents is from how many documents of documentTokens each a prompt
	// takes one; 0 for none.
	documents      int
	documentTokens int
	question       int // tokens of the request's own part, about
	output         int // tokens, about
	deadline       int64
}

// customer is a team of a workload.
type customer struct {
	name  string
	rank  int
	share float64
}

// workload is a deployment's traffic.
type workload struct {
	pool          string
	kinds         []kind
	teams         []customer
	speeds        []float64
	rate          float64 // requests a second at steady load
	burst         float64 // requests a second, three times what the pool can serve
	prefillWeight float64
}

const (
	replicas      = 18
	length        = 120_000 // milliseconds
	concurrency   = 16
	cacheBlocks   = 3000
	maxWaiting    = 400
	loadLagMillis = 2000
	burstFactor   = 3.0
	slowFactor    = 5.0
	lengthSpread  = 0.6 // of the normal distribution of a length's logarithm
	burstFrom     = length / 4
	burstTo       = length / 2
	faultAt       = length / 3
)

var workloads = map[string]workload{
	"casablanca": {
		pool: "chef", prefillWeight: 1, rate: 30, burst: 165,
		kinds: []kind{
			{name: "tag", share: 0.4, system: 200, question: 60, output: 12, deadline: 4_000},
			{name: "question", share: 0.35, system: 400, question: 80, output: 150, deadline: 12_000},
			{name: "recipe", share: 0.25, system: 400, documents: 150, documentTokens: 2500, question: 60, output: 600, deadline: 40_000},
		},
		teams: []customer{
			{"portal-regional", 3, 0.18}, {"portal-cities", 3, 0.1}, {"blogs-tagine", 2, 0.3}, {"blogs-family", 2, 0.12}, {"tagging", 1, 0.3},
		},
		speeds: []float64{1.6, 1, 0.5},
	},
	"tbilisi": {
		pool: "scribe", prefillWeight: 3, rate: 16, burst: 90,
		kinds: []kind{
			{name: "tag", share: 0.35, system: 300, documents: 60, documentTokens: 1500, question: 40, output: 15, deadline: 6_000},
			{name: "caption", share: 0.35, system: 300, documents: 60, documentTokens: 1500, question: 60, output: 90, deadline: 12_000},
			{name: "dossier", share: 0.3, system: 300, documents: 40, documentTokens: 7000, question: 100, output: 500, deadline: 45_000},
		},
		teams: []customer{
			{"icons", 3, 0.14}, {"manuscripts", 3, 0.1}, {"textiles", 3, 0.06}, {"research", 2, 0.3}, {"public-pages", 1, 0.4},
		},
		speeds: []float64{1.4, 0.7},
	},
}

// Generate returns a trace of a deployment's workload under a scenario.
func Generate(deployment, scenario string, seed uint64) (Trace, error) {
	w, ok := workloads[deployment]
	if !ok {
		return Trace{}, errors.Errorf("no deployment %q", deployment)
	}
	t := Trace{Header: Header{
		Name: fmt.Sprintf("%s-%s-%d", deployment, scenario, seed), Pool: w.pool,
		MaxWaiting: maxWaiting, LoadLagMillis: loadLagMillis, PrefillWeight: w.prefillWeight,
	}}
	t.Header.Objectives = statedOutcomes[deployment+"-"+scenario]
	for i := range replicas {
		t.Header.Endpoints = append(t.Header.Endpoints, Endpoint{
			Name: fmt.Sprintf("%s-%02d", w.pool, i), Speed: w.speeds[i%len(w.speeds)],
			Concurrency: concurrency, CacheBlocks: cacheBlocks,
		})
	}
	if !t.addFaults(scenario) {
		return t, errors.Errorf("no scenario %q", scenario)
	}
	random := rand.New(rand.NewPCG(seed, uint64(len(scenario))))
	for at := 0.0; ; {
		rate := w.rate
		if bursts := scenario == "burst" || scenario == "mix"; bursts && at >= burstFrom && at < burstTo {
			rate = w.burst
		}
		at += random.ExpFloat64() / rate * 1000
		if at >= length {
			return t, nil
		}
		t.Requests = append(t.Requests, w.request(random, int64(at), len(t.Requests)))
	}
}

// addFaults adds a scenario's faults; false if there is no such scenario.
func (t *Trace) addFaults(scenario string) bool {
	name := func(i int) string { return t.Header.Endpoints[i].Name }
	slow := Fault{At: faultAt, Endpoint: name(0), Slowdown: slowFactor}
	leaving := []Fault{{At: faultAt, Endpoint: name(1), Leaving: true}, {At: faultAt + 5000, Endpoint: name(4), Leaving: true}}
	owner := Fault{At: faultAt + 10_000, NewOwner: true}
	switch scenario {
	case "steady", "burst":
	case "slowdown":
		t.Faults = []Fault{slow, {At: faultAt + 5000, Endpoint: name(3), Slowdown: slowFactor}, {At: faultAt + 9000, Endpoint: name(6), Slowdown: slowFactor}}
	case "leaving":
		t.Faults = leaving
	case "new-owner":
		t.Faults = []Fault{owner}
	case "mix":
		t.Faults = append([]Fault{slow}, append(leaving, owner)...)
	default:
		return false
	}
	return true
}

func (w workload) request(random *rand.Rand, at int64, n int) Request {
	k := pick(random, w.kinds, func(k kind) float64 { return k.share })
	c := pick(random, w.teams, func(c customer) float64 { return c.share })
	r := Request{
		At: at, ID: fmt.Sprintf("r%05d", n), Team: c.name, Rank: c.rank, Deadline: k.deadline,
		Output: spread(random, k.output),
		Prompt: []Segment{{Text: "system " + k.name, Tokens: k.system}},
	}
	if k.documents > 0 {
		// Some documents are asked for far more often than others.
		which := int(float64(k.documents) * math.Pow(random.Float64(), 2))
		size := k.documentTokens/2 + which*k.documentTokens/k.documents
		r.Prompt = append(r.Prompt, Segment{Text: fmt.Sprintf("%s document %d", k.name, which), Tokens: size})
	}
	r.Prompt = append(r.Prompt, Segment{Text: "question " + r.ID, Tokens: spread(random, k.question)})
	return r
}

// pick returns one of a list by the items' shares, which add up to 1.
func pick[T any](random *rand.Rand, list []T, share func(T) float64) T {
	x := random.Float64()
	for _, item := range list {
		if x -= share(item); x < 0 {
			return item
		}
	}
	return list[len(list)-1]
}

// spread returns a length about a middle one, a few times more or less.
func spread(random *rand.Rand, middle int) int {
	return max(1, int(float64(middle)*math.Exp(lengthSpread*random.NormFloat64())))
}
