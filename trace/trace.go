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

// Line is one line of a trace; exactly one field is set.
type Line struct {
	Header  *Header  `json:"header,omitempty"`
	Request *Request `json:"request,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
}

// Header is the first line of a trace.
type Header struct {
	Name      string     `json:"name"`
	Pool      string     `json:"pool"`
	Endpoints []Endpoint `json:"endpoints"`
	// MaxWaiting bounds the pool's queue, in requests.
	MaxWaiting int `json:"max_waiting"`
	// LoadLagMillis is the age of endpoints' load reports, in milliseconds.
	LoadLagMillis int64 `json:"load_lag_ms"`
	// PrefillWeight is that of catalog.Pool.
	PrefillWeight float64    `json:"prefill_weight"`
	Objectives    Objectives `json:"outcomes"`
}

// Endpoint is an engine of the pool.
type Endpoint struct {
	Name        string  `json:"name"`
	Speed       float64 `json:"speed"` // relative to the reference engine
	Concurrency int     `json:"concurrency"`
	CacheBlocks int     `json:"cache_blocks"` // capacity of the prefix cache, in blocks
}

// Objectives are what a replay must reach.
type Objectives struct {
	// Goodput is the smallest accepted fraction of requests answered before their
	// deadline, by rank, from 0 to 1.
	Goodput map[int]float64 `json:"goodput"`
	// WastedPrefill is the largest accepted fraction of computed prompt tokens that are
	// wasted, from 0 to 1.
	WastedPrefill float64 `json:"wasted_prefill"`
}

// Request is one request of the workload.
type Request struct {
	At     int64  `json:"at"` // milliseconds from the start
	ID     string `json:"id"`
	Team   string `json:"team"`
	Rank   int    `json:"rank"`   // of the tier; higher has priority
	Output int    `json:"output"` // tokens
	// Deadline is in milliseconds from At.
	Deadline int64 `json:"deadline"`
	// Prompt is the sequence of segments that make up the prompt.
	Prompt []Segment `json:"prompt"`
}

// Segment is a part of a prompt. Prompts that begin with the same segments share that
// prefix in an engine's cache.
type Segment struct {
	Text   string `json:"text"` // identifies the content
	Tokens int    `json:"tokens"`
}

// Fault is a change of an endpoint, or the replacement of the scheduler, at a time.
type Fault struct {
	At       int64   `json:"at"` // milliseconds from the start
	Endpoint string  `json:"endpoint,omitempty"`
	Slowdown float64 `json:"slowdown,omitempty"` // factor on the duration of an iteration; 0 for no change
	Draining bool    `json:"leaving,omitempty"`  // the endpoint accepts no more requests
	// NewOwner replaces the scheduler by one without state.
	NewOwner bool `json:"new_owner,omitempty"`
}

// Trace is a whole trace; requests and faults are in file order.
type Trace struct {
	Header   Header
	Requests []Request
	Faults   []Fault
}

// PromptTokens returns the prompt's length in tokens.
func (r Request) PromptTokens() int {
	n := 0
	for _, s := range r.Prompt {
		n += s.Tokens
	}
	return n
}

// Blocks returns the hashes of the prompt's complete prefix blocks.
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

const gzipSuffix = ".gz"

// Load reads a trace file, compressed if its name ends in .gz.
func Load(file string) (Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return Trace{}, errors.Wrap(err, "trace")
	}
	defer f.Close()
	var r io.Reader = f
	if strings.HasSuffix(file, gzipSuffix) {
		if r, err = gzip.NewReader(f); err != nil {
			return Trace{}, errors.Wrap(err, file)
		}
	}
	t, err := Read(r)
	return t, errors.Wrap(err, file)
}

// Read reads a trace.
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
		return t, errors.New("trace has no header with endpoints")
	}
	return t, nil
}

// Save writes a trace file, compressed if its name ends in .gz.
func (t Trace) Save(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "trace")
	}
	defer f.Close()
	if !strings.HasSuffix(file, gzipSuffix) {
		return t.Write(f)
	}
	z := gzip.NewWriter(f)
	if err := t.Write(z); err != nil {
		return err
	}
	return errors.Wrap(z.Close(), file)
}

// Write writes the trace uncompressed.
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
