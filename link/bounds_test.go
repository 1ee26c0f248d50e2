// SPDX-License-Identifier: MIT

package link

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
)

// sizedMessage is a message that implements Sized.
type sizedMessage struct{ Data []byte }

// Size implements Sized.
func (m *sizedMessage) Size() int { return len(m.Data) }

// servePipe serves a connection over a pipe and returns the peer's end of it.
func servePipe[M any](t *testing.T, configure func(*Conn[M])) (*Conn[M], net.Conn, chan error) {
	t.Helper()
	local, remote := net.Pipe()
	c := newConn[M](local)
	configure(c)
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(func(*M) {}) }()
	t.Cleanup(func() {
		c.Close()
		_ = remote.Close()
	})
	return c, remote, ended
}

// expectEnd waits until a connection ends and compares the reason with want.
func expectEnd(t *testing.T, ended chan error, want error) {
	t.Helper()
	select {
	case err := <-ended:
		if !errors.Is(err, want) {
			t.Errorf("the connection ended with %q, want %q", err, want)
		}
	case <-time.After(idleTimeout / 2): // before the idle timeout would apply
		t.Errorf("the connection does not end with %q", want)
	}
}

// TestSlowPeerExceedsQueueBytes guards against a queue that is bounded only by the number of
// messages: large messages for a peer that reads nothing would exhaust memory.
func TestSlowPeerExceedsQueueBytes(t *testing.T) {
	const size, limit = 1 << 20, 16 << 20
	c, _, ended := servePipe(t, func(c *Conn[sizedMessage]) { c.maxQueued = limit })
	data := make([]byte, size)
	sent := 0
	for ; sent < 2*limit/size; sent++ {
		select {
		case <-c.done:
		default:
			c.Send(&sizedMessage{data})
			continue
		}
		break
	}
	expectEnd(t, ended, ErrSlowPeer)
	// The writer may hold one more, and one more is accepted when the queue is exactly at its bound.
	if sent < limit/size || sent > limit/size+3 {
		t.Errorf("the connection ended at message %d, want about %d", sent, limit/size)
	}
}

// TestMessageLongerThanQueueBound guards against refusing a message that exceeds the queue's
// bound on its own: it is sent if the queue is empty.
func TestMessageLongerThanQueueBound(t *testing.T) {
	c, remote, ended := servePipe(t, func(c *Conn[sizedMessage]) { c.maxQueued = 1000 })
	c.Send(&sizedMessage{make([]byte, 50_000)})
	f := new(frame[sizedMessage])
	if err := gob.NewDecoder(remote).Decode(f); err != nil || len(f.Message.Data) != 50_000 {
		t.Errorf("the message was not received: %v", err)
	}
	select {
	case err := <-ended:
		t.Errorf("the connection ended: %v", err)
	default:
	}
}

// TestTooLongMessageClosesConnection guards against dropping a too long message silently, of
// known or unknown size, and against allocating memory for an announced length.
func TestTooLongMessageClosesConnection(t *testing.T) {
	const limit = 10_000
	t.Run("size known before encoding", func(t *testing.T) {
		c, _, ended := servePipe(t, func(c *Conn[sizedMessage]) { c.maxMessage = limit })
		c.Send(&sizedMessage{make([]byte, limit+1)})
		expectEnd(t, ended, ErrTooLong)
	})
	t.Run("size known after encoding", func(t *testing.T) {
		c, remote, ended := servePipe(t, func(c *Conn[note]) { c.maxMessage = limit })
		go discardAll(remote)
		c.Send(&note{Text: string(make([]byte, limit+1))})
		expectEnd(t, ended, ErrTooLong)
	})
	t.Run("length announced by the peer", func(t *testing.T) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, remote, ended := servePipe(t, func(c *Conn[note]) { c.maxMessage = MaxMessage })
		go discardAll(remote)
		announced := []byte{0xfc, 0x7f, 0xff, 0xff, 0xff} // four bytes: 2 GB
		if _, err := remote.Write(announced); err != nil {
			t.Fatal(err)
		}
		expectEnd(t, ended, ErrTooLong)
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 4<<20 {
			t.Errorf("an announced length allocated %d bytes", allocated)
		}
	})
	t.Run("length encoded in too many bytes", func(t *testing.T) {
		_, remote, ended := servePipe(t, func(*Conn[note]) {})
		go discardAll(remote)
		if _, err := remote.Write([]byte{0x80}); err != nil {
			t.Fatal(err)
		}
		expectEnd(t, ended, ErrTooLong)
	})
}

// TestFrameReaderWithPartialReads guards against a reader that misses the start of a message when
// the bytes arrive in small pieces.
func TestFrameReaderWithPartialReads(t *testing.T) {
	var wire bytes.Buffer
	out := newEncoder(&wire, MaxMessage)
	sizes := []int{0, 1, 100, 127, 128, 129, 255, 256, 70_000, 3, 300_000, 5}
	for _, n := range sizes {
		if err := out.encode(frame[note]{&note{strings.Repeat("x", n)}}); err != nil {
			t.Fatal(err)
		}
	}
	for name, in := range map[string]io.Reader{
		"whole": bytes.NewReader(wire.Bytes()), "one": iotest.OneByteReader(bytes.NewReader(wire.Bytes())),
		"half": iotest.HalfReader(bytes.NewReader(wire.Bytes())),
	} {
		d := gob.NewDecoder(&frameReader{in: bufio.NewReader(in), limit: 300_100})
		for i, n := range sizes {
			f := new(frame[note])
			if err := d.Decode(f); err != nil || len(f.Message.Text) != n {
				t.Fatalf("%s: message %d: %v, %d bytes, want %d", name, i, err, len(f.Message.Text), n)
			}
		}
		if err := d.Decode(new(frame[note])); err != io.EOF {
			t.Errorf("%s: after the last: %v", name, err)
		}
	}
}

// heapRetained returns how many bytes of the heap are retained by the result of make.
func heapRetained(make func() any) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // twice: a sync.Pool is emptied by the second cycle
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// TestEncoderReleasesLargeBuffers guards against encoders that keep a buffer as large as the
// longest message for as long as the connection lasts.
func TestEncoderReleasesLargeBuffers(t *testing.T) {
	const entries, size = 100, 3 << 20
	long, short := &sizedMessage{make([]byte, size)}, &sizedMessage{make([]byte, 10)}
	held := heapRetained(func() any {
		all := make([]*encoder, entries)
		for i := range all {
			all[i] = newEncoder(io.Discard, MaxMessage)
			for _, m := range []*sizedMessage{short, long, short} {
				if err := all[i].encode(frame[sizedMessage]{m}); err != nil {
					t.Fatal(err)
				}
			}
		}
		return all
	})
	t.Logf("%d encoders retain %d bytes", entries, held)
	if limit := int64(entries * 2 * maxKeptBuffer); held > limit {
		t.Errorf("%d idle encoders retain %d bytes, want %d at most", entries, held, limit)
	}
	runtime.KeepAlive(long)
}

// heapNow returns the bytes of the heap in use.
func heapNow() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
