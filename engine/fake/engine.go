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

// Faults are the faults that can be injected into an engine. The zero value injects
// none.
type Faults struct {
	// Slowdown multiplies the duration of each iteration; 0 and 1 have no effect.
	Slowdown float64 `json:"slowdown"`
	// Frozen stops all work and all responses while it is set.
	Frozen bool `json:"frozen"`
	// DropCalls closes the connection of each call without a response.
	DropCalls bool `json:"dead"`
	// DropAfterBytes closes the connection of each response once, after that many bytes.
	DropAfterBytes int `json:"drop_after_bytes"`
	// DelayMillis delays the first byte of a response by 0, 1 or 2 times that many
	// milliseconds, depending on the request id, so that responses are reordered.
	DelayMillis int `json:"late_ms"`
}

// Delays and losses of what an engine reports.
const (
	loadLag  = 500 * time.Millisecond
	eventLag = 300 * time.Millisecond
	// eventLossInterval is the number of cache events of which one is lost.
	eventLossInterval = 50
)

// responseRetention is how long a finished response can be resumed.
const responseRetention = 60 * time.Second

// response is the output of one request so far.
type response struct {
	reply     reply
	stream    bool
	data      []byte
	done      bool
	cancelled bool
	changed   chan struct{} // closed at each change
	ended     time.Time
	dropped   bool
}

// Engine runs a Model in real time and serves it over HTTP.
type Engine struct {
	mu           sync.Mutex
	model        *Model
	clock        event.Clock
	faults       Faults
	responses    map[string]*response
	dispatches   map[string]int // by request id
	generatedIDs atomic.Uint64  // number of ids generated so far
	wake         chan struct{}
	reportedLoad engine.Load
	reportedAt   time.Time
	events       []delayedEvent
	fences       map[string]uint64
	serving      map[string]string
}

type delayedEvent struct {
	engine.CacheEvent
	at time.Time
}

// NewEngine returns an engine with a profile; Run must be called for it to work.
func NewEngine(p Profile) *Engine {
	return &Engine{
		model:      NewModel(p),
		clock:      event.NewClock(),
		responses:  make(map[string]*response),
		dispatches: make(map[string]int),
		wake:       make(chan struct{}, 1),
		fences:     make(map[string]uint64),
		serving:    make(map[string]string),
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

// idleWait is how long an engine without work waits.
const idleWait = 100 * time.Millisecond

// advance runs the model up to now and returns the time until its next change.
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
	e.updateTelemetry()
	next, ok := e.model.Next()
	if !ok {
		return idleWait
	}
	return max(0, next.Sub(e.clock.Now()))
}

func (e *Engine) emit(o Output) {
	a, ok := e.responses[o.ID]
	if !ok {
		return
	}
	switch {
	case a.stream:
		a.data = append(a.data, a.reply.event(o.Index)...)
		if o.Done {
			a.data = append(a.data, endOfStream...)
		}
	case o.Done:
		a.data = a.reply.full()
	default:
		return
	}
	if o.Done {
		a.done = true
		a.ended = time.Now()
	}
	a.notify()
}

func (a *response) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// updateTelemetry updates the delayed load and cache events, and deletes old responses.
func (e *Engine) updateTelemetry() {
	now := time.Now()
	for _, c := range e.model.CacheEvents() {
		if c.Sequence%eventLossInterval == 0 {
			continue
		}
		e.events = append(e.events, delayedEvent{CacheEvent: c, at: now.Add(eventLag)})
	}
	if n := len(e.events) - maxEvents; n > 0 {
		e.events = append(e.events[:0], e.events[n:]...)
	}
	if now.Sub(e.reportedAt) >= loadLag {
		e.reportedLoad = e.model.Load()
		e.reportedAt = now
	}
	for id, a := range e.responses {
		if (a.done || a.cancelled) && now.Sub(a.ended) > responseRetention {
			delete(e.responses, id)
		}
	}
}

// start queues a request and returns its response. An id that was started before gets
// the existing response.
func (e *Engine) start(id string, priority int, r engine.CompletionRequest, chat bool) *response {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatches[baseID(id)]++
	if a, ok := e.responses[id]; ok {
		return a
	}
	text := r.Text()
	a := &response{reply: newReply(r, chat), stream: r.Stream, changed: make(chan struct{})}
	e.responses[id] = a
	e.model.Submit(e.clock.Now(), Job{
		ID:           id,
		PromptTokens: engine.EstimateTokens(text),
		OutputTokens: r.MaxTokens,
		Priority:     priority,
		Prefix:       engine.BlockHashes(r.Model, text),
	})
	e.signal()
	return a
}

// baseID returns the request id of a dispatch id.
func baseID(id string) string { return string(event.DispatchID(id).Request()) }

// signal makes Run advance the model immediately.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) find(id string) *response {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.responses[id]
}

// cancel cancels a request and closes the connections that read its response.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Cancel(id)
	if a, ok := e.responses[id]; ok && !a.done {
		a.cancelled = true
		a.ended = time.Now()
		a.notify()
	}
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.model.SetSlowdown(max(f.Slowdown, 1))
	e.signal()
}

// DispatchCount returns how often a request id was dispatched to this engine.
func (e *Engine) DispatchCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatches[id]
}

// Totals returns the totals of the work done so far.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Totals()
}

// applyOrder applies an order unless its fence is older than one seen before.
func (e *Engine) applyOrder(o engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fences[o.Kind] {
		return false
	}
	e.fences[o.Kind] = o.Fence
	e.serving[o.Kind] = o.Name
	return true
}

// eventsAfter returns the cache events after a sequence number whose delay has passed.
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

// load returns the load as of its last update.
func (e *Engine) load() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.reportedLoad
	l.AgeMillis = time.Since(e.reportedAt).Milliseconds()
	return l
}

// firstByteDelay returns the delay of the first byte of a request's response.
func (e *Engine) firstByteDelay(id string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" || e.faults.DelayMillis == 0 {
		return 0
	}
	last, _ := strconv.ParseUint(id[len(id)-1:], 36, 8) // any other character counts as 0
	return time.Duration(e.faults.DelayMillis) * time.Millisecond * time.Duration(last%3)
}
