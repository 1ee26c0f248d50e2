// SPDX-License-Identifier: MIT

// Package catalog holds the operators' configuration: tiers, teams, services, pools
// with their endpoints, and the rules that assign tiers.
//
// A Catalog is plain data. Check reports all problems of one, each with its path. An
// Index answers lookups while requests are served: the team of a key, the service
// of a model, the tier of a team's requests to a service. It is built once for each
// version of a valid Catalog and immutable, so it is safe for concurrent use.
package catalog
