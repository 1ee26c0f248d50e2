// SPDX-License-Identifier: MIT

// Package slot is the process beside one endpoint. Every request to the endpoint
// passes through it, and it is the last place where a request can be stopped.
//
// Guard decides which requests are dispatched. It lets a dispatch id through to the
// endpoint at most once per incarnation (run) of the slot. Only the guard can confirm
// that an id has not started and never will: Void marks the id, so that a late offer
// of it is denied. This holds for one incarnation only, since a restarted slot has no
// record of earlier requests. Therefore an offer names the incarnation that it is
// meant for, and any other incarnation denies it.
//
// An accepted request is dispatched on its own goroutine, which fills a
// ResponseBuffer. The buffer keeps bytes until the entry acknowledges them, so a lost
// connection resumes at the last offset. The unacknowledged bytes are limited: if the
// caller reads slowly, the slot stops reading from the endpoint.
//
// The paths, all of which require the key of the boxes:
//
//	POST /v1/run               offer a request; streams the response
//	GET  /v1/run/{id}?offset=N the response from byte N; with adopt, also of a
//	                           request that an earlier incarnation dispatched
//	POST /v1/void/{id}         never start this id, if it has not started
//	POST /v1/cancel/{id}       the caller disconnected
//	POST /v1/acks              acknowledgements of entries, for many requests
package slot
