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

// TestViewWithoutRootIsIgnored: an owner of the version before names a configuration's version in a
// View and has no tree; its Root is zero. Fetch takes the zero Sum for a tree of which nothing is
// missing, and the entry's process ends in assembling it.
func TestViewWithoutRootIsIgnored(t *testing.T) {
	a := NewOwnerClient(ClientConfig{Entry: "entry", Control: []string{"box"}, Fresh: 5 * event.Second, Log: zap.NewNop()})
	a.Dialed(0, 1, "box")
	defer func() {
		if r := recover(); r != nil {
			t.Errorf("the entry's process ends: %v", r)
		}
	}()
	a.Received(0, 1, &message.Envelope{View: &message.View{Version: 3}})
}

// TestWaitingRequestsAreSplit: an entry of 4,100 descriptors holds 1,850 requests that wait
// when it finds its owner. It hands all of them over in one message, 247 kB: 0.2 s of an idle link of
// 1.25 MB/s, in front of its next question. Where callers' answers have three quarters of that link it
// takes 0.8 s; the entry takes the owner that did not answer for 0.5 s for lost, and hands all over anew
// on the next connection.
func TestWaitingRequestsAreSplit(t *testing.T) {
	const held, most = 1850, 64 << 10 // 52 ms of the link
	a := NewOwnerClient(ClientConfig{Entry: "entry", Control: []string{"box"}, Fresh: 5 * event.Second, Log: zap.NewNop()})
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
	a.Dialed(0, 1, "box")
	a.Take()
	a.Received(0, 1, &message.Envelope{Pong: &message.Pong{Entries: 1}})
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	for _, one := range a.Take().Sends {
		if one.Message.Ping != nil {
			break
		}
		if err := encoder.Encode(one.Message); err != nil {
			t.Fatal(err)
		}
	}
	if wire.Len() > most {
		t.Errorf("%d bytes go in front of the next question, want %d at the most", wire.Len(), most)
	}
}
