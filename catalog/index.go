// SPDX-License-Identifier: MIT

package catalog

import (
	"crypto/sha256"
	"encoding/hex"
)

// Index answers lookups in one valid Catalog. It is immutable.
type Index struct {
	catalog  Catalog
	ranks    map[string]int      // by tier name
	teams    map[string]*Team    // by key hash
	models   map[string]*Service // by model name
	services map[string]*Service // by service name
	rules    map[[2]string]*Rule // by team and service
}

// NewIndex returns the index of c, which must be valid and must not be modified.
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

// Catalog returns the indexed catalog. It must not be modified.
func (x *Index) Catalog() Catalog { return x.catalog }

// HashKey returns the SHA-256 hash of a key in hex, as in Team.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TeamByKey returns the team of a key; nil if there is none.
func (x *Index) TeamByKey(key string) *Team { return x.teams[HashKey(key)] }

// ServiceByModel returns the service that offers a model; nil if there is none.
func (x *Index) ServiceByModel(model string) *Service { return x.models[model] }

// ServiceByName returns a service; nil if there is none.
func (x *Index) ServiceByName(name string) *Service { return x.services[name] }

// Tier returns a tier and whether it exists.
func (x *Index) Tier(name string) (Tier, bool) {
	rank, ok := x.ranks[name]
	return Tier{Name: name, Rank: rank}, ok
}

// TierFor returns the default tier of a team's requests to a service: that of the most
// specific rule, but never above the team's own tier.
func (x *Index) TierFor(t *Team, s *Service) Tier {
	highest := Tier{Name: t.Tier, Rank: x.ranks[t.Tier]}
	for _, pair := range [...][2]string{{t.Name, s.Name}, {t.Name, Any}, {Any, s.Name}, {Any, Any}} {
		r, ok := x.rules[pair]
		if !ok {
			continue
		}
		if rank := x.ranks[r.Tier]; rank <= highest.Rank {
			return Tier{Name: r.Tier, Rank: rank}
		}
		return highest
	}
	return highest
}
