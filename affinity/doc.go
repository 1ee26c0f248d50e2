// SPDX-License-Identifier: MIT

// Package affinity binds each stream to the software version of the endpoint that began it. Endpoints of several
// versions may serve a service side by side, and what two of them write to one stream does not fit together.
//
// A stream is resumed by its entry inside one response, or by its caller in another request at any entry. The
// caller names the attempt that received the first event; its Key identifies the stream. A resumed stream may be
// granted only to an endpoint of the version to which it is bound. The version of a stream is known in two ways:
//
//   - While a service has had one version for longer than any stream lasts, that is the version of all its streams.
//     Nothing is kept of a stream then. The Ledger, which is replicated, has the versions that the streams of a
//     service may have. The owner lends each entry the statement that a version is the only one, for LeaseTerm from the
//     entry's ping. Endpoints of a second version get no request until all leases have expired or were given back.
//   - While a service has several versions, a Table has the version of each stream: the owner's has those that it
//     granted and those that entries report, an entry's those that began there.
//
// Where neither is known, the stream is not resumed. The invariants:
//
//   - While an entry holds a lease on a version, no stream of the service that may still be resumed began at another.
//   - A version leaves the Ledger only if no endpoint had it for StreamLifetime.
//   - A resumed stream is sent only to an endpoint of the version that brought its first event.
package affinity
