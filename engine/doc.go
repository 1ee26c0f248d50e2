// SPDX-License-Identifier: MIT

// Package engine is the protocol of model engines: the JSON shapes of its messages,
// and the division of a prompt into prefix blocks.
//
// An engine serves the common completions calls. In addition it serves these, where
// {id} is a request id chosen by this system:
//
//	GET    /requests/{id}/stream?offset=N  the response again, from byte N
//	DELETE /requests/{id}                  cancel
//	GET    /load                           Load, which lags behind
//	GET    /cache/events?after=N           []CacheEvent, delayed and with gaps
//	POST   /cache/export                   which of the given blocks are cached
//	POST   /cache/import                   blocks to add to the cache
//	POST   /orders                         Order, rejected if its fence is outdated
package engine
