// SPDX-License-Identifier: MIT

package gateway

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/message"
)

// maxSessionMessage limits the messages at the start of a session, in bytes: 26 ms on a link of 1.25 MB/s.
const maxSessionMessage = 32 << 10

// manyRunning is the most requests that an entry may hold.
const manyRunning = maxInFlight

// newBusyClient returns a client with many running requests and many leases.
func newBusyClient() *OwnerClient {
	a := NewOwnerClient(ClientConfig{Entry: "entry", ControlAddresses: []string{"box"}, ConfigValidity: 5 * event.Second, Log: zap.NewNop()})
	a.Connected(0, 1, "box")
	update := budget.LeaseUpdate{Number: 1, Whole: true}
	for i := range manyRunning {
		update.UpTo = append(update.UpTo, budget.Lease{Account: budget.Team(fmt.Sprintf("team-%05d", i)), UpTo: 100})
	}
	a.Received(0, 1, &message.Envelope{Pong: &message.Pong{Lent: update}})
	for i := range manyRunning {
		id := event.RequestID(fmt.Sprintf("10.0.3.7-4f2a-%x", i))
		t := event.Ticket{
			ID: id, Team: fmt.Sprintf("team-%05d", i), Service: "s", Pool: "s", Deadline: 5 * event.Second, Target: event.Second,
			OutputTokens: 200, PromptTokens: 900, Prefix: make([]uint64, 16),
		}
		a.Submit(0, message.Submission{Ticket: t, Quota: 1}, make(chan Decision, 1))
		a.Received(0, 1, &message.Envelope{Decisions: &message.Decisions{Grants: []event.Granted{{ID: id, Endpoint: "endpoint"}}}})
	}
	a.TakeEffects()
	return a
}

// TestSessionStartMessagesAreBounded guards against a hello with all running requests and leases in one message:
// it would delay the reply to the first ping beyond ownerTimeout.
func TestSessionStartMessagesAreBounded(t *testing.T) {
	a := newBusyClient()
	a.Disconnected(0, 1, nil)
	a.Connected(0, 2, "box")
	running, held := make(map[event.RequestID]bool), make(map[budget.Account]bool)
	now := event.Time(0)
	for range 40 {
		for _, s := range a.TakeEffects().Sends {
			var data bytes.Buffer
			if err := gob.NewEncoder(&data).Encode(s.Message); err != nil {
				t.Fatal(err)
			}
			if data.Len() > maxSessionMessage+8<<10 { // 8 kB for type definitions, which gob sends once a connection
				t.Fatalf("a message of %d bytes at the start of a session, want %d at the most", data.Len(), maxSessionMessage)
			}
			addReported(s.Message, running, held)
		}
		now = now.Add(pingInterval)
		a.Received(now, 2, &message.Envelope{Pong: &message.Pong{Lent: budget.LeaseUpdate{Whole: true}}})
		a.Tick(now)
	}
	if len(running) != manyRunning || len(held) != manyRunning {
		t.Errorf("reported %d requests and %d accounts, want %d of each", len(running), len(held), manyRunning)
	}
}

// addReported adds the requests and accounts in a message to running and held.
func addReported(m *message.Envelope, running map[event.RequestID]bool, held map[budget.Account]bool) {
	var requests []message.Running
	var accounts []budget.Lease
	switch {
	case m.Hello != nil:
		requests, accounts = m.Hello.Running, m.Hello.Held
	case m.Ping != nil:
		requests, accounts = m.Ping.Running, m.Ping.Spent
	}
	for _, r := range requests {
		running[r.Ticket.ID] = true
	}
	for _, one := range accounts {
		held[one.Account] = true
	}
}

// TestFinishedRequestIsNotReported: a request that finishes before it was reported to a new owner is never
// reported.
func TestFinishedRequestIsNotReported(t *testing.T) {
	a := newBusyClient()
	a.Disconnected(0, 1, nil)
	a.Connected(0, 2, "box")
	running := make(map[event.RequestID]bool)
	for _, s := range a.TakeEffects().Sends {
		addReported(s.Message, running, make(map[budget.Account]bool))
	}
	var ended event.RequestID
	for id := range a.running {
		if !running[id] {
			ended = id
			break
		}
	}
	a.Finish(0, message.Finish{Finished: event.Finished{ID: ended, Pool: "s"}, Endpoint: "endpoint"})
	for now := event.Time(pingInterval); now < event.Time(40*pingInterval); now = now.Add(pingInterval) {
		a.Received(now, 2, &message.Envelope{Pong: &message.Pong{}})
		a.Tick(now)
		for _, s := range a.TakeEffects().Sends {
			addReported(s.Message, running, make(map[budget.Account]bool))
		}
	}
	if running[ended] || len(running) != manyRunning-1 {
		t.Errorf("reported %d requests, the finished one among them: %v; want all but that", len(running), running[ended])
	}
}

// TestWaitingRequestsAreSubmittedOnceInOrder: all waiting requests are submitted to a new owner once, in order, and in
// messages of bounded size.
func TestWaitingRequestsAreSubmittedOnceInOrder(t *testing.T) {
	a := NewOwnerClient(ClientConfig{Entry: "entry", ControlAddresses: []string{"box"}, ConfigValidity: 5 * event.Second, Log: zap.NewNop()})
	for i := range manyRunning {
		t := event.Ticket{
			ID: event.RequestID(fmt.Sprintf("10.0.3.7-4f2a-%x", i)), Team: "team", Service: "s", Pool: "s", Deadline: 5 * event.Second,
			Target: event.Second, OutputTokens: 200, PromptTokens: 900,
		}
		for j := range 16 {
			t.Prefix = append(t.Prefix, uint64(i*7919+j)*2654435761)
		}
		a.Submit(0, message.Submission{Ticket: t, Quota: 1}, make(chan Decision, 1))
	}
	a.Connected(0, 1, "box")
	a.TakeEffects()
	submitted := make(map[event.RequestID]int)
	last := event.RequestID("")
	for now := event.Time(0); now < event.Time(60*pingInterval) && len(submitted) < manyRunning; now = now.Add(pingInterval) {
		a.Received(now, 1, &message.Envelope{Pong: &message.Pong{}})
		for _, s := range a.TakeEffects().Sends {
			var data bytes.Buffer
			if err := gob.NewEncoder(&data).Encode(s.Message); err != nil {
				t.Fatal(err)
			}
			if data.Len() > maxSessionMessage+8<<10 { // 8 kB for type definitions, which gob sends once a connection
				t.Fatalf("a message of %d bytes when an owner was found, want %d at the most", data.Len(), maxSessionMessage)
			}
			if s.Message.Batch == nil {
				continue
			}
			for _, one := range s.Message.Batch.Submit {
				if submitted[one.Ticket.ID]++; len(one.Ticket.ID) == len(last) && one.Ticket.ID < last {
					t.Fatalf("%s is submitted after %s, which arrived later", one.Ticket.ID, last)
				}
				last = one.Ticket.ID
			}
		}
	}
	for id, n := range submitted {
		if n != 1 {
			t.Errorf("%s is submitted %d times", id, n)
		}
	}
	if len(submitted) != manyRunning {
		t.Errorf("%d of %d waiting requests are submitted", len(submitted), manyRunning)
	}
}
