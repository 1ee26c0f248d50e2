// SPDX-License-Identifier: MIT

// Package routing has the table of routes, services and teams in force: which
// services may serve a request, by its host and path, and which team it belongs
// to.
//
// A Table is immutable once it is checked and indexed. Of several tables the
// one with the highest version applies.
package routing
