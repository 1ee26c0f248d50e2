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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
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
