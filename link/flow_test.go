// SPDX-License-Identifier: MIT

package link

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestBytesAreCounted: an entry lost its owner in the middle of a large message, and its
// log could not say whether anything had come. Both sides count, a part of a message too.
func TestBytesAreCounted(t *testing.T) {
	const size = 100_000
	near, far := net.Pipe()
	c := newConn[note](near)
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(func(*note) {}) }()
	c.Send(&note{Text: string(make([]byte, size))})
	got := 0
	reader := bufio.NewReader(far)
	for got < size {
		n, err := reader.Read(make([]byte, 1000))
		if err != nil {
			t.Fatal(err)
		}
		got += n
	}
	// The beginning of a message that never ends: a length, and a part of what it counts.
	part := append([]byte{0xfd, 1, 0, 0}, make([]byte, 5000)...)
	if _, err := far.Write(part); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); c.BytesReceived() < int64(len(part)) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	// A write is counted when it has returned: when the rest of the message is read too.
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	for end := time.Now().Add(time.Second); c.Sent() < size && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	_ = far.Close()
	<-ended
	if c.Sent() < size || c.Sent() > size+1000 {
		t.Errorf("%d bytes are counted as sent, want %d and a little", c.Sent(), size)
	}
	if c.BytesReceived() != int64(len(part)) {
		t.Errorf("%d bytes are counted as received, want %d", c.BytesReceived(), len(part))
	}
}
