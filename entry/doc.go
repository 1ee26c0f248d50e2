// SPDX-License-Identifier: MIT

// Package entry takes callers' requests and owns each from its arrival to its
// last byte.
//
// A request is registered with its pool's scheduler as a ticket, through a Link.
// The scheduler answers with a grant or a refusal. A grant names a slot; the
// entry offers the request, with its body, to that slot and to no other, until
// the slot says for that id "never started and now never will". Only then may
// the request be registered again. Where nothing can be known (the slot died
// with the offer in its hands) the caller is told "unknown", never "not run".
//
// The answer is streamed. When the connection to the slot is cut the entry
// resumes at the byte it has; an answer that cannot be completed ends in a way
// that the caller's client notices.
package entry
