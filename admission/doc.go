// SPDX-License-Identifier: MIT

// Package admission decides on requests for all services of a deployment. It applies the quotas of
// teams, the retry budgets of services and the checks of package poison; package sched then selects
// an endpoint and a time.
//
// State is a reducer. The owner has one for all entries, which spends from an Allocator of package
// budget. Each entry has another for the time without an owner, which spends from the Leases that an
// owner granted it.
package admission
