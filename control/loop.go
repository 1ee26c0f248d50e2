// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/store"
)

// tickInterval is the interval of Tick events.
const tickInterval = 100 * time.Millisecond

// inputDepth is the number of batches that may be queued for the loop.
const inputDepth = 256

// Executor executes effects. It must not wait for the loop, and must copy what it
// retains.
type Executor interface {
	// Deliver delivers grants, refusals and answers.
	Deliver(e *Effects)
	// Enqueue queues what is to be saved and sent. It takes ownership of r.
	Enqueue(r consensus.Ready)
	// Saved returns the channel of completed saves.
	Saved() <-chan store.Saved
}

// Loop owns a State, in one goroutine.
type Loop struct {
	state    *State
	clock    event.Clock
	executor Executor
	input    chan batch
}

type batch struct {
	events  []event.Event
	inspect func(event.Time, *State)
	done    chan<- Status
}

// NewLoop returns a loop that owns state; Run runs it.
func NewLoop(state *State, clock event.Clock, executor Executor) *Loop {
	return &Loop{
		state:    state,
		clock:    clock,
		executor: executor,
		input:    make(chan batch, inputDepth),
	}
}

// Run steps the state until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var effects Effects
	for {
		var b batch
		select {
		case <-ctx.Done():
			return
		case b = <-l.input:
		case e := <-l.executor.Saved():
			b.events = []event.Event{&LogSaved{Index: e.Index, Term: e.Term}}
		case t := <-ticker.C:
			b.events = []event.Event{&WallClock{Millis: t.UnixMilli()}, &event.Tick{}}
		}
		l.step(b, &effects)
	}
}

func (l *Loop) step(b batch, effects *Effects) {
	effects.Reset()
	now := l.clock.Now()
	for _, e := range b.events {
		l.state.Step(now, e, effects)
	}
	if b.inspect != nil {
		b.inspect(now, l.state)
	}
	status := l.state.Status(now)
	if !status.IsOwner {
		// Undelivered decisions expire with the leader's lease.
		effects.Grants = effects.Grants[:0]
		effects.Refusals = effects.Refusals[:0]
	}
	l.executor.Deliver(effects)
	if effects.Ready.MustSave() || len(effects.Ready.Immediate)+len(effects.Ready.Messages) > 0 {
		l.executor.Enqueue(effects.Ready)
		effects.Ready = consensus.Ready{}
	}
	if b.done != nil {
		b.done <- status
	}
}

// Post steps the state with events, waits until their effects are with the executor
// and returns the status after them.
func (l *Loop) Post(ctx context.Context, events ...event.Event) (Status, error) {
	return l.post(ctx, batch{events: events})
}

// Inspect calls f with the state, on the loop's goroutine. f must not retain it.
func (l *Loop) Inspect(ctx context.Context, f func(event.Time, *State)) error {
	_, err := l.post(ctx, batch{inspect: f})
	return err
}

func (l *Loop) post(ctx context.Context, b batch) (Status, error) {
	done := make(chan Status, 1)
	b.done = done
	select {
	case l.input <- b:
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
	select {
	case s := <-done:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}
