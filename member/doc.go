// SPDX-License-Identifier: MIT

// Package member reads the platform's list of boxes with their states, live or leaving. The list
// lags, so it never decides whether a box is reachable; heartbeats and reports do that. A box that
// is listed as leaving is draining as long as it is listed so: it gets no new work, and if it owns
// the pools it transfers leadership.
//
// The list is fetched by HTTP as JSON: [{"address": "IP", "state": "live"}], where "leaving" is the
// only other known state.
package member
