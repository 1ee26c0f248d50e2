// SPDX-License-Identifier: MIT

package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Headers of a call to an engine.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority" // an integer; a higher priority runs first
)

// BlockTokens is the number of prompt tokens in one prefix block.
const BlockTokens = 16

// SampleStride is the number of prefix blocks per sampled hash in a ticket.
const SampleStride = 8

// SampleTokens is the number of prompt tokens per sampled hash.
const SampleTokens = SampleStride * BlockTokens

// SampleHashes returns the hash of every SampleStride-th block. This is enough to
// estimate how much of a prompt an engine has cached, and keeps tickets small.
func SampleHashes(blocks []uint64) []uint64 {
	samples := make([]uint64, 0, len(blocks)/SampleStride)
	for i := SampleStride - 1; i < len(blocks); i += SampleStride {
		samples = append(samples, blocks[i])
	}
	return samples
}

// bytesPerToken is the assumed number of bytes of text per token.
const bytesPerToken = 4

// DefaultOutputTokens is used if a request has no max_tokens.
const DefaultOutputTokens = 128

// Load is the load that an engine reports.
type Load struct {
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// PendingPrefill is in prompt tokens.
	PendingPrefill int `json:"pending_prefill"`
	// CacheUsed is in blocks.
	CacheUsed int `json:"cache_used"`
	// AgeMillis is the age of these figures, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// CacheEvent reports that a prefix block was cached or evicted. Sequence numbers are
// consecutive, so that a reader detects lost events.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
}

// Order asks an engine to change what it serves.
type Order struct {
	// Kind is "model", "adapter", "version" or "role".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fence is a fencing token: it must not be lower than that of an earlier order.
	Fence uint64 `json:"fence"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest has the fields of a completions call that the system uses. The
// body itself is forwarded unchanged.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// ParseCompletion parses body and validates the fields that the system uses.
func ParseCompletion(body []byte) (CompletionRequest, error) {
	var r CompletionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, errors.Wrap(err, "body is not a completions request")
	}
	if r.Model == "" {
		return r, errors.New("model is missing")
	}
	if r.MaxTokens < 0 {
		return r, errors.New("max_tokens is negative")
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = DefaultOutputTokens
	}
	return r, nil
}

// Text returns the whole prompt; of a chat, all its messages.
func (r CompletionRequest) Text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// EstimateTokens returns the approximate number of tokens in a text.
func EstimateTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// BlockHashes returns the hashes of the full prefix blocks of a text. Each hash covers
// the text from its beginning, so equal hashes mean equal prefixes.
func BlockHashes(model, text string) []uint64 {
	const size = BlockTokens * bytesPerToken
	d := xxhash.New()
	_, _ = d.WriteString(model) // Digest's writes never return an error
	blocks := make([]uint64, 0, len(text)/size)
	for len(text) >= size {
		_, _ = d.WriteString(text[:size])
		blocks = append(blocks, d.Sum64())
		text = text[size:]
	}
	return blocks
}
