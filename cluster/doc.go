// SPDX-License-Identifier: MIT

// Package cluster runs a control box of a fleet: a member of the replicated log
// that keeps the configuration and the registry of endpoints, and, while it leads
// and holds the lease, the owner that decides on all requests.
//
// Most of what the owner knows is soft: entries and endpoints tell it to the next one.
// What was spent of quotas and retry budgets is not: records of it are in the log (package
// budget).
//
// State is the reducer over all events; one goroutine (Server.run) owns it.
// Others read the disk, the links and the operators' calls and only pass events.
//
// A group is founded from the seeds of the settings, once, by settings that say
// so (Found). Every other box joins: it is a learner until it has saved all that
// is committed, then a voter while there are fewer than the limit, else it stands
// by and takes the place of a voter that is dead.
package cluster
