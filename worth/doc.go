// SPDX-License-Identifier: MIT

// Package worth weighs whether a request is to wait on or to be refused now, by what its
// caller gains from either. It is pure: all that it knows is in a Case.
//
// # What callers gain
//
// An answer that begins within its target, counted from when its caller first asked, is
// worth 1. A later one is worth Late. No answer is worth 0, less what the wait for it cost
// the caller: nothing while it is short, all of the request's worth when most of the time
// went by that the caller had (heldCost). A caller who was refused asks again, some once;
// to be refused a second time costs it Second on top, and so does an attempt that fails.
//
// # The two ways
//
// With in the chance that the answer is in time, and any that there is one at all, a
// request that waits on is worth
//
//	keep = in + Late*(any-in) - (1-any)*(held(then) + [asked before]*Second)
//
// and one that is refused now
//
//	refuse = -held(now) + (again*Late - (1-again)*Second)   where its caller asks again,
//	refuse = -held(now) - Second                            where it did before,
//
// again being the chance that who asks again is served. The greater one is chosen, at the
// request's arrival and whenever something changed. Nothing in it jumps with a request's
// age: as the wait goes on, held(now) grows and any falls, each without a step, so a
// request is given up when it has become worth less to wait, early or late.
//
// # Chances
//
// A wait that is expected to last m ends within x with the chance 1 / (1 + (m/x)^4): a
// log-logistic spread around m as the median. Nine in ten waits end within 1.7 m. A wait of
// 0 ends at once; no wait ends within no time.
//
// An overload that has lasted a while is over within x more with the chance x/(a+x), a being
// how long it has lasted: of overloads of all lengths alike, half of those that have lasted
// so long last as long again. What waits an overload out has the product of both chances.
//
// Times that make no sense are taken for the nearest that do: a target or a time left below
// 0 for 0, an expected wait below 0 for 0.
package worth
