// SPDX-License-Identifier: MIT

package catalog

import (
	"time"

	"lynxramp.org/event"
)

// Any stands in a rule for every team or every service.
const Any = "*"

// Catalog is one version of all that operators own.
type Catalog struct {
	Tiers    []Tier    `yaml:"tiers" json:"tiers"`
	Teams    []Team    `yaml:"teams" json:"teams"`
	Services []Service `yaml:"services" json:"services"`
	Pools    []Pool    `yaml:"pools" json:"pools"`
	Rules    []Rule    `yaml:"rules" json:"rules"`
}

// Tier is a class of requests that pays alike.
type Tier struct {
	Name string `yaml:"name" json:"name"`
	// Rank orders the tiers; the larger pays more. 1 to 100.
	Rank int `yaml:"rank" json:"rank"`
}

// Team is a customer of the operators.
type Team struct {
	Name string `yaml:"name" json:"name"`
	// KeyHashes has the SHA-256 of each of the team's keys, in hex.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes"`
	// Tier is the highest tier that the team has a right to.
	Tier string `yaml:"tier" json:"tier"`
	// MaxWaiting bounds the team's unfinished requests at one entry box; 0 is
	// without a bound of its own.
	MaxWaiting int `yaml:"max_waiting" json:"max_waiting"`
}

// Kind says what a service's endpoints are.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is what callers ask for.
type Service struct {
	Name string `yaml:"name" json:"name"`
	Kind Kind   `yaml:"kind" json:"kind"`
	Pool string `yaml:"pool" json:"pool"`
	// Models has the model names that callers use for a model service.
	Models []string `yaml:"models" json:"models"`
	// Deadline applies where the caller names none.
	Deadline Duration `yaml:"deadline" json:"deadline"`
	// NoRepeat marks every call of the service as one that may not be repeated.
	NoRepeat bool `yaml:"no_repeat" json:"no_repeat"`
}

// Pool is a set of endpoints that serve the same.
type Pool struct {
	Name string `yaml:"name" json:"name"`
	// MaxWaiting bounds the pool's queue, in requests.
	MaxWaiting int `yaml:"max_waiting" json:"max_waiting"`
	// PrefillWeight is what a second of repeated prefill counts beside a second
	// of a caller's waiting, 0 to 100; 0 stands for 1. A larger one saves prompt
	// work at the cost of goodput.
	PrefillWeight float64    `yaml:"prefill_weight" json:"prefill_weight,omitempty"`
	Endpoints     []Endpoint `yaml:"endpoints" json:"endpoints"`
}

// Endpoint is one engine or one replica of a plain service.
type Endpoint struct {
	Name event.EndpointID `yaml:"name" json:"name"`
	// Concurrency is the number of requests it may have at once.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// Speed is relative to the reference engine; 0 stands for 1.
	Speed float64 `yaml:"speed" json:"speed"`
	// DataCentre is where it stands.
	DataCentre string `yaml:"data_centre" json:"data_centre"`
	// Draining endpoints get no new work.
	Draining bool `yaml:"leaving" json:"leaving,omitempty"`
}

// Rule binds a team to a service. The rule that names more of both wins.
type Rule struct {
	Team    string `yaml:"team" json:"team"`
	Service string `yaml:"service" json:"service"`
	// Tier is the tier of such requests where the caller names none.
	Tier string `yaml:"tier" json:"tier"`
}

// Duration is a time.Duration that is written like 1.5s.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// SchedulerPool returns the pool as its scheduler needs it.
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
