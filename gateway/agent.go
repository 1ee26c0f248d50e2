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

// Times and limits of an agent.
const (
	tickInterval = 50 * time.Millisecond
	// startTimeout is how long requests wait for the first configuration after the process started.
	startTimeout   = 2 * event.Second
	inputQueueSize = 4096
	// maxBatch limits the inputs applied before effects are executed, and so the size of a message.
	maxBatch = 256
)

// Agent runs an OwnerClient. The goroutine of Run owns the client and the connections to control boxes.
type Agent struct {
	client   *OwnerClient
	clock    event.Clock
	input    chan func(event.Time)
	links    map[LinkID]*link.Conn[message.Envelope]
	lastLink LinkID
	received *link.Memory // limits the messages that are being received
}

// NewAgent returns an agent; Run starts it.
func NewAgent(c ClientConfig) *Agent {
	return &Agent{
		client: NewOwnerClient(c),
		clock:  event.NewClock(),
		input:  make(chan func(event.Time), inputQueueSize),
		links:  make(map[LinkID]*link.Conn[message.Envelope]),

		received: link.NewMemory(c.LinkBytes),
	}
}

// Table returns the configuration in force, or nil if there is none or its validity has expired.
func (a *Agent) Table() *routing.Table { return a.client.Table(a.clock.Now()) }

// LastTable returns the configuration that was last put in force, even if its validity has expired.
func (a *Agent) LastTable() *routing.Table { return a.client.table.Load() }

// OwnerRoundTrip returns how long the owner takes to answer; false if there is no session with a control box.
func (a *Agent) OwnerRoundTrip() (event.Duration, bool) {
	return a.client.OwnerRoundTrip(a.clock.Now())
}

// AwaitTable returns the configuration like Table. If the process has just started and has none yet, it
// waits for the first one, for startTimeout at most.
func (a *Agent) AwaitTable(ctx context.Context) *routing.Table {
	if t := a.Table(); t != nil || a.clock.Now() > event.Time(startTimeout) {
		return t
	}
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case <-a.client.firstTable:
	case <-timer.C:
	case <-ctx.Done():
	}
	return a.Table()
}

// Submit submits a request; s is its stream, nil if it can't be resumed. Its decision is sent on the returned channel.
func (a *Agent) Submit(m message.Submission, s *StreamRequest) <-chan Decision {
	decision := make(chan Decision, 1)
	w := &waiter{submission: m, stream: s, arrived: a.clock.Now(), decision: decision}
	a.input <- func(now event.Time) { a.client.submit(now, w) }
	return decision
}

// Withdraw withdraws a request whose decision is no longer awaited.
func (a *Agent) Withdraw(id event.RequestID) {
	a.input <- func(now event.Time) { a.client.withdraw(now, id) }
}

// Begin reports the beginning of the response to a granted request.
func (a *Agent) Begin(b event.Begun) {
	a.input <- func(now event.Time) { a.client.begin(now, b) }
}

// Finish reports that a granted request no longer uses its endpoint.
func (a *Agent) Finish(f message.Finish) {
	a.input <- func(now event.Time) { a.client.finish(now, f) }
}

// RecordTermination reports that an endpoint terminated while it ran a request.
func (a *Agent) RecordTermination(t poison.Termination) {
	a.input <- func(now event.Time) { a.client.recordTermination(now, t) }
}

// ObserveFeedback reports feedback received from an endpoint.
func (a *Agent) ObserveFeedback(r backpressure.Report) {
	a.input <- func(now event.Time) { a.client.observeFeedback(now, r) }
}

// AddControlBoxes adds link addresses of control boxes.
func (a *Agent) AddControlBoxes(control []string) {
	a.input <- func(event.Time) { a.client.AddControlBoxes(control) }
}

// Run runs the agent until ctx ends.
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
				a.client.SetReceivedBytes(id, c.BytesReceived())
			}
			a.client.Tick(a.clock.Now())
		}
		a.execute(a.client.TakeEffects())
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

// dial connects to a control box and passes its messages to the client until the connection ends.
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
		a.client.Connected(now, a.lastLink, address)
	}
	linkID := <-id
	var owner message.Peer
	conn.SetEncodings(owner.ClientEncodings())
	conn.SetMemory(a.received)
	err = conn.Serve(func(m *message.Envelope) {
		peerLevel := owner.FormatVersion()
		a.input <- func(now event.Time) {
			a.client.SetPeerFormatVersion(linkID, peerLevel)
			a.client.Received(now, linkID, m)
		}
	})
	a.input <- func(now event.Time) {
		delete(a.links, linkID)
		a.client.Disconnected(now, linkID, err)
	}
}
