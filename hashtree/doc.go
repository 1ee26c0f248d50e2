// SPDX-License-Identifier: MIT

// Package hashtree carries a configuration from the owner to entries in small nodes that are
// named by their content.
//
// A Tree holds a routing.Table: its leaves have runs of routes, services, teams and keys, the nodes
// above them the names of those below. Where a run ends is decided by the items themselves, so that
// two versions share all nodes but those around a change: an entry fetches a changed leaf and the
// few nodes above it, whatever the size of the rest.
//
// A Fetch is the entry's side. It asks for nodes that it lacks, a bounded number of bytes at a time,
// and keeps each that came whole. Nothing that came is fetched again: not on another connection,
// not from another owner, not when a newer version comes before the present one is whole. So the
// size of a configuration makes it slower to arrive and never keeps it from arriving, and what is on
// its way at a time delays other messages by a few milliseconds only.
package hashtree
