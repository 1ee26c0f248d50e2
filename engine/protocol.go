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
	HeaderPriority  = "X-Priority" // an integer; the larger runs first
)

// BlockTokens is the number of prompt tokens in one prefix block.
const BlockTokens = 16

// MarkBlocks is how many prefix blocks lie between the marks that tickets carry.
const MarkBlocks = 8

// MarkTokens is the number of prompt tokens between two marks.
const MarkTokens = MarkBlocks * BlockTokens

// Marks returns the hash of each MarkBlocks-th block: enough to tell how much of
// a prompt an engine holds, at an eighth of the bytes.
func Marks(blocks []uint64) []uint64 {
	marks := make([]uint64, 0, len(blocks)/MarkBlocks)
	for i := MarkBlocks - 1; i < len(blocks); i += MarkBlocks {
		marks = append(marks, blocks[i])
	}
	return marks
}

// tokenBytes is how many bytes of text are taken for one token.
const tokenBytes = 4

// DefaultOutputTokens is assumed where a request does not say max_tokens.
const DefaultOutputTokens = 128

// Load is what an engine says about itself.
type Load struct {
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// PendingPrefill is in prompt tokens.
	PendingPrefill int `json:"pending_prefill"`
	// CacheUsed is in blocks.
	CacheUsed int `json:"cache_used"`
	// AgeMillis is how old these figures are, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// CacheEvent says that a prefix block entered or left the cache. Sequence
// numbers grow by one; a reader sees a gap by a missing number.
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
	// Fence must not be smaller than that of any order carried out before.
	Fence uint64 `json:"fence"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest has the fields of a completions call that the system
// looks at; the body itself is passed on as it came.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// ParseCompletion reads body and checks what the system relies on.
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

// Text returns the whole prompt.
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

// CountTokens estimates the tokens of a text.
func CountTokens(text string) int { return (len(text) + tokenBytes - 1) / tokenBytes }

// Blocks returns the hashes of the whole prefix blocks of a text. Each covers
// all the text up to its end, so equal hashes mean equal prefixes.
func Blocks(model, text string) []uint64 {
	const size = BlockTokens * tokenBytes
	d := xxhash.New()
	_, _ = d.WriteString(model) // never fails, by its documentation
	blocks := make([]uint64, 0, len(text)/size)
	for len(text) >= size {
		_, _ = d.WriteString(text[:size])
		blocks = append(blocks, d.Sum64())
		text = text[size:]
	}
	return blocks
}
