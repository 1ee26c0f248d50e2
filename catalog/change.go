// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
	"slices"

	"lynxramp.org/event"
)

// Change is a change of a catalog: the one field that is set replaces the item of
// the same name, or is added; with Delete, the item is removed.
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

// EndpointChange is an endpoint and the name of its pool.
type EndpointChange struct {
	Pool     string   `json:"pool"`
	Endpoint Endpoint `json:"endpoint"`
}

// Apply returns a copy of c with the changes applied, and all problems of the changes
// and of the result. It does not modify c.
func Apply(c Catalog, changes []Change) (Catalog, []Problem) {
	c = c.clone()
	var problems []Problem
	for i, change := range changes {
		if !c.applyChange(change) {
			problems = append(problems, Problem{Path: itemPath("changes", i), Message: "no item of this name"})
		}
	}
	return c, append(problems, Check(c)...)
}

// clone returns a copy whose lists can be modified.
func (c Catalog) clone() Catalog {
	c.Tiers = slices.Clone(c.Tiers)
	c.Teams = slices.Clone(c.Teams)
	c.Services = slices.Clone(c.Services)
	c.Pools = slices.Clone(c.Pools)
	c.Rules = slices.Clone(c.Rules)
	return c
}

// applyChange applies one change; false if its pool or the item to delete does not exist.
func (c *Catalog) applyChange(change Change) bool {
	switch {
	case change.Whole != nil:
		*c = change.Whole.clone()
		return true
	case change.Tier != nil:
		return putOrDelete(&c.Tiers, *change.Tier, change.Delete, func(a, b Tier) bool { return a.Name == b.Name })
	case change.Team != nil:
		return putOrDelete(&c.Teams, *change.Team, change.Delete, func(a, b Team) bool { return a.Name == b.Name })
	case change.Service != nil:
		return putOrDelete(&c.Services, *change.Service, change.Delete, func(a, b Service) bool { return a.Name == b.Name })
	case change.Pool != nil:
		return putOrDelete(&c.Pools, *change.Pool, change.Delete, func(a, b Pool) bool { return a.Name == b.Name })
	case change.Rule != nil:
		return putOrDelete(&c.Rules, *change.Rule, change.Delete, func(a, b Rule) bool { return a.Team == b.Team && a.Service == b.Service })
	case change.Endpoint != nil:
		return c.applyEndpointChange(*change.Endpoint, change.Delete)
	}
	return false
}

func (c *Catalog) applyEndpointChange(change EndpointChange, remove bool) bool {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == change.Pool })
	if i < 0 {
		return false
	}
	list := slices.Clone(c.Pools[i].Endpoints)
	ok := putOrDelete(&list, change.Endpoint, remove, func(a, b Endpoint) bool { return a.Name == b.Name })
	c.Pools[i].Endpoints = list
	return ok
}

// putOrDelete replaces, appends or deletes the item for which same(item, v) holds. It
// returns false if there is none to delete.
func putOrDelete[T any](list *[]T, v T, remove bool, same func(a, b T) bool) bool {
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

// Error returns the problem as PATH: MESSAGE.
func (p Problem) Error() string { return fmt.Sprintf("%s: %s", p.Path, p.Message) }
