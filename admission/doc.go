// SPDX-License-Identifier: MIT

// Package admission decides on requests for all services of a deployment. It applies the quotas of
// teams, the retry budgets of services and the checks of package poison; package sched then selects
// an endpoint and a time.
//
// State is a reducer. The owner has one for all entries, which spends from a Book of package budget.
// Each entry has another for the time without an owner, which spends from the Allowances that an
// owner leased to it.
package admission
