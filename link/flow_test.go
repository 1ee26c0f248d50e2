// SPDX-License-Identifier: MIT

package link

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestByteCounters guards against counters that leave out an unfinished message: they show
// whether any bytes were transferred before a connection broke.
func TestByteCounters(t *testing.T) {
	const size = 100_000
	local, remote := net.Pipe()
	c := newConn[note](local)
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(func(*note) {}) }()
	c.Send(&note{Text: string(make([]byte, size))})
	consumed := 0
	reader := bufio.NewReader(remote)
	for consumed < size {
		n, err := reader.Read(make([]byte, 1000))
		if err != nil {
			t.Fatal(err)
		}
		consumed += n
	}
	// An unfinished message: a length and a part of its content.
	part := append([]byte{0xfd, 1, 0, 0}, make([]byte, 5000)...)
	if _, err := remote.Write(part); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); c.BytesReceived() < int64(len(part)) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	// A write is counted when it returns, which needs the rest of the message to be read.
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	for end := time.Now().Add(time.Second); c.BytesSent() < size && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	_ = remote.Close()
	<-ended
	if c.BytesSent() < size || c.BytesSent() > size+1000 {
		t.Errorf("%d bytes are counted as sent, want between %d and 1000 more", c.BytesSent(), size)
	}
	if c.BytesReceived() != int64(len(part)) {
		t.Errorf("%d bytes are counted as received, want %d", c.BytesReceived(), len(part))
	}
}
