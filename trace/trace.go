// SPDX-License-Identifier: MIT

package trace

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lynxramp.org/engine"
)

// Line is one line of a trace: the field that is set says what it is.
type Line struct {
	Header  *Header  `json:"header,omitempty"`
	Request *Request `json:"request,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
}

// Header is a trace's first line.
type Header struct {
	Name      string     `json:"name"`
	Pool      string     `json:"pool"`
	Endpoints []Endpoint `json:"endpoints"`
	// MaxWaiting bounds the pool's queue, in requests.
	MaxWaiting int `json:"max_waiting"`
	// LoadLagMillis is the age of load reports, in milliseconds.
	LoadLagMillis int64 `json:"load_lag_ms"`
	// PrefillWeight is the service's weight of wasted prefill.
	PrefillWeight float64  `json:"prefill_weight"`
	Objectives    Outcomes `json:"outcomes"`
}

// Endpoint is an engine of the pool.
type Endpoint struct {
	Name        string  `json:"name"`
	Speed       float64 `json:"speed"` // relative to the reference engine
	Concurrency int     `json:"concurrency"`
	CacheBlocks int     `json:"cache_blocks"`
}

// Outcomes are what a replay must reach.
type Outcomes struct {
	// Goodput has, by rank, the least share of requests that are answered in
	// time, from 0 to 1.
	Goodput map[int]float64 `json:"goodput"`
	// WastedPrefill is the largest share of wasted prompt tokens among all that
	// are computed, from 0 to 1.
	WastedPrefill float64 `json:"wasted_prefill"`
}

// Request is one request.
type Request struct {
	At     int64  `json:"at"` // milliseconds from the start
	ID     string `json:"id"`
	Team   string `json:"team"`
	Rank   int    `json:"rank"`
	Output int    `json:"output"` // tokens
	// Deadline is in milliseconds from At.
	Deadline int64 `json:"deadline"`
	// Prompt is what the prompt consists of.
	Prompt []Segment `json:"prompt"`
}

// Segment is a part of a prompt. Prompts that begin with the same segments have
// that prefix in common.
type Segment struct {
	Text   string `json:"text"` // stands for its content
	Tokens int    `json:"tokens"`
}

// Fault is something that happens to an endpoint, or to the scheduler.
type Fault struct {
	At       int64   `json:"at"` // milliseconds from the start
	Endpoint string  `json:"endpoint,omitempty"`
	Slowdown float64 `json:"slowdown,omitempty"` // iterations are so much longer
	Leaving  bool    `json:"leaving,omitempty"`
	// NewOwner replaces the scheduler by one that knows nothing.
	NewOwner bool `json:"new_owner,omitempty"`
}

// Trace is a whole trace, in the order of its file.
type Trace struct {
	Header   Header
	Requests []Request
	Faults   []Fault
}

// PromptTokens returns the length of the request's prompt.
func (r Request) PromptTokens() int {
	n := 0
	for _, s := range r.Prompt {
		n += s.Tokens
	}
	return n
}

// Blocks returns the hashes of the prompt's whole prefix blocks.
func (r Request) Blocks() []uint64 {
	var blocks []uint64
	d := xxhash.New()
	filled := 0
	for _, s := range r.Prompt {
		_, _ = d.WriteString(s.Text) // never fails, by its documentation
		for range s.Tokens {
			_, _ = d.Write([]byte{1})
			filled++
			if filled%engine.BlockTokens == 0 {
				blocks = append(blocks, d.Sum64())
			}
		}
	}
	return blocks
}

const compressed = ".gz"

// Load reads a trace file.
func Load(file string) (Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return Trace{}, errors.Wrap(err, "trace")
	}
	defer f.Close()
	var r io.Reader = f
	if strings.HasSuffix(file, compressed) {
		if r, err = gzip.NewReader(f); err != nil {
			return Trace{}, errors.Wrap(err, file)
		}
	}
	t, err := Read(r)
	return t, errors.Wrap(err, file)
}

// Read reads a trace's lines.
func Read(r io.Reader) (Trace, error) {
	var t Trace
	decoder := json.NewDecoder(bufio.NewReader(r))
	for n := 1; ; n++ {
		var l Line
		err := decoder.Decode(&l)
		if err == io.EOF {
			break
		}
		if err != nil {
			return t, errors.Wrapf(err, "line %d", n)
		}
		switch {
		case l.Header != nil:
			t.Header = *l.Header
		case l.Request != nil:
			t.Requests = append(t.Requests, *l.Request)
		case l.Fault != nil:
			t.Faults = append(t.Faults, *l.Fault)
		}
	}
	if len(t.Header.Endpoints) == 0 {
		return t, errors.New("there is no header with endpoints")
	}
	return t, nil
}

// Save writes a trace file.
func (t Trace) Save(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "trace")
	}
	defer f.Close()
	if !strings.HasSuffix(file, compressed) {
		return t.Write(f)
	}
	z := gzip.NewWriter(f)
	if err := t.Write(z); err != nil {
		return err
	}
	return errors.Wrap(z.Close(), file)
}

// Write writes a trace's lines.
func (t Trace) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	lines := []Line{{Header: &t.Header}}
	for i := range t.Faults {
		lines = append(lines, Line{Fault: &t.Faults[i]})
	}
	for i := range t.Requests {
		lines = append(lines, Line{Request: &t.Requests[i]})
	}
	for _, l := range lines {
		if err := encoder.Encode(l); err != nil {
			return errors.Wrap(err, "trace")
		}
	}
	return nil
}
