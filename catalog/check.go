// SPDX-License-Identifier: MIT

package catalog

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"time"
)

// Limits of a catalog's numbers.
const (
	maxRank          = 100
	maxSpeed         = 1000
	maxPrefillWeight = 100
	maxConcurrency   = 10_000
	keyHashBytes     = 32
)

// Problem is a fault in a catalog.
type Problem struct {
	// Path locates the fault in the catalog, such as teams[2].tier.
	Path    string
	Message string
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// checker collects problems, and the names defined so far, for references to them.
type checker struct {
	problems []Problem
	tiers    map[string]int // ranks
	teams    map[string]bool
	services map[string]bool
	pools    map[string]bool
}

// Check returns all problems of c, grouped by kind of item; nil if it is valid.
func Check(c Catalog) []Problem {
	k := &checker{
		tiers:    make(map[string]int),
		teams:    make(map[string]bool),
		services: make(map[string]bool),
		pools:    make(map[string]bool),
	}
	k.checkTiers(c.Tiers)
	k.checkPools(c.Pools)
	k.checkTeams(c.Teams)
	k.checkServices(c.Services)
	k.checkRules(c.Rules)
	return k.problems
}

func (k *checker) add(path, format string, args ...any) {
	k.problems = append(k.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func itemPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

// checkName checks that a name is well-formed and not in seen, and adds it.
func (k *checker) checkName(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		k.add(path+".name", "%q is not a valid name (lower-case letters, digits, . _ -)", name)
	}
	if seen[name] {
		k.add(path+".name", "duplicate name %q", name)
	}
	seen[name] = true
}

func (k *checker) checkRange(path string, n, low, high int) {
	if n < low || n > high {
		k.add(path, "%d is not between %d and %d", n, low, high)
	}
}

func (k *checker) checkTiers(tiers []Tier) {
	if len(tiers) == 0 {
		k.add("tiers", "no tier given")
	}
	names := make(map[string]bool)
	ranks := make(map[int]string)
	for i, t := range tiers {
		path := itemPath("tiers", i)
		k.checkName(path, t.Name, names)
		k.checkRange(path+".rank", t.Rank, 1, maxRank)
		if other, ok := ranks[t.Rank]; ok {
			k.add(path+".rank", "tier %q also has rank %d", other, t.Rank)
		}
		ranks[t.Rank] = t.Name
		k.tiers[t.Name] = t.Rank
	}
}

func (k *checker) checkTier(path, name string) {
	if _, ok := k.tiers[name]; !ok {
		k.add(path, "there is no tier %q", name)
	}
}

func (k *checker) checkPools(pools []Pool) {
	endpoints := make(map[string]bool)
	for i, p := range pools {
		path := itemPath("pools", i)
		k.checkName(path, p.Name, k.pools)
		k.checkRange(path+".max_waiting", p.MaxWaiting, 1, 1_000_000)
		if p.PrefillWeight < 0 || p.PrefillWeight > maxPrefillWeight {
			k.add(path+".prefill_weight", "%g is not between 0 and %d", p.PrefillWeight, maxPrefillWeight)
		}
		for j, e := range p.Endpoints {
			inner := path + "." + itemPath("endpoints", j)
			k.checkName(inner, string(e.Name), endpoints)
			k.checkRange(inner+".concurrency", e.Concurrency, 1, maxConcurrency)
			if e.Speed < 0 || e.Speed > maxSpeed {
				k.add(inner+".speed", "%g is not between 0 and %d", e.Speed, maxSpeed)
			}
		}
	}
}

func (k *checker) checkTeams(teams []Team) {
	keys := make(map[string]string)
	for i, t := range teams {
		path := itemPath("teams", i)
		k.checkName(path, t.Name, k.teams)
		k.checkTier(path+".tier", t.Tier)
		if t.MaxWaiting < 0 {
			k.add(path+".max_waiting", "%d is negative", t.MaxWaiting)
		}
		for j, h := range t.KeyHashes {
			inner := path + "." + itemPath("key_hashes", j)
			if b, err := hex.DecodeString(h); err != nil || len(b) != keyHashBytes {
				k.add(inner, "not a SHA-256 hash in hex")
			}
			if other, ok := keys[h]; ok {
				k.add(inner, "team %q also has this key", other)
			}
			keys[h] = t.Name
		}
	}
}

func (k *checker) checkServices(services []Service) {
	models := make(map[string]string)
	for i, s := range services {
		path := itemPath("services", i)
		k.checkName(path, s.Name, k.services)
		if !k.pools[s.Pool] {
			k.add(path+".pool", "there is no pool %q", s.Pool)
		}
		if d := time.Duration(s.Deadline); d <= 0 || d > time.Hour {
			k.add(path+".deadline", "%v is not between 0 and 1h", d)
		}
		k.checkKind(path, s)
		for j, m := range s.Models {
			if other, ok := models[m]; ok {
				k.add(path+"."+itemPath("models", j), "service %q also has model %q", other, m)
			}
			models[m] = s.Name
		}
	}
}

func (k *checker) checkKind(path string, s Service) {
	switch s.Kind {
	case KindModel:
		if len(s.Models) == 0 {
			k.add(path+".models", "a model service needs a model name")
		}
	case KindPlain:
		if len(s.Models) > 0 {
			k.add(path+".models", "a plain service has no models")
		}
	default:
		k.add(path+".kind", "%q is neither %q nor %q", s.Kind, KindModel, KindPlain)
	}
}

func (k *checker) checkRules(rules []Rule) {
	seen := make(map[[2]string]int)
	for i, r := range rules {
		path := itemPath("rules", i)
		if r.Team != Any && !k.teams[r.Team] {
			k.add(path+".team", "there is no team %q", r.Team)
		}
		if r.Service != Any && !k.services[r.Service] {
			k.add(path+".service", "there is no service %q", r.Service)
		}
		k.checkTier(path+".tier", r.Tier)
		pair := [2]string{r.Team, r.Service}
		if other, ok := seen[pair]; ok {
			k.add(path, "rules[%d] has the same team and service", other)
		}
		seen[pair] = i
		k.checkOverlap(path, rules, i)
	}
}

// checkOverlap reports an earlier rule that is as specific as rule i and matches some
// of the same requests, with another tier: neither takes precedence.
func (k *checker) checkOverlap(path string, rules []Rule, i int) {
	r := rules[i]
	for j, other := range rules[:i] {
		serviceVsTeam := r.Team == Any && other.Service == Any && r.Service != Any && other.Team != Any
		teamVsService := r.Service == Any && other.Team == Any && r.Team != Any && other.Service != Any
		if (serviceVsTeam || teamVsService) && r.Tier != other.Tier && !hasExactRule(rules, r, other) {
			k.add(path, "overlaps rules[%d] and neither is more specific", j)
		}
	}
}

// hasExactRule reports whether a rule names exactly the team and service that both a
// and b match, and so takes precedence over both.
func hasExactRule(rules []Rule, a, b Rule) bool {
	team, service := a.Team, a.Service
	if team == Any {
		team = b.Team
	}
	if service == Any {
		service = b.Service
	}
	for _, r := range rules {
		if r.Team == team && r.Service == service {
			return true
		}
	}
	return false
}
