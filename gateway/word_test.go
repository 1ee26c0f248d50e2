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

// maxSessionMessage bounds a message at a session's beginning, in bytes: 26 ms of a link of 1.25 MB/s.
const maxSessionMessage = 32 << 10

// manyRunning is as many requests as an entry may hold.
const manyRunning = maxInFlight

// newBusyClient returns a client that has many requests running and holds many accounts.
func newBusyClient() *OwnerClient {
	a := NewOwnerClient(ClientConfig{Entry: "entry", Control: []string{"box"}, Fresh: 5 * event.Second, Log: zap.NewNop()})
	a.Dialed(0, 1, "box")
	lent := budget.Lent{Number: 1, Whole: true}
	for i := range manyRunning {
		lent.UpTo = append(lent.UpTo, budget.Holding{Account: budget.Team(fmt.Sprintf("team-%05d", i)), UpTo: 100})
	}
	a.Received(0, 1, &message.Envelope{Pong: &message.Pong{Lent: lent}})
	for i := range manyRunning {
		id := event.RequestID(fmt.Sprintf("10.0.3.7-4f2a-%x", i))
		t := event.Ticket{
			ID: id, Team: fmt.Sprintf("team-%05d", i), Service: "s", Pool: "s", Deadline: 5 * event.Second, Target: event.Second,
			OutputTokens: 200, PromptTokens: 900, Prefix: make([]uint64, 16),
		}
		a.Submit(0, message.Submission{Ticket: t, Quota: 1}, make(chan Decision, 1))
		a.Received(0, 1, &message.Envelope{Decisions: &message.Decisions{Grants: []event.Granted{{ID: id, Endpoint: "endpoint"}}}})
	}
	a.Take()
	return a
}

// TestSessionStartMessagesAreBounded: an entry told a new owner all its requests, each with all that was
// said of it, and all accounts before its first question: 2,000 of each are 216 kB, 0.17 s of its link,
// and an owner that is silent for 0.5 s is left for another one, which is told anew.
func TestSessionStartMessagesAreBounded(t *testing.T) {
	a := newBusyClient()
	a.Lost(0, 1, nil)
	a.Dialed(0, 2, "box")
	running, held := make(map[event.RequestID]bool), make(map[budget.Account]bool)
	now := event.Time(0)
	for range 40 {
		for _, s := range a.Take().Sends {
			var data bytes.Buffer
			if err := gob.NewEncoder(&data).Encode(s.Message); err != nil {
				t.Fatal(err)
			}
			if data.Len() > maxSessionMessage+8<<10 { // the types go with the first one alone
				t.Fatalf("a message of %d bytes at the beginning of a session, want %d at the most", data.Len(), maxSessionMessage)
			}
			note(s.Message, running, held)
		}
		now = now.Add(pingInterval)
		a.Received(now, 2, &message.Envelope{Pong: &message.Pong{Lent: budget.Lent{Whole: true}}})
		a.Tick(now)
	}
	if len(running) != manyRunning || len(held) != manyRunning {
		t.Errorf("told %d requests and %d accounts, want %d of each", len(running), len(held), manyRunning)
	}
}

// note takes note of what a message tells.
func note(m *message.Envelope, running map[event.RequestID]bool, held map[budget.Account]bool) {
	var requests []message.Running
	var accounts []budget.Holding
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

// TestFinishedRequestIsNotReported: of a request that ends before its turn to be told comes the owner
// hears nothing more.
func TestFinishedRequestIsNotReported(t *testing.T) {
	a := newBusyClient()
	a.Lost(0, 1, nil)
	a.Dialed(0, 2, "box")
	running := make(map[event.RequestID]bool)
	for _, s := range a.Take().Sends {
		note(s.Message, running, make(map[budget.Account]bool))
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
		for _, s := range a.Take().Sends {
			note(s.Message, running, make(map[budget.Account]bool))
		}
	}
	if running[ended] || len(running) != manyRunning-1 {
		t.Errorf("told %d requests, the ended one among them: %v", len(running), running[ended])
	}
}

// TestWaitingRequestsAreBounded: an entry handed all requests that waited for an owner to the
// one that it found in one message, in front of its next question. Each is told once.
func TestWaitingRequestsAreBounded(t *testing.T) {
	a := NewOwnerClient(ClientConfig{Entry: "entry", Control: []string{"box"}, Fresh: 5 * event.Second, Log: zap.NewNop()})
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
	a.Dialed(0, 1, "box")
	a.Take()
	told := make(map[event.RequestID]int)
	last := event.RequestID("")
	for now := event.Time(0); now < event.Time(60*pingInterval) && len(told) < manyRunning; now = now.Add(pingInterval) {
		a.Received(now, 1, &message.Envelope{Pong: &message.Pong{}})
		for _, s := range a.Take().Sends {
			var data bytes.Buffer
			if err := gob.NewEncoder(&data).Encode(s.Message); err != nil {
				t.Fatal(err)
			}
			if data.Len() > maxSessionMessage+8<<10 { // the types go with the first one alone
				t.Fatalf("a message of %d bytes when an owner is found, want %d at the most", data.Len(), maxSessionMessage)
			}
			if s.Message.Batch == nil {
				continue
			}
			for _, one := range s.Message.Batch.Submit {
				if told[one.Ticket.ID]++; len(one.Ticket.ID) == len(last) && one.Ticket.ID < last {
					t.Fatalf("%s is told after %s, which came later", one.Ticket.ID, last)
				}
				last = one.Ticket.ID
			}
		}
	}
	for id, n := range told {
		if n != 1 {
			t.Errorf("%s is told %d times", id, n)
		}
	}
	if len(told) != manyRunning {
		t.Errorf("%d of %d waiting requests are told", len(told), manyRunning)
	}
}
