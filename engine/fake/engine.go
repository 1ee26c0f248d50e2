// SPDX-License-Identifier: MIT

package fake

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lynxramp.org/engine"
	"lynxramp.org/event"
)

// Faults are what an engine can be made to do wrong. The zero value is a sound
// engine.
type Faults struct {
	// Slowdown makes each iteration that many times longer; 0 and 1 are none.
	Slowdown float64 `json:"slowdown"`
	// Frozen stops all work and all answers until it is lifted.
	Frozen bool `json:"frozen"`
	// Dead cuts every call without an answer.
	Dead bool `json:"dead"`
	// DropAfterBytes cuts each answer's connection once after so many bytes.
	DropAfterBytes int `json:"drop_after_bytes"`
	// LateMillis holds each answer's first byte back, in milliseconds, by a
	// whole multiple of the request's parity, so that answers come out of order.
	LateMillis int `json:"late_ms"`
}

// Lags of what an engine tells about itself.
const (
	loadLag  = 500 * time.Millisecond
	eventLag = 300 * time.Millisecond
	// eventGap is the number of cache events of which one is lost.
	eventGap = 50
)

// answerBound is how long a finished answer can be resumed.
const answerBound = 60 * time.Second

// answer is one request's output so far.
type answer struct {
	script  script
	stream  bool
	sent    []byte
	done    bool
	gone    bool          // cancelled
	changed chan struct{} // closed at each change
	ended   time.Time
	dropped bool
}

// Engine runs a Model in real time for HTTP callers.
type Engine struct {
	mu      sync.Mutex
	model   *Model
	clock   event.Clock
	faults  Faults
	answers map[string]*answer
	starts  map[string]int // how often each id was dispatched here
	direct  atomic.Uint64  // requests that came without a name
	wake    chan struct{}
	lagged  engine.Load
	laggedT time.Time
	events  []lateEvent
	fences  map[string]uint64
	serving map[string]string
}

type lateEvent struct {
	engine.CacheEvent
	at time.Time
}

// NewEngine returns an engine of a profile; Run makes it work.
func NewEngine(p Profile) *Engine {
	return &Engine{
		model:   NewModel(p),
		clock:   event.NewClock(),
		answers: make(map[string]*answer),
		starts:  make(map[string]int),
		wake:    make(chan struct{}, 1),
		fences:  make(map[string]uint64),
		serving: make(map[string]string),
	}
}

// Run steps the model until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
		timer.Reset(e.advance())
	}
}

// idleWait is how long an engine without work sleeps.
const idleWait = 100 * time.Millisecond

// advance runs the model up to now and returns when to come again.
func (e *Engine) advance() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen {
		return idleWait
	}
	now := e.clock.Now()
	for _, o := range e.model.Advance(now, nil) {
		e.emit(o)
	}
	e.noteTelemetry()
	next, ok := e.model.Next()
	if !ok {
		return idleWait
	}
	return max(0, next.Sub(e.clock.Now()))
}

func (e *Engine) emit(o Output) {
	a, ok := e.answers[o.ID]
	if !ok {
		return
	}
	switch {
	case a.stream:
		a.sent = append(a.sent, a.script.event(o.Index)...)
		if o.Done {
			a.sent = append(a.sent, endOfStream...)
		}
	case o.Done:
		a.sent = a.script.whole()
	default:
		return
	}
	if o.Done {
		a.done = true
		a.ended = time.Now()
	}
	a.wake()
}

func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// noteTelemetry moves load and cache events towards their late readers.
func (e *Engine) noteTelemetry() {
	now := time.Now()
	for _, c := range e.model.CacheEvents() {
		if c.Sequence%eventGap == 0 {
			continue
		}
		e.events = append(e.events, lateEvent{CacheEvent: c, at: now.Add(eventLag)})
	}
	if n := len(e.events) - maxEvents; n > 0 {
		e.events = append(e.events[:0], e.events[n:]...)
	}
	if now.Sub(e.laggedT) >= loadLag {
		e.lagged = e.model.Load()
		e.laggedT = now
	}
	for id, a := range e.answers {
		if (a.done || a.gone) && now.Sub(a.ended) > answerBound {
			delete(e.answers, id)
		}
	}
}

// start queues a request and returns its answer. The same id attaches to the
// answer it already has.
func (e *Engine) start(id string, priority int, r engine.CompletionRequest, chat bool) *answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts[baseID(id)]++
	if a, ok := e.answers[id]; ok {
		return a
	}
	text := r.Text()
	a := &answer{script: newScript(r, chat), stream: r.Stream, changed: make(chan struct{})}
	e.answers[id] = a
	e.model.Submit(e.clock.Now(), Job{
		ID:           id,
		PromptTokens: engine.CountTokens(text),
		OutputTokens: r.MaxTokens,
		Priority:     priority,
		Prefix:       engine.Blocks(r.Model, text),
	})
	e.poke()
	return a
}

// baseID returns a request's id less the number of its offer.
func baseID(id string) string { return string(event.DispatchID(id).Request()) }

// poke makes Run look at the model at once.
func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) find(id string) *answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answers[id]
}

// cancel ends a request's work and answer.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Cancel(id)
	if a, ok := e.answers[id]; ok && !a.done {
		a.gone = true
		a.ended = time.Now()
		a.wake()
	}
}

// SetFaults switches faults on or off.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.model.SetSlowdown(max(f.Slowdown, 1))
	e.poke()
}

// Starts returns how often a request id was dispatched here.
func (e *Engine) Starts(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts[id]
}

// Totals returns the work done so far.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Totals()
}

// obey carries out an order unless its fence is older than one seen before.
func (e *Engine) obey(o engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fences[o.Kind] {
		return false
	}
	e.fences[o.Kind] = o.Fence
	e.serving[o.Kind] = o.Name
	return true
}

// eventsAfter returns the cache events that are due, after a sequence number.
func (e *Engine) eventsAfter(after uint64) []engine.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	due := []engine.CacheEvent{}
	for _, c := range e.events {
		if c.Sequence > after && !c.at.After(now) {
			due = append(due, c.CacheEvent)
		}
	}
	return due
}

// load returns the load as it was a while ago.
func (e *Engine) load() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.lagged
	l.AgeMillis = time.Since(e.laggedT).Milliseconds()
	return l
}

// late returns how long the first byte of a request's answer is held back.
func (e *Engine) late(id string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" || e.faults.LateMillis == 0 {
		return 0
	}
	last, _ := strconv.ParseUint(id[len(id)-1:], 36, 8) // any other sign counts as 0
	return time.Duration(e.faults.LateMillis) * time.Millisecond * time.Duration(last%3)
}
