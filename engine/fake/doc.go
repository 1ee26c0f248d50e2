// SPDX-License-Identifier: MIT

// Package fake has stand-ins for a model engine and for a plain service.
//
// Model simulates an engine with continuous batching, a prefix cache of limited size
// and priorities. It does not read a clock: the caller passes the time and asks for
// the time of the next change, so a replay runs at any speed and is deterministic.
//
// An iteration of the engine computes prompts (prefill) up to a token budget and
// generates one token for each decoding sequence. Its duration is
//
//	overhead + prefilled/prefill rate + sequences × cost of one sequence
//
// multiplied by a slowdown factor that a fault can raise.
//
// Engine serves a Model over HTTP in real time. The text of a response depends on the
// request alone, so a mixed-up or truncated response is detected. Service is the
// stand-in for a plain service; it echoes the request.
package fake
