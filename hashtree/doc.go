// SPDX-License-Identifier: MIT

// Package hashtree sends a configuration from the owner to entries in small content-addressed
// nodes.
//
// A Tree holds a routing.Table: its leaves have runs of routes, services, teams and keys, and inner
// nodes the sums of their children. The items themselves decide where a run ends, so that two
// versions share all nodes except those around a change: an entry fetches the changed leaf and the
// few nodes above it, whatever the size of the rest.
//
// A Fetcher is the entry's side. It requests missing nodes, with a bounded number of bytes in
// flight, and keeps every node that arrives. No node is fetched twice: not after a reconnect, not
// from another owner, and not when a newer version appears before the current one is complete. Thus
// a large configuration takes longer to arrive but always arrives, and it delays other messages by
// a few milliseconds only.
package hashtree
