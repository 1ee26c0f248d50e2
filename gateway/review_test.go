// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"

	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/message"
)

// TestViewWithoutARootEndsNoEntry: an owner of the version before names a configuration's version in a
// View and has no tree; its Root is zero. Fetch takes the zero Sum for a tree of which nothing is
// missing, and the entry's process ends in assembling it.
func TestViewWithoutARootEndsNoEntry(t *testing.T) {
	a := NewOwnerClient(ClientConfig{Entry: "entry", Control: []string{"box"}, Fresh: 5 * event.Second, Log: zap.NewNop()})
	a.Dialed(0, 1, "box")
	defer func() {
		if r := recover(); r != nil {
			t.Errorf("the entry's process ends: %v", r)
		}
	}()
	a.Received(0, 1, &message.Envelope{View: &message.View{Version: 3}})
}
