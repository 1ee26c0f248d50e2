// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// TestConfigurationDocumentIsApplied: an upgraded entry must accept the configuration as one document, from an
// owner that is not upgraded yet.
func TestConfigurationDocumentIsApplied(t *testing.T) {
	a := NewOwnerClient(ClientConfig{Entry: "entry", ControlAddresses: []string{"box"}, Log: zap.NewNop(), Decode: func(data []byte) (*routing.Table, error) {
		if string(data) == "bad" {
			return nil, errors.New("bad")
		}
		table := &routing.Table{Version: uint64(data[0] - '0')}
		table.Index()
		return table, nil
	}})
	a.Connected(0, 1, "box")
	for _, one := range []struct {
		document string
		version  uint64
		want     uint64
	}{{"2", 2, 2}, {"1", 1, 2}, {"bad", 3, 2}, {"4", 4, 4}} {
		a.Received(0, 1, &message.Envelope{View: &message.View{Version: one.version, Document: []byte(one.document)}})
		if got := a.version(); got != one.want {
			t.Errorf("after %q: version %d is in force, want %d", one.document, got, one.want)
		}
	}
}
