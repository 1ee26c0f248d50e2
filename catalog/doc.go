// SPDX-License-Identifier: MIT

// Package catalog holds what operators own: tiers, teams, services, pools with
// their endpoints, and the rules that bind them.
//
// A Catalog is plain data. Check finds all that is wrong with one and names the
// place of each fault by its path. An Index answers the questions that traffic
// asks of a sound Catalog: which team holds a key, which service has a model,
// and by which rule a team uses a service. It is made once for each version and
// never changes, so any goroutine may read it.
package catalog
