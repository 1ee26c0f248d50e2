// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/store"
)

// tickEvery is how often the State is told that time passed.
const tickEvery = 100 * time.Millisecond

// inputDepth is how many batches of events may wait for the loop.
const inputDepth = 256

// Carrier carries out effects. It must not wait for the loop and must copy what
// it keeps.
type Carrier interface {
	// Decide takes grants, refusals and answers.
	Decide(e *Effects)
	// Keep takes what is to be saved and sent. It owns r.
	Keep(r consensus.Ready)
	// Saved is where it tells what was saved.
	Saved() <-chan store.Saved
}

// Loop is the goroutine that owns a State.
type Loop struct {
	state   *State
	clock   event.Clock
	carrier Carrier
	input   chan batch
}

type batch struct {
	events []event.Event
	inside func(event.Time, *State)
	done   chan<- Status
}

// NewLoop returns a loop over state; Run starts it.
func NewLoop(state *State, clock event.Clock, carrier Carrier) *Loop {
	return &Loop{
		state:   state,
		clock:   clock,
		carrier: carrier,
		input:   make(chan batch, inputDepth),
	}
}

// Run steps the state until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var effects Effects
	for {
		var b batch
		select {
		case <-ctx.Done():
			return
		case b = <-l.input:
		case e := <-l.carrier.Saved():
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
	if b.inside != nil {
		b.inside(now, l.state)
	}
	status := l.state.Status(now)
	if !status.Owner {
		// A lease that ended takes its undelivered decisions with it.
		effects.Grants = effects.Grants[:0]
		effects.Refusals = effects.Refusals[:0]
	}
	l.carrier.Decide(effects)
	if effects.Ready.MustSave() || len(effects.Ready.Immediate)+len(effects.Ready.Messages) > 0 {
		l.carrier.Keep(effects.Ready)
		effects.Ready = consensus.Ready{}
	}
	if b.done != nil {
		b.done <- status
	}
}

// Post hands events to the state, waits until their effects were handed on and
// returns the status after them.
func (l *Loop) Post(ctx context.Context, events ...event.Event) (Status, error) {
	return l.post(ctx, batch{events: events})
}

// Inspect calls f with the state, on the loop's goroutine. f must not keep it.
func (l *Loop) Inspect(ctx context.Context, f func(event.Time, *State)) error {
	_, err := l.post(ctx, batch{inside: f})
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
