// SPDX-License-Identifier: MIT

package lang

import (
	"slices"

	"github.com/pkg/errors"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
)

// Changes returns what the command does to a catalog, which stays as it is.
func (c *Command) Changes(k catalog.Catalog) ([]catalog.Change, error) {
	var change catalog.Change
	var err error
	switch {
	case c.Drain != nil:
		change, err = leaving(k, *c.Drain, true)
	case c.Return != nil:
		change, err = leaving(k, *c.Return, false)
	case c.Delete != nil:
		change, err = remove(k, *c.Delete)
	default:
		change, err = c.Set.change(k)
	}
	return []catalog.Change{change}, err
}

func leaving(k catalog.Catalog, name string, leaves bool) (catalog.Change, error) {
	e, pool, ok := k.Endpoint(event.EndpointID(name))
	if !ok {
		return catalog.Change{}, errors.Errorf("there is no endpoint %q", name)
	}
	e.Draining = leaves
	return catalog.Change{Endpoint: &catalog.EndpointChange{Pool: pool, Endpoint: e}}, nil
}

func remove(k catalog.Catalog, t Target) (catalog.Change, error) {
	switch t.Kind {
	case "tier":
		return catalog.Change{Delete: true, Tier: &catalog.Tier{Name: t.Name}}, nil
	case "team":
		return catalog.Change{Delete: true, Team: &catalog.Team{Name: t.Name}}, nil
	case "service":
		return catalog.Change{Delete: true, Service: &catalog.Service{Name: t.Name}}, nil
	default:
		return catalog.Change{Delete: true, Pool: &catalog.Pool{Name: t.Name}}, nil
	}
}

func (s *Setting) change(k catalog.Catalog) (catalog.Change, error) {
	switch {
	case s.Tier != nil:
		return catalog.Change{Tier: &catalog.Tier{Name: s.Tier.Name, Rank: s.Tier.Rank}}, nil
	case s.Rule != nil:
		return catalog.Change{Rule: &catalog.Rule{Team: s.Rule.Team, Service: s.Rule.Service, Tier: s.Rule.Tier}}, nil
	case s.Pool != nil:
		return s.Pool.change(k)
	default:
		return s.Team.change(k)
	}
}

func (s *PoolSetting) change(k catalog.Catalog) (catalog.Change, error) {
	i := slices.IndexFunc(k.Pools, func(p catalog.Pool) bool { return p.Name == s.Name })
	if i < 0 {
		return catalog.Change{}, errors.Errorf("there is no pool %q", s.Name)
	}
	p := k.Pools[i]
	if s.MaxWaiting != nil {
		p.MaxWaiting = *s.MaxWaiting
	}
	if s.PrefillWeight != nil {
		p.PrefillWeight = *s.PrefillWeight
	}
	return catalog.Change{Pool: &p}, nil
}

func (s *TeamSetting) change(k catalog.Catalog) (catalog.Change, error) {
	i := slices.IndexFunc(k.Teams, func(t catalog.Team) bool { return t.Name == s.Name })
	if i < 0 {
		return catalog.Change{}, errors.Errorf("there is no team %q", s.Name)
	}
	t := k.Teams[i]
	if s.Tier != nil {
		t.Tier = *s.Tier
	}
	if s.MaxWaiting != nil {
		t.MaxWaiting = *s.MaxWaiting
	}
	return catalog.Change{Team: &t}, nil
}
