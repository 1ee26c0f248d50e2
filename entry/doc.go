// SPDX-License-Identifier: MIT

// Package entry accepts callers' requests and tracks each one until its response
// is complete.
//
// A request is registered as a ticket with its pool's scheduler, through an
// OwnerClient. The scheduler replies with a grant or a refusal. A grant names a
// slot; the entry offers the request, with its body, to that slot only, until the
// slot confirms that the dispatch id has not started and never will. Only then may
// the request be registered again. If the outcome cannot be determined, for example
// because the slot terminated after it received the offer, the caller gets the outcome
// "unknown", never "not-run".
//
// The response is streamed. If the connection to the slot is lost, the entry
// resumes at the byte offset that it has reached; a response that cannot be
// completed is aborted, so that the caller's client sees an error.
package entry
