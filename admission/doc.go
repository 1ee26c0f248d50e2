// SPDX-License-Identifier: MIT

// Package admission decides on requests for all services of a deployment: quotas
// of teams, retry budgets of services, and, with package sched, which endpoint
// runs a request and when.
//
// State is a reducer. The owner has one, over all entries, and spends out of a Book of
// package budget. Each entry has another for the time without an owner, which spends out
// of the Allowances that an owner lent.
package admission
