// SPDX-License-Identifier: MIT

package gateway

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/message"
)

// TestViewWithoutRootIsIgnored guards against a panic on a View without a root hash, which an owner of the previous
// version sends. Fetcher takes a zero Sum for a complete tree.
func TestViewWithoutRootIsIgnored(t *testing.T) {
	a := NewOwnerClient(ClientConfig{Entry: "entry", ControlAddresses: []string{"box"}, ConfigValidity: 5 * event.Second, Log: zap.NewNop()})
	a.Connected(0, 1, "box")
	defer func() {
		if r := recover(); r != nil {
			t.Errorf("panic: %v", r)
		}
	}()
	a.Received(0, 1, &message.Envelope{View: &message.View{Version: 3}})
}

// TestWaitingRequestsAreSplit guards against submitting all waiting requests to a new owner in one message: the
// reply to the next ping could arrive after ownerTimeout, and the entry would reconnect and submit them again.
func TestWaitingRequestsAreSplit(t *testing.T) {
	const held, most = 1850, 64 << 10 // 52 ms on a link of 1.25 MB/s
	a := NewOwnerClient(ClientConfig{Entry: "entry", ControlAddresses: []string{"box"}, ConfigValidity: 5 * event.Second, Log: zap.NewNop()})
	for i := range held {
		a.Submit(0, message.Submission{
			Ticket: event.Ticket{
				ID: event.RequestID(fmt.Sprintf("entry-a1b2c3d4e5f6-%09d", i)), Team: "team0a1b2c3d4e5", Rank: -2,
				Service: "chat-large-ab12", Pool: "chat-large-ab12", Deadline: 12 * event.Second, Target: event.Second,
				Patience: 3 * event.Second, DataCentre: "sidi-maarouf", PromptTokens: 1200, OutputTokens: 256,
			},
			Quota: 1200,
		}, make(chan Decision, 1))
	}
	a.Connected(0, 1, "box")
	a.TakeEffects()
	a.Received(0, 1, &message.Envelope{Pong: &message.Pong{Entries: 1}})
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	for _, s := range a.TakeEffects().Sends {
		if s.Message.Ping != nil {
			break
		}
		if err := encoder.Encode(s.Message); err != nil {
			t.Fatal(err)
		}
	}
	if wire.Len() > most {
		t.Errorf("%d bytes are sent before the next ping, want at most %d", wire.Len(), most)
	}
}
