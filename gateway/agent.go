// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"time"

	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/link"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/routing"
)

// Times and bounds of an agent.
const (
	tickInterval = 50 * time.Millisecond
	// startTimeout is how long requests wait in a process that has just started
	// and knows no configuration yet.
	startTimeout   = 2 * event.Second
	inputQueueSize = 4096
	// maxBatch is how many requests' news go in one message.
	maxBatch = 256
)

// Agent runs an OwnerClient: its loop owns the client and the connections to control
// boxes.
type Agent struct {
	client   *OwnerClient
	clock    event.Clock
	input    chan func(event.Time)
	links    map[LinkID]*link.Conn[message.Envelope]
	lastLink LinkID
}

// NewAgent returns an agent; Run starts it.
func NewAgent(c ClientConfig) *Agent {
	return &Agent{
		client: NewOwnerClient(c),
		clock:  event.NewClock(),
		input:  make(chan func(event.Time), inputQueueSize),
		links:  make(map[LinkID]*link.Conn[message.Envelope]),
	}
}

// Table returns the configuration that requests are served by; nil while there is
// none, or while it is not known to be the newest.
func (a *Agent) Table() *routing.Table { return a.client.Table(a.clock.Now()) }

// LastTable returns the configuration that was put in force last, however old it is.
func (a *Agent) LastTable() *routing.Table { return a.client.table.Load() }

// AwaitTable returns the configuration like Table. In a process that has just
// started and knows none yet, it waits for the first one, for startPatience at the
// most.
func (a *Agent) AwaitTable(ctx context.Context) *routing.Table {
	if t := a.Table(); t != nil || a.clock.Now() > event.Time(startTimeout) {
		return t
	}
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case <-a.client.hasTable:
	case <-timer.C:
	case <-ctx.Done():
	}
	return a.Table()
}

// Submit registers a request. Its decision comes on the channel.
func (a *Agent) Submit(m message.Submission) <-chan Decision {
	decision := make(chan Decision, 1)
	w := &waiter{submission: m, arrived: a.clock.Now(), decision: decision}
	a.input <- func(now event.Time) { a.client.submit(now, w) }
	return decision
}

// Withdraw takes a request back whose decision is not awaited any more.
func (a *Agent) Withdraw(id event.RequestID) {
	a.input <- func(now event.Time) { a.client.withdraw(now, id) }
}

// Begin says that a granted request's answer has begun.
func (a *Agent) Begin(b event.Begun) {
	a.input <- func(now event.Time) { a.client.begin(now, b) }
}

// Finish says that a granted request does not use its endpoint any more.
func (a *Agent) Finish(f message.Finish) {
	a.input <- func(now event.Time) { a.client.finish(now, f) }
}

// RecordEnd says that an endpoint ended under a run of a request.
func (a *Agent) RecordEnd(e poison.End) {
	a.input <- func(now event.Time) { a.client.recordEnd(now, e) }
}

// ObserveFeedback says what an endpoint asked for in an answer.
func (a *Agent) ObserveFeedback(h backpressure.Heard) {
	a.input <- func(now event.Time) { a.client.observeFeedback(now, h) }
}

// SetControl takes other addresses of control boxes.
func (a *Agent) SetControl(control []string) {
	a.input <- func(event.Time) { a.client.AddControlBoxes(control) }
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, c := range a.links {
				c.Close()
			}
			return
		case in := <-a.input:
			a.apply(in)
			for range min(len(a.input), maxBatch) {
				a.apply(<-a.input)
			}
		case <-ticker.C:
			for id, c := range a.links {
				a.client.SetReceivedBytes(id, c.Received())
			}
			a.client.Tick(a.clock.Now())
		}
		a.execute(a.client.Take())
	}
}

func (a *Agent) apply(in func(event.Time)) {
	now := a.clock.Now()
	in(now)
	a.client.deliverDecisions(now)
}

func (a *Agent) execute(out ClientEffects) {
	for _, s := range out.Sends {
		if c, ok := a.links[s.Link]; ok {
			c.Send(s.Message)
		}
	}
	for _, id := range out.Closes {
		if c, ok := a.links[id]; ok {
			delete(a.links, id)
			c.Close()
		}
	}
	if out.Dial != "" {
		go a.dial(out.Dial)
	}
}

// dial connects to a control box and hands on what it says until the connection ends.
func (a *Agent) dial(address string) {
	conn, err := link.Dial[message.Envelope](address)
	if err != nil {
		a.input <- func(now event.Time) { a.client.DialFailed(now, address, err) }
		return
	}
	id := make(chan LinkID, 1)
	a.input <- func(now event.Time) {
		a.lastLink++
		a.links[a.lastLink] = conn
		id <- a.lastLink
		a.client.Dialed(now, a.lastLink, address)
	}
	one := <-id
	var owner message.Peer
	conn.SetForms(owner.Asking())
	err = conn.Serve(func(m *message.Envelope) {
		reads := owner.Reads()
		a.input <- func(now event.Time) {
			a.client.Reads(one, reads)
			a.client.Received(now, one, m)
		}
	})
	a.input <- func(now event.Time) {
		delete(a.links, one)
		a.client.Lost(now, one, err)
	}
}
