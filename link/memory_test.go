// SPDX-License-Identifier: MIT

package link

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestAnnouncedMessagesTogetherAreBounded guards against peers that announce long messages, each within the limit, for
// which memory is taken before their bytes arrive, and against a message that is refused for good.
func TestAnnouncedMessagesTogetherAreBounded(t *testing.T) {
	const peers, length, limit = 30, 9 << 20, 20 << 20
	memory := NewMemory(limit)
	ended := make(chan error, peers)
	l, err := Listen("127.0.0.1:0", func(c *Conn[note]) {
		c.SetMemory(memory)
		ended <- c.Serve(func(*note) {})
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	before := heapNow()
	var conns []net.Conn
	for range peers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		if err := newEncoder(c, MaxMessage).encode(frame[note]{&note{"first"}}); err != nil {
			t.Fatal(err)
		}
		// A length of four bytes, and the first byte of the message.
		if _, err := c.Write(append(binary.BigEndian.AppendUint32([]byte{0xfc}, length), 1)); err != nil {
			t.Fatal(err)
		}
	}
	refused := 0
	for range peers - 2 {
		if err := <-ended; errors.Is(err, ErrNoMemory) {
			refused++
		}
	}
	if refused != peers-2 {
		t.Errorf("%d of %d messages were refused, want all but two", refused, peers)
	}
	if grew := heapNow() - before; grew > limit+peers*100<<10 {
		t.Errorf("the heap grew by %d bytes, want %d at most", grew, limit)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	for range 2 {
		<-ended
	}
	if used := memory.used.Load(); used != 0 {
		t.Errorf("%d bytes are held at the end", used)
	}
	received := make(chan int, 1)
	one, other := net.Pipe()
	c := newConn[note](other)
	c.SetMemory(NewMemory(1 << 20))
	go func() { _ = c.Serve(func(m *note) { received <- len(m.Text) }) }()
	go func() { _, _ = io.Copy(io.Discard, one) }()
	go func() { _ = newEncoder(one, MaxMessage).encode(frame[note]{&note{strings.Repeat("x", 2<<20)}}) }()
	select {
	case n := <-received:
		if n != 2<<20 {
			t.Errorf("%d bytes were received", n)
		}
	case <-time.After(5 * time.Second):
		t.Error("a message longer than the limit was not received beside no other")
	}
	c.Close()
}
