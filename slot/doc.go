// SPDX-License-Identifier: MIT

// Package slot is the guard beside one endpoint, the last place where a request
// can be stopped.
//
// Guard is its pure part. It lets a request id through to the endpoint at most
// once in the slot's life (its incarnation), and it alone can say "never started
// and now never will": Void marks an id so that a late offer of it is denied.
// Such a word binds one incarnation only. A restarted slot has forgotten what
// ran, so an offer names the incarnation it is meant for and any other denies
// it.
//
// An accepted request is dispatched on its own goroutine, which fills an Answer.
// The Answer keeps bytes until the entry acknowledged them, so a cut connection
// resumes at the last offset. It holds a bounded window: a caller that reads
// slowly stops the reading of the endpoint's stream.
//
// The paths, all under the shared box key:
//
//	POST /v1/run               offer a request; streams the answer
//	GET  /v1/run/{id}?offset=N the answer again, from byte N; with adopt, also of
//	                           a request that an earlier life dispatched
//	POST /v1/void/{id}         never run this id, if it has not started
//	POST /v1/cancel/{id}       the caller went away
//	POST /v1/acks              bytes that entries have, for many requests
package slot
