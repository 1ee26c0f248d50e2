// SPDX-License-Identifier: MIT

// Package cluster runs a control box: a member of the replicated log that stores the
// configuration and the registry of endpoints. While a box is the leader and holds the
// lease, it is also the owner, which schedules all requests.
//
// Most of the owner's state is soft: a new owner rebuilds it from entries and endpoints.
// Spending of quotas and retry budgets, poison requests, and orders to roll out a version are
// recorded in the log (packages budget, poison and rollout).
//
// State is the reducer over all events; one goroutine (Server.loop) owns it. Other goroutines
// do the disk, network and API work and only send events.
//
// A group is bootstrapped once, from the seeds in the settings (Config.Bootstrap). Any other
// box joins as a learner. Once it has saved all committed entries it becomes a voter if there
// are fewer than the limit; otherwise it stays a learner until it can replace an unreachable
// voter.
package cluster
