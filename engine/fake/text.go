// SPDX-License-Identifier: MIT

package fake

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lynxramp.org/engine"
)

// reply generates the response to one request from the request alone, so that every
// engine returns the same bytes.
type reply struct {
	id     string
	model  string
	chat   bool
	words  []string
	tokens int
}

func newReply(r engine.CompletionRequest, chat bool) reply {
	text := r.Text()
	sum := xxhash.Sum64String(r.Model + "\x00" + text)
	return reply{
		id:     "cmpl-" + strconv.FormatUint(sum, 16),
		model:  r.Model,
		chat:   chat,
		words:  strings.Fields(text),
		tokens: r.MaxTokens,
	}
}

// token returns the text of the i-th token: a word of the prompt and the token's
// number, so that a lost, duplicated or foreign token is detected.
func (s reply) token(i int) string {
	word := "-"
	if len(s.words) > 0 {
		word = s.words[i%len(s.words)]
	}
	return word + "/" + strconv.Itoa(i) + " "
}

func (s reply) text() string {
	var b strings.Builder
	for i := range s.tokens {
		b.WriteString(s.token(i))
	}
	return b.String()
}

type delta struct {
	Content string `json:"content"`
}

type choice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Delta        *delta          `json:"delta,omitempty"`
	Message      *engine.Message `json:"message,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// finishLength is the finish reason of every response: max_tokens was reached.
const finishLength = "length"

// endOfStream is the last event of a streamed response.
const endOfStream = "data: [DONE]\n\n"

// event returns the server-sent event of the i-th token.
func (s reply) event(i int) []byte {
	c := completion{ID: s.id, Model: s.model, Object: "text_completion", Choices: make([]choice, 1)}
	text := s.token(i)
	if s.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &delta{Content: text}
	} else {
		c.Choices[0].Text = &text
	}
	if i == s.tokens-1 {
		reason := finishLength
		c.Choices[0].FinishReason = &reason
	}
	return append(append([]byte("data: "), mustJSON(c)...), '\n', '\n')
}

// full returns the response that is not streamed.
func (s reply) full() []byte {
	reason := finishLength
	c := completion{ID: s.id, Model: s.model, Object: "text_completion", Choices: make([]choice, 1)}
	c.Choices[0].FinishReason = &reason
	c.Usage = &usage{CompletionTokens: s.tokens}
	text := s.text()
	if s.chat {
		c.Object = "chat.completion"
		c.Choices[0].Message = &engine.Message{Role: "assistant", Content: text}
	} else {
		c.Choices[0].Text = &text
	}
	return append(mustJSON(c), '\n')
}

// mustJSON encodes a value that is known to be encodable.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
