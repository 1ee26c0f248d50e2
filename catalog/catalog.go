// SPDX-License-Identifier: MIT

package catalog

import (
	"time"

	"lynxramp.org/event"
)

// Any matches every team or every service in a rule.
const Any = "*"

// Catalog is one version of the operators' configuration.
type Catalog struct {
	Tiers    []Tier    `yaml:"tiers" json:"tiers"`
	Teams    []Team    `yaml:"teams" json:"teams"`
	Services []Service `yaml:"services" json:"services"`
	Pools    []Pool    `yaml:"pools" json:"pools"`
	Rules    []Rule    `yaml:"rules" json:"rules"`
}

// Tier is a priority class of requests.
type Tier struct {
	Name string `yaml:"name" json:"name"`
	// Rank orders the tiers, 1 to 100; a higher rank has priority.
	Rank int `yaml:"rank" json:"rank"`
}

// Team is a tenant: a group of callers that share keys and a tier.
type Team struct {
	Name string `yaml:"name" json:"name"`
	// KeyHashes are the SHA-256 hashes of the team's keys, in hex.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes"`
	// Tier is the highest tier that the team has a right to.
	Tier string `yaml:"tier" json:"tier"`
	// MaxWaiting bounds the team's unfinished requests at one entry box; 0 means no
	// bound.
	MaxWaiting int `yaml:"max_waiting" json:"max_waiting"`
}

// Kind is the kind of a service's endpoints.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is a target of callers' requests.
type Service struct {
	Name string `yaml:"name" json:"name"`
	Kind Kind   `yaml:"kind" json:"kind"`
	Pool string `yaml:"pool" json:"pool"`
	// Models are the model names by which callers address a model service.
	Models []string `yaml:"models" json:"models"`
	// Deadline applies to requests for which the caller gives none.
	Deadline Duration `yaml:"deadline" json:"deadline"`
	// NoRepeat marks the service's requests as not safe to retry.
	NoRepeat bool `yaml:"no_repeat" json:"no_repeat"`
}

// Pool is a set of endpoints that serve the same requests.
type Pool struct {
	Name string `yaml:"name" json:"name"`
	// MaxWaiting bounds the pool's queue, in requests.
	MaxWaiting int `yaml:"max_waiting" json:"max_waiting"`
	// PrefillWeight is the cost of a second of repeated prefill relative to a second
	// of a caller's waiting time, 0 to 100; 0 selects 1. A larger weight saves prompt
	// computation at the cost of goodput.
	PrefillWeight float64    `yaml:"prefill_weight" json:"prefill_weight,omitempty"`
	Endpoints     []Endpoint `yaml:"endpoints" json:"endpoints"`
}

// Endpoint is an engine, or a replica of a plain service.
type Endpoint struct {
	Name event.EndpointID `yaml:"name" json:"name"`
	// Concurrency is the maximum number of concurrent requests.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// Speed is relative to the reference engine, 0 to 1000; 0 selects 1.
	Speed float64 `yaml:"speed" json:"speed"`
	// DataCentre is the endpoint's location.
	DataCentre string `yaml:"data_centre" json:"data_centre"`
	// Draining endpoints get no new requests.
	Draining bool `yaml:"leaving" json:"leaving,omitempty"`
}

// Rule sets the default tier of a team's requests to a service; either may be Any. A rule
// with fewer Any takes precedence.
type Rule struct {
	Team    string `yaml:"team" json:"team"`
	Service string `yaml:"service" json:"service"`
	// Tier is the tier of such requests where the caller names none.
	Tier string `yaml:"tier" json:"tier"`
}

// Duration is a time.Duration whose text has the format of time.ParseDuration, such as 1.5s.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// SchedulerPool converts the pool to the scheduler's form.
func (p Pool) SchedulerPool() event.Pool {
	q := event.Pool{Name: p.Name, MaxWaiting: p.MaxWaiting, PrefillWeight: p.PrefillWeight}
	for _, e := range p.Endpoints {
		speed := e.Speed
		if speed == 0 {
			speed = 1
		}
		q.Endpoints = append(q.Endpoints, event.Endpoint{ID: e.Name, Concurrency: e.Concurrency, Speed: speed, Draining: e.Draining})
	}
	return q
}
