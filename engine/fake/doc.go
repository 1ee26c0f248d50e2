// SPDX-License-Identifier: MIT

// Package fake is a stand-in for a model engine and for a plain service.
//
// Model is the pure part: an engine that batches continuously, caches prompt
// prefixes in limited memory and honours priorities. It knows no clock. The
// caller hands it event time and asks when it next wants to be called, so a
// replay runs it as fast as it likes and sees the same result each time.
//
// One iteration of the engine fills prompts (prefill) up to a token budget and
// gives one token to each sequence that is decoding. Its length is
//
//	overhead + prefilled/prefill rate + sequences × cost of one sequence
//
// and all of it is multiplied by a slow-down factor that a fault can raise.
//
// Engine is the thin HTTP face of a Model in real time. An answer's text is
// worked out from the prompt alone: a mixed-up or cut answer shows at once.
// Service is the stand-in of a plain service and echoes what it was sent.
package fake
