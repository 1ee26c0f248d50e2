// SPDX-License-Identifier: MIT

// Package engine is the protocol towards endpoints: the JSON shapes of model
// engines, how a prompt is cut into prefix blocks, and a client.
//
// An engine serves the widely used completions calls. Beside them it answers,
// for a request id of our making:
//
//	GET    /requests/{id}/stream?offset=N  the answer again, from byte N
//	DELETE /requests/{id}                  cancel
//	GET    /load                           Load, which lags behind
//	GET    /cache/events?after=N           []CacheEvent, late and with gaps
//	POST   /cache/export                   blocks that are held of those asked for
//	POST   /cache/import                   blocks to hold from now on
//	POST   /orders                         Order, refused if its fence is old
package engine
