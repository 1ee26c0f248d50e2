// SPDX-License-Identifier: MIT

// Package poison detects requests that terminate the endpoints that run them (queries of death),
// and bounds how many endpoints such a request can terminate.
//
// Callers retry such a request as new calls, through any entry. Calls of the same request are
// recognised by a Fingerprint of their content. A Tracker keeps, for each Fingerprint, the
// endpoints that terminated while they ran it since one of its runs last succeeded:
//
//   - After one termination the request is serialized: its calls run one at a time, each only
//     once the replicated log has the run. A run that succeeds clears the request. Other requests
//     that ran on the same endpoint are serialized too, until one of their runs succeeds.
//   - After two it is suspected. It gets maxTrials trial runs, each counted in the log before it
//     starts, at endpoints without other trials, and with a pause after each.
//   - Then it is quarantined for some time, and after that removed.
//   - A request that had a successful run within successWindow is not serialized.
//
// For a request none of whose runs succeeds, changes of the owner and unreachable entries
// included,
//
//	runs started after the first known termination <= 1 + maxTrials
//
// until it is removed. A run whose outcome nobody can report any more counts as a termination,
// since the log has the run. Nothing is recorded before the first known termination. A
// termination is known when the entry that ran the request reports it, or when the owner that
// granted the run finds the endpoint unreachable; it stays unknown only if both terminate too.
//
// Requests that are not alike may share a part of their prompts that terminates endpoints before they begin a response. A
// PartTracker follows the same rules for parts, with these differences: a response that begins clears its parts; a part is
// suspected after two terminations; a run of a request is a trial of each of its parts with a termination, and one of a
// single part tells more than one of several.
//
//	runs started once the log has two terminations <= maxSoloTrials + maxJointTrials
//
// Memory and messages are bounded: the requests in a Tracker and in the log (maxCases; those with
// a single termination are evicted first), the size of a Record, and the list that is sent to
// entries. An entry without an owner runs no request on that list, and none under which it
// observed two terminations itself.
package poison
