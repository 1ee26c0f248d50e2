// SPDX-License-Identifier: MIT

package link

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"net"
	"testing"
	"time"
)

// A link of an entry carries so many bytes a second, and a message may have any size: a
// time-out for the whole message ended each connection in the middle of a document of
// 3 MB, the next connection began it anew, and it never arrived. These tests slow the
// connection down instead of making the message large.

const (
	// slowTime is how long a message takes that must arrive: well over silence.
	slowTime = 4 * time.Second
	slowStep = 50 * time.Millisecond
	slowSize = 200_000 // bytes
)

// encoded returns a message as it goes over the wire.
func encoded(t *testing.T, m *note) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(frame[note]{m}); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// takeAll reads what a connection's writer says, until the end.
func takeAll(c net.Conn) {
	for b := make([]byte, 4096); ; {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

// sayAlive sends what a peer without messages sends, until the end.
func sayAlive(c net.Conn) {
	for out := gob.NewEncoder(c); out.Encode(frame[note]{}) == nil; {
		time.Sleep(keepalive)
	}
}

func TestSlowMessageArrives(t *testing.T) {
	near, far := net.Pipe()
	c := newConn[note](near)
	defer c.Close()
	came := make(chan int, 1)
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(func(m *note) { came <- len(m.Text) }) }()
	go takeAll(far)
	go func() {
		data := encoded(t, &note{Text: string(make([]byte, slowSize))})
		piece := len(data)/int(slowTime/slowStep) + 1
		for len(data) > 0 {
			n, err := far.Write(data[:min(piece, len(data))])
			if err != nil {
				return
			}
			data = data[n:]
			time.Sleep(slowStep)
		}
	}()
	select {
	case n := <-came:
		if n != slowSize {
			t.Errorf("%d bytes came, want %d", n, slowSize)
		}
	case err := <-ended:
		t.Errorf("the connection ended while bytes came: %v", err)
	case <-time.After(3 * slowTime):
		t.Error("the message did not come")
	}
}

func TestSlowTakerKeepsTheConnection(t *testing.T) {
	near, far := net.Pipe()
	c := newConn[note](near)
	defer c.Close()
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(func(*note) {}) }()
	go sayAlive(far)
	c.Send(&note{Text: string(make([]byte, slowSize))})
	took := make(chan error, 1)
	go func() {
		f := new(frame[note])
		took <- gob.NewDecoder(bufio.NewReaderSize(&slowReader{c: far}, 16)).Decode(f)
	}()
	select {
	case err := <-took:
		if err != nil {
			t.Errorf("the message did not come whole: %v", err)
		}
	case err := <-ended:
		t.Errorf("the connection ended while its peer took bytes: %v", err)
	case <-time.After(3 * slowTime):
		t.Error("the message did not come")
	}
}

// slowReader takes the bytes of a message of slowSize in slowTime.
type slowReader struct{ c net.Conn }

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowStep)
	return r.c.Read(p[:min(len(p), slowSize/int(slowTime/slowStep))])
}

// TestStalledMessageEnds: a message of which nothing more comes, or is taken, ends the
// connection as soon as a peer that says nothing.
func TestStalledMessageEnds(t *testing.T) {
	data := encoded(t, &note{Text: string(make([]byte, slowSize))})
	for name, stall := range map[string]func(c *Conn[note], far net.Conn){
		"in the middle of what it sends": func(_ *Conn[note], far net.Conn) {
			go takeAll(far)
			_, _ = far.Write(data[:len(data)/2])
		},
		"in the middle of what it takes": func(c *Conn[note], far net.Conn) {
			c.Send(&note{Text: string(make([]byte, slowSize))})
			go sayAlive(far)
			_, _ = far.Read(make([]byte, slowSize/2))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near, far := net.Pipe()
			c := newConn[note](near)
			ended := make(chan error, 1)
			began := time.Now()
			go func() { ended <- c.Serve(func(*note) {}) }()
			go stall(c, far)
			select {
			case <-ended:
				if took := time.Since(began); took < silence || took > silence+time.Second {
					t.Errorf("it took %v, want %v and a little", took, silence)
				}
			case <-time.After(3 * silence):
				t.Error("the connection does not end")
			}
		})
	}
}
