// SPDX-License-Identifier: MIT

package overload

import (
	"io"
	"net"
	"testing"
	"time"

	"lynxramp.org/event"
)

// TestSinceReceived: bytes that wait in the kernel show for how long, and those that just arrived don't.
func TestSinceReceived(t *testing.T) {
	caller, c := newConnection(t)
	const pause = 200 * time.Millisecond
	for _, waits := range []time.Duration{0, pause} {
		time.Sleep(pause) // what came before must not count
		sent := time.Now()
		if _, err := io.WriteString(caller, "request"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(waits)
		if _, err := io.ReadFull(c, make([]byte, len("request"))); err != nil {
			t.Fatal(err)
		}
		d, ok := SinceReceived(c.(*net.TCPConn))
		least, most := event.Duration(waits)-20*ms, event.Duration(time.Since(sent))+20*ms
		if !ok || d < least || d > most {
			t.Errorf("received %v ago, %v; sent %v ago, read after %v", time.Duration(d), ok, time.Since(sent), waits)
		}
	}
	_ = c.Close()
	if _, ok := SinceReceived(c.(*net.TCPConn)); ok {
		t.Error("a closed connection tells when it received bytes")
	}
}
