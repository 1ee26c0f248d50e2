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

// These tests guard against a timeout for a whole message: on a slow network a large message
// would never arrive, as each new connection starts it again. They slow the connection down
// instead of making the message large.

const (
	// slowDuration is the transfer time of a message that must still arrive; well over idleTimeout.
	slowDuration     = 4 * time.Second
	slowInterval     = 50 * time.Millisecond
	slowMessageBytes = 200_000
)

// encoded returns the wire form of a message.
func encoded(t *testing.T, m *note) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(frame[note]{m}); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// discardAll reads and discards until the connection ends.
func discardAll(c net.Conn) {
	for b := make([]byte, 4096); ; {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

// sendKeepalives sends keep-alive messages until the connection ends.
func sendKeepalives(c net.Conn) {
	for out := gob.NewEncoder(c); out.Encode(frame[note]{}) == nil; {
		time.Sleep(keepaliveInterval)
	}
}

// TestSlowMessageArrives guards against closing a connection on which bytes still arrive.
func TestSlowMessageArrives(t *testing.T) {
	local, remote := net.Pipe()
	c := newConn[note](local)
	defer c.Close()
	received := make(chan int, 1)
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(func(m *note) { received <- len(m.Text) }) }()
	go discardAll(remote)
	go func() {
		data := encoded(t, &note{Text: string(make([]byte, slowMessageBytes))})
		piece := len(data)/int(slowDuration/slowInterval) + 1
		for len(data) > 0 {
			n, err := remote.Write(data[:min(piece, len(data))])
			if err != nil {
				return
			}
			data = data[n:]
			time.Sleep(slowInterval)
		}
	}()
	select {
	case n := <-received:
		if n != slowMessageBytes {
			t.Errorf("%d bytes received, want %d", n, slowMessageBytes)
		}
	case err := <-ended:
		t.Errorf("the connection ended while bytes arrived: %v", err)
	case <-time.After(3 * slowDuration):
		t.Error("the message did not arrive")
	}
}

// TestSlowReaderKeepsConnection guards against closing a connection whose peer still reads.
func TestSlowReaderKeepsConnection(t *testing.T) {
	local, remote := net.Pipe()
	c := newConn[note](local)
	defer c.Close()
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(func(*note) {}) }()
	go sendKeepalives(remote)
	c.Send(&note{Text: string(make([]byte, slowMessageBytes))})
	decoded := make(chan error, 1)
	go func() {
		f := new(frame[note])
		decoded <- gob.NewDecoder(bufio.NewReaderSize(&slowReader{c: remote}, 16)).Decode(f)
	}()
	select {
	case err := <-decoded:
		if err != nil {
			t.Errorf("the message did not arrive whole: %v", err)
		}
	case err := <-ended:
		t.Errorf("the connection ended while its peer was reading: %v", err)
	case <-time.After(3 * slowDuration):
		t.Error("the message did not arrive")
	}
}

// slowReader reads slowMessageBytes in slowDuration.
type slowReader struct{ c net.Conn }

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowInterval)
	return r.c.Read(p[:min(len(p), slowMessageBytes/int(slowDuration/slowInterval))])
}

// TestStalledMessageClosesConnection guards against waiting longer for the rest of a message,
// sent or received, than for a silent peer.
func TestStalledMessageClosesConnection(t *testing.T) {
	data := encoded(t, &note{Text: string(make([]byte, slowMessageBytes))})
	for name, stall := range map[string]func(c *Conn[note], remote net.Conn){
		"the peer stops sending": func(_ *Conn[note], remote net.Conn) {
			go discardAll(remote)
			_, _ = remote.Write(data[:len(data)/2])
		},
		"the peer stops reading": func(c *Conn[note], remote net.Conn) {
			c.Send(&note{Text: string(make([]byte, slowMessageBytes))})
			go sendKeepalives(remote)
			_, _ = remote.Read(make([]byte, slowMessageBytes/2))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			local, remote := net.Pipe()
			c := newConn[note](local)
			ended := make(chan error, 1)
			began := time.Now()
			go func() { ended <- c.Serve(func(*note) {}) }()
			go stall(c, remote)
			select {
			case <-ended:
				if took := time.Since(began); took < idleTimeout || took > idleTimeout+time.Second {
					t.Errorf("it took %v, want at least %v and at most 1 s more", took, idleTimeout)
				}
			case <-time.After(3 * idleTimeout):
				t.Error("the connection does not end")
			}
		})
	}
}
