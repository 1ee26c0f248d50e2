// SPDX-License-Identifier: MIT

package overload

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of Acknowledgements.
const (
	// maxWatched limits the sends watched at once, and so the system calls of a Poll.
	maxWatched = 8
	// sampleInterval is the shortest time between two sends that are watched.
	sampleInterval = 10 * time.Millisecond
	// maxAcknowledgement ends the watch of a send, as its receiver may be gone.
	maxAcknowledgement = time.Second
)

// Acknowledgements measures how long sent bytes wait to be acknowledged by the kernels of their receivers, by
// sampling. Its zero value is ready to use, by any number of goroutines.
type Acknowledgements struct {
	Delays

	mu      sync.Mutex
	watched []watchedSend
	last    time.Time // when the newest send began to be watched
}

// watchedSend is a send whose bytes may not be acknowledged yet.
type watchedSend struct {
	conn net.Conn
	raw  syscall.RawConn
	sent time.Time
}

// Sent reports that bytes were written to a connection. It is watched if it is a TCP connection and few others are.
func (a *Acknowledgements) Sent(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.watched) >= maxWatched || now.Sub(a.last) < sampleInterval {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // it is closed
	}
	a.last = now
	a.watched = append(a.watched, watchedSend{conn: c, raw: raw, sent: now})
}

// Received reports that a response to what was sent has begun, which acknowledges it.
func (a *Acknowledgements) Received(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, w := range a.watched {
		if w.conn == c {
			a.Add(time.Since(w.sent))
			a.watched = slices.Delete(a.watched, i, i+1)
			return
		}
	}
}

// Poll checks the sends that are watched. It reports whether any are left.
func (a *Acknowledgements) Poll() bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watched = slices.DeleteFunc(a.watched, func(w watchedSend) bool {
		unsent, err := unsentBytes(w.raw)
		if err != nil {
			return true // it is closed
		}
		age := now.Sub(w.sent)
		if unsent > 0 && age < maxAcknowledgement {
			return false
		}
		a.Add(age)
		return true
	})
	return len(a.watched) > 0
}

// unsentBytes returns the number of bytes of a connection that its peer has not acknowledged.
func unsentBytes(raw syscall.RawConn) (unsent int, err error) {
	controlErr := raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if controlErr != nil {
		return 0, controlErr
	}
	return unsent, err
}
