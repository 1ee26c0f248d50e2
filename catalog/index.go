// SPDX-License-Identifier: MIT

package catalog

import (
	"crypto/sha256"
	"encoding/hex"
)

// Index answers traffic's questions of one sound Catalog. It is read-only.
type Index struct {
	catalog  Catalog
	ranks    map[string]int
	teams    map[string]*Team // by key hash
	models   map[string]*Service
	services map[string]*Service
	rules    map[[2]string]*Rule
}

// NewIndex returns the index of c, which must be sound and not change.
func NewIndex(c Catalog) *Index {
	x := &Index{
		catalog:  c,
		ranks:    make(map[string]int),
		teams:    make(map[string]*Team),
		models:   make(map[string]*Service),
		services: make(map[string]*Service),
		rules:    make(map[[2]string]*Rule),
	}
	for _, t := range c.Tiers {
		x.ranks[t.Name] = t.Rank
	}
	for i := range c.Teams {
		for _, h := range c.Teams[i].KeyHashes {
			x.teams[h] = &c.Teams[i]
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		x.services[s.Name] = s
		for _, m := range s.Models {
			x.models[m] = s
		}
	}
	for i := range c.Rules {
		r := &c.Rules[i]
		x.rules[[2]string{r.Team, r.Service}] = r
	}
	return x
}

// Catalog returns what the index was made of. It must not be changed.
func (x *Index) Catalog() Catalog { return x.catalog }

// HashKey returns a key as catalogs hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TeamByKey returns the team that holds a key; nil if there is none.
func (x *Index) TeamByKey(key string) *Team { return x.teams[HashKey(key)] }

// ServiceByModel returns the service that has a model; nil if there is none.
func (x *Index) ServiceByModel(model string) *Service { return x.models[model] }

// ServiceByName returns a service; nil if there is none.
func (x *Index) ServiceByName(name string) *Service { return x.services[name] }

// Tier returns a tier and whether it exists.
func (x *Index) Tier(name string) (Tier, bool) {
	rank, ok := x.ranks[name]
	return Tier{Name: name, Rank: rank}, ok
}

// TierFor returns the tier of a team's requests to a service where the caller
// names none. A rule never lifts a team above the tier it has a right to.
func (x *Index) TierFor(t *Team, s *Service) Tier {
	right := Tier{Name: t.Tier, Rank: x.ranks[t.Tier]}
	for _, pair := range [...][2]string{{t.Name, s.Name}, {t.Name, Any}, {Any, s.Name}, {Any, Any}} {
		r, ok := x.rules[pair]
		if !ok {
			continue
		}
		if rank := x.ranks[r.Tier]; rank <= right.Rank {
			return Tier{Name: r.Tier, Rank: rank}
		}
		return right
	}
	return right
}
