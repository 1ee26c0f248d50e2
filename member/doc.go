// SPDX-License-Identifier: MIT

// Package member reads the platform's list of boxes: which are live and which
// are leaving. The list lags, so it is never taken as word that a box is alive
// or dead; heartbeats and reports say that sooner. That a box is leaving is taken
// from it at once and for as long as it stands there: such a box gets no new
// work, and if it owns the pools it hands them over.
//
// The list is fetched by HTTP and is JSON: [{"address": "IP", "state": "live"}],
// with "leaving" as the other state that is known.
package member
