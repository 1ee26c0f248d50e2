// SPDX-License-Identifier: MIT

// Package routing has the table of routes, services and teams that is in force:
// which service may serve a request, by its host and path, and on whose behalf.
//
// A Table is made once, checked whole, and never changed. Its version orders it
// among others: the highest holds.
package routing
