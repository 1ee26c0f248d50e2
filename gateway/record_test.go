// SPDX-License-Identifier: MIT

package gateway

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lynxramp.org/event"
)

// TestEachFailureIsLogged: in a burst each refused request has a line with its end, and the first ones have all
// steps. A constant fraction of successful requests is logged, selected by ID.
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
	complete := 0
	for _, l := range lines.TakeAll() {
		fields := l.ContextMap()
		switch l.Message {
		case stepEnded:
			ended[fields["request"].(string)] = true
			if fields["status"] != int64(503) {
				t.Errorf("the line %v has the wrong status", fields)
			}
		case stepAdmitted:
			complete++
		}
	}
	if len(ended) != refused || complete != failedLines/3 {
		t.Errorf("%d of %d have a line with their end, %d have all steps, want %d", len(ended), refused, complete, failedLines/3)
	}
	sampled := 0
	for i := range served {
		if isSampled(fmt.Sprintf("served-%d", i)) {
			sampled++
		}
	}
	if want := served / sampleDivisor; sampled < want*2/3 || sampled > want*3/2 {
		t.Errorf("%d of %d successful requests are logged, want about %d", sampled, served, want)
	}
}

// TestLateLongResponseIsLogged guards against a response that is too long to be buffered, is late and has no line in the log.
func TestLateLongResponseIsLogged(t *testing.T) {
	for name, held := range map[string]*HeldMemory{"without an account of held memory": nil, "with one": heldLimits()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := newFakeEndpoint(t, func(c net.Conn, q *http.Request) bool {
				time.Sleep(1100 * time.Millisecond) // the route's target is 1 s
				const length = 2 * maxBufferedResponse
				fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head(q, 200, ""), length)
				_, _ = c.Write(bytes.Repeat([]byte("x"), length))
				return true
			})
			r := newConfiguredGateway(t, event.NewClock(), testTable(1, "key"), held, endpoint)
			core, lines := observer.New(zap.InfoLevel)
			r.gateway.log = zap.New(core)
			if status, body, _ := r.do(t, r.request("POST", "/once/x", "q")); status != 200 || len(body) != 2*maxBufferedResponse {
				t.Fatalf("status %d and %d bytes", status, len(body))
			}
			waitFor(t, "the request is logged", func() bool { return lines.FilterMessage(stepEnded).Len() > 0 })
			if status := lines.FilterMessage(stepEnded).All()[0].ContextMap()["status"]; status != int64(200) {
				t.Errorf("the line has status %v", status)
			}
		})
	}
}
