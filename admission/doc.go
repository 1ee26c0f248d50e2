// SPDX-License-Identifier: MIT

// Package admission decides on requests for all services of a deployment: quotas
// of teams, retry budgets of services, and, with package sched, which endpoint
// runs a request and when.
//
// State is a reducer. The owner has one, over all entries. Each entry has another
// for the time without an owner, which deals in a share of the quotas and budgets
// so that all entries together stay within them.
package admission
