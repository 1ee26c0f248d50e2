// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	"lynxramp.org/event"
)

// tickEvery is how often the State is told that time passed.
const tickEvery = 50 * time.Millisecond

// inputDepth is how many batches of events may wait for the loop.
const inputDepth = 256

// Carrier carries out effects. It must not wait for the loop.
type Carrier interface {
	Carry(effects *event.Effects)
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
	inside func(*State)
	done   chan<- struct{}
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
	var effects event.Effects
	tick := []event.Event{&event.Tick{}}
	for {
		var b batch
		select {
		case <-ctx.Done():
			return
		case b = <-l.input:
		case <-ticker.C:
			b = batch{events: tick}
		}
		effects.Reset()
		now := l.clock.Now()
		for _, e := range b.events {
			l.state.Step(now, e, &effects)
		}
		if b.inside != nil {
			b.inside(l.state)
		}
		l.carrier.Carry(&effects)
		if b.done != nil {
			close(b.done)
		}
	}
}

// Post hands events to the state and waits until their effects were carried
// out or ctx ended.
func (l *Loop) Post(ctx context.Context, events ...event.Event) error {
	return l.post(ctx, batch{events: events})
}

// Inspect calls f with the state, on the loop's goroutine. f must not keep it.
func (l *Loop) Inspect(ctx context.Context, f func(*State)) error {
	return l.post(ctx, batch{inside: f})
}

func (l *Loop) post(ctx context.Context, b batch) error {
	done := make(chan struct{})
	b.done = done
	select {
	case l.input <- b:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
