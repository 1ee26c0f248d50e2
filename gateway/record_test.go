// SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lynxramp.org/event"
)

// TestEachFailureIsLogged: in a burst in which an entry refuses 200 requests at once, each has a
// line that tells its end, and the first ones all their steps. Of those that do well the same
// part is told whatever the load, by their ids.
func TestEachFailureIsLogged(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	g := New(Config{Log: zap.New(core)})
	const refused, served = 200, 4800
	ended := make(map[string]bool)
	record := func(id string, failed bool) {
		c := &call{gateway: g, callerID: id, id: event.RequestID("e-" + id)}
		for _, name := range []string{stepAdmitted, stepRefused, stepEnded} {
			c.addStep(name, zap.Int("status", 503))
		}
		c.record.failed = failed
		c.logSteps()
	}
	for i := range refused {
		record(fmt.Sprintf("refused-%d", i), true)
	}
	whole := 0
	for _, l := range lines.TakeAll() {
		fields := l.ContextMap()
		switch l.Message {
		case stepEnded:
			ended[fields["request"].(string)] = true
			if fields["status"] != int64(503) {
				t.Errorf("%v does not tell its status", fields)
			}
		case stepAdmitted:
			whole++
		}
	}
	if len(ended) != refused || whole != failedLines/3 {
		t.Errorf("%d of %d have a line on their end, %d all steps, want %d", len(ended), refused, whole, failedLines/3)
	}
	chosen := 0
	for i := range served {
		if isSampled(fmt.Sprintf("served-%d", i)) {
			chosen++
		}
	}
	if want := served / sampleDivisor; chosen < want*2/3 || chosen > want*3/2 {
		t.Errorf("%d of %d that did well have lines, want some %d", chosen, served, want)
	}
}
