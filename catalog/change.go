// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
	"slices"

	"lynxramp.org/event"
)

// Change is one change of a catalog: the one field that is set is put in place
// of what has its name, or taken out if Delete is set.
type Change struct {
	Delete   bool            `json:"delete,omitempty"`
	Whole    *Catalog        `json:"whole,omitempty"`
	Tier     *Tier           `json:"tier,omitempty"`
	Team     *Team           `json:"team,omitempty"`
	Service  *Service        `json:"service,omitempty"`
	Pool     *Pool           `json:"pool,omitempty"`
	Endpoint *EndpointChange `json:"endpoint,omitempty"`
	Rule     *Rule           `json:"rule,omitempty"`
}

// EndpointChange is an endpoint and its pool.
type EndpointChange struct {
	Pool     string   `json:"pool"`
	Endpoint Endpoint `json:"endpoint"`
}

// Apply returns c with the changes made, and all that is then wrong with it. c
// stays as it is.
func Apply(c Catalog, changes []Change) (Catalog, []Problem) {
	c = c.clone()
	var problems []Problem
	for i, change := range changes {
		if !c.change(change) {
			problems = append(problems, Problem{Path: at("changes", i), Message: "there is nothing of this name"})
		}
	}
	return c, append(problems, Check(c)...)
}

// clone returns a copy whose lists can be changed.
func (c Catalog) clone() Catalog {
	c.Tiers = slices.Clone(c.Tiers)
	c.Teams = slices.Clone(c.Teams)
	c.Services = slices.Clone(c.Services)
	c.Pools = slices.Clone(c.Pools)
	c.Rules = slices.Clone(c.Rules)
	return c
}

// change makes one change and reports whether there was anything to change.
func (c *Catalog) change(h Change) bool {
	switch {
	case h.Whole != nil:
		*c = h.Whole.clone()
		return true
	case h.Tier != nil:
		return put(&c.Tiers, *h.Tier, h.Delete, func(a, b Tier) bool { return a.Name == b.Name })
	case h.Team != nil:
		return put(&c.Teams, *h.Team, h.Delete, func(a, b Team) bool { return a.Name == b.Name })
	case h.Service != nil:
		return put(&c.Services, *h.Service, h.Delete, func(a, b Service) bool { return a.Name == b.Name })
	case h.Pool != nil:
		return put(&c.Pools, *h.Pool, h.Delete, func(a, b Pool) bool { return a.Name == b.Name })
	case h.Rule != nil:
		return put(&c.Rules, *h.Rule, h.Delete, func(a, b Rule) bool { return a.Team == b.Team && a.Service == b.Service })
	case h.Endpoint != nil:
		return c.changeEndpoint(*h.Endpoint, h.Delete)
	}
	return false
}

func (c *Catalog) changeEndpoint(h EndpointChange, remove bool) bool {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == h.Pool })
	if i < 0 {
		return false
	}
	list := slices.Clone(c.Pools[i].Endpoints)
	ok := put(&list, h.Endpoint, remove, func(a, b Endpoint) bool { return a.Name == b.Name })
	c.Pools[i].Endpoints = list
	return ok
}

// put sets or deletes the item of a list that is the same thing as v.
func put[T any](list *[]T, v T, remove bool, same func(a, b T) bool) bool {
	i := slices.IndexFunc(*list, func(x T) bool { return same(x, v) })
	switch {
	case remove && i < 0:
		return false
	case remove:
		*list = slices.Delete(*list, i, i+1)
	case i < 0:
		*list = append(*list, v)
	default:
		(*list)[i] = v
	}
	return true
}

// Endpoint returns an endpoint, its pool's name and whether it exists.
func (c Catalog) Endpoint(name event.EndpointID) (Endpoint, string, bool) {
	for _, p := range c.Pools {
		for _, e := range p.Endpoints {
			if e.Name == name {
				return e, p.Name, true
			}
		}
	}
	return Endpoint{}, "", false
}

// Error returns the problem as one line.
func (p Problem) Error() string { return fmt.Sprintf("%s: %s", p.Path, p.Message) }
