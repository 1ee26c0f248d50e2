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

// parcel is a message that knows its size.
type parcel struct{ Data []byte }

// Size implements Sized.
func (p *parcel) Size() int { return len(p.Data) }

// servePipe serves a connection whose peer is the pipe's other end.
func servePipe[M any](t *testing.T, set func(*Conn[M])) (*Conn[M], net.Conn, chan error) {
	t.Helper()
	near, far := net.Pipe()
	c := newConn[M](near)
	set(c)
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(func(*M) {}) }()
	t.Cleanup(func() {
		c.Close()
		_ = far.Close()
	})
	return c, far, ended
}

// endsBy waits for a connection's end and compares its reason.
func endsBy(t *testing.T, ended chan error, want error) {
	t.Helper()
	select {
	case err := <-ended:
		if !errors.Is(err, want) {
			t.Errorf("the connection ended by %q, want %q", err, want)
		}
	case <-time.After(silence / 2): // sooner than by silence
		t.Errorf("the connection does not end by %q", want)
	}
}

// TestQueueIsBoundedByBytes: 4096 messages might wait for a peer, of 3 MB each: more than
// the memory of the box. A peer that takes nothing loses the connection by bytes as well.
func TestQueueIsBoundedByBytes(t *testing.T) {
	const size, most = 1 << 20, 16 << 20
	c, _, ended := servePipe(t, func(c *Conn[parcel]) { c.maxWaiting = most })
	data := make([]byte, size)
	sent := 0
	for ; sent < 2*most/size; sent++ {
		select {
		case <-c.done:
		default:
			c.Send(&parcel{data})
			continue
		}
		break
	}
	endsBy(t, ended, ErrSlowPeer)
	// One may be in the writer's hands, and one is taken when just as much waits as may.
	if sent < most/size || sent > most/size+3 {
		t.Errorf("the peer's connection ended with message %d, want about %d", sent, most/size)
	}
}

// TestLongMessageWaitsAlone: a message of more bytes than may wait still leaves when nothing
// waits before it.
func TestLongMessageWaitsAlone(t *testing.T) {
	c, far, ended := servePipe(t, func(c *Conn[parcel]) { c.maxWaiting = 1000 })
	c.Send(&parcel{make([]byte, 50_000)})
	f := new(frame[parcel])
	if err := gob.NewDecoder(far).Decode(f); err != nil || len(f.Message.Data) != 50_000 {
		t.Errorf("the message did not come: %v", err)
	}
	select {
	case err := <-ended:
		t.Errorf("the connection ended: %v", err)
	default:
	}
}

// TestTooLongMessageIsTold: whoever sends a message that can't arrive is told so, whether the
// message knows its size or not, and whoever is sent one takes no memory for it.
func TestTooLongMessageIsTold(t *testing.T) {
	const most = 10_000
	t.Run("by its own size", func(t *testing.T) {
		c, _, ended := servePipe(t, func(c *Conn[parcel]) { c.maxMessage = most })
		c.Send(&parcel{make([]byte, most+1)})
		endsBy(t, ended, ErrTooLong)
	})
	t.Run("by the bytes that it makes", func(t *testing.T) {
		c, far, ended := servePipe(t, func(c *Conn[note]) { c.maxMessage = most })
		go takeAll(far)
		c.Send(&note{Text: string(make([]byte, most+1))})
		endsBy(t, ended, ErrTooLong)
	})
	t.Run("by the peer's word", func(t *testing.T) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, far, ended := servePipe(t, func(c *Conn[note]) { c.maxMessage = MaxMessage })
		go takeAll(far)
		announced := []byte{0xfc, 0x7f, 0xff, 0xff, 0xff} // four bytes: 2 GB
		if _, err := far.Write(announced); err != nil {
			t.Fatal(err)
		}
		endsBy(t, ended, ErrTooLong)
		runtime.ReadMemStats(&after)
		if took := after.TotalAlloc - before.TotalAlloc; took > 4<<20 {
			t.Errorf("a word of the peer made this side take %d bytes", took)
		}
	})
	t.Run("by a length of too many bytes", func(t *testing.T) {
		_, far, ended := servePipe(t, func(*Conn[note]) {})
		go takeAll(far)
		if _, err := far.Write([]byte{0x80}); err != nil {
			t.Fatal(err)
		}
		endsBy(t, ended, ErrTooLong)
	})
}

// TestFramesPassInAnyPieces: the reader follows the format however the bytes come.
func TestFramesPassInAnyPieces(t *testing.T) {
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

// heldBy returns how many bytes of the heap are kept by what make returns.
func heldBy(make func() any) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // twice: what a pool has is dropped by the second
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// TestLongMessagesLeaveNoBuffers: an owner with 100 entries had sent each a document of 3 MB,
// and gob's encoders kept buffers of over 300 MB until the connections' end.
func TestLongMessagesLeaveNoBuffers(t *testing.T) {
	const entries, size = 100, 3 << 20
	long, short := &parcel{make([]byte, size)}, &parcel{make([]byte, 10)}
	held := heldBy(func() any {
		all := make([]*encoder, entries)
		for i := range all {
			all[i] = newEncoder(io.Discard, MaxMessage)
			for _, m := range []*parcel{short, long, short} {
				if err := all[i].encode(frame[parcel]{m}); err != nil {
					t.Fatal(err)
				}
			}
		}
		return all
	})
	t.Logf("%d encoders keep %d bytes", entries, held)
	if most := int64(entries * 2 * keptBuffer); held > most {
		t.Errorf("%d encoders keep %d bytes at rest, want %d at most", entries, held, most)
	}
	runtime.KeepAlive(long)
}
