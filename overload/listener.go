// SPDX-License-Identifier: MIT

package overload

import (
	"cmp"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Parameters of a Listener.
const (
	// windowRoundTrips is for how many round trips of callers the socket is open at least. A connection whose handshake
	// is under way when it closes is lost, and what its caller has sent.
	windowRoundTrips = 2
	// minWindow and maxWindow limit the time for which the socket is open.
	minWindow, maxWindow = 5 * time.Millisecond, 250 * time.Millisecond
	// unusedConnections is how many connections are expected in the time for which the socket is open without any being
	// accepted although the limit is reached; minUnused and maxUnused limit that time. On a saturated link no handshake ends
	// in it, and each that has begun brings a request in vain.
	unusedConnections    = 10
	minUnused, maxUnused = 100 * time.Millisecond, time.Second
	// defaultRoundTrip is assumed until a round trip was measured.
	defaultRoundTrip = 10 * time.Millisecond
	// roundTripWeight is the weight of a new round trip in the average.
	roundTripWeight = 1.0 / 32
	// offeredWeight is the weight of a new measurement in Listener.offered.
	offeredWeight = 0.5
	// drainBursts is how many bursts more are accepted if their handshakes are complete when the socket is to be closed,
	// as their callers have sent requests. A process that runs late finds many.
	drainBursts = 3
	// retryInterval is the time between two attempts to open the socket.
	retryInterval = 20 * time.Millisecond
)

// Listener accepts connections on an address, and about as many as a limit allows. While the limit is reached its socket
// is closed, so that the kernel refuses further connections before their callers send a request. When the limit allows a
// burst again, the socket is open for some round trips at least and until a connection was accepted, or one should have been. It
// is closed for maxClosed at most.
type Listener struct {
	config  net.ListenConfig
	address string
	log     *zap.Logger

	closures atomic.Uint64 // of the socket, because of the limit
	accepted atomic.Uint64 // connections

	mu        sync.Mutex
	changed   sync.Cond        // of socket and isClosed
	socket    *net.TCPListener // nil while it is closed
	isClosed  bool             // by Close
	reopen    *time.Timer      // nil unless the socket is closed because of the limit
	closedAt  time.Time        // when it was
	openedAt  time.Time        // when the socket was opened
	windowEnd time.Time        // until when it is open at least
	isReached bool             // the limit was reached since the last call of Reached
	usedBy    int              // connections accepted since the socket was opened
	offered   float64          // connections a second while the socket is open
	bucket    bucket
	roundTrip time.Duration // average of callers; 0 if unknown
}

// NewListener returns a Listener without a limit. Open opens it.
func NewListener(config net.ListenConfig, address string, log *zap.Logger) *Listener {
	l := &Listener{config: config, address: address, log: log, bucket: newBucket()}
	l.changed.L = &l.mu
	return l
}

// Open opens the socket.
func (l *Listener) Open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listen()
}

func (l *Listener) listen() error {
	socket, err := l.config.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	l.socket, l.usedBy, l.openedAt = socket.(*net.TCPListener), 0, time.Now()
	l.address = socket.Addr().String()
	l.changed.Broadcast()
	return nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.awaitSocket()
		if err != nil {
			return nil, err
		}
		c, err := socket.AcceptTCP()
		switch {
		case err == nil:
			l.admit(c)
			return c, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			l.endWindow()
		case l.isCurrent(socket):
			return nil, err
		}
	}
}

// awaitSocket returns the socket as soon as it is open.
func (l *Listener) awaitSocket() (*net.TCPListener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.socket == nil && !l.isClosed {
		l.changed.Wait()
	}
	if l.isClosed {
		return nil, net.ErrClosed
	}
	return l.socket, nil
}

func (l *Listener) isCurrent(socket *net.TCPListener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket == socket
}

// admit counts an accepted connection and measures the round trip to its caller.
func (l *Listener) admit(c *net.TCPConn) {
	l.accepted.Add(1)
	roundTrip, ok := handshakeRoundTrip(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usedBy++
	l.bucket.spend(time.Now(), 1)
	l.closeIfReached()
	if ok {
		l.roundTrip = cmp.Or(l.roundTrip, roundTrip)
		l.roundTrip += time.Duration(roundTripWeight * float64(roundTrip-l.roundTrip))
	}
}

// handshakeRoundTrip returns the kernel's estimate of the round trip to the peer of a new connection.
func handshakeRoundTrip(c *net.TCPConn) (time.Duration, bool) {
	info, err := tcpInfo(c)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Rtt) * time.Microsecond, true
}

// window returns the least time for which the socket is open.
func (l *Listener) window() time.Duration {
	roundTrip := cmp.Or(l.roundTrip, defaultRoundTrip)
	return min(max(windowRoundTrips*roundTrip, minWindow), maxWindow)
}

// endWindow closes the socket if the limit was reached, and keeps it open otherwise.
func (l *Listener) endWindow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket == nil || l.isClosed || l.closeIfReached() {
		return
	}
	next := l.openedAt.Add(l.unusedTime())
	if time.Now().After(next) {
		next = time.Time{} // the next connection closes it, if any
	}
	_ = l.socket.SetDeadline(next) // fails only on a closed socket
}

// closeIfReached closes the socket if the limit was reached. It reports whether it did.
func (l *Listener) closeIfReached() bool {
	now := time.Now()
	if l.socket == nil || now.Before(l.windowEnd) || !l.bucket.isEmpty(now, 0) {
		return false
	}
	openFor := now.Sub(l.openedAt)
	if l.usedBy == 0 && openFor < l.unusedTime() {
		return false
	}
	if !l.bucket.isEmpty(now, drainBursts) && hasPending(l.socket) {
		return false
	}
	l.isReached = true
	l.offered += offeredWeight * (float64(l.usedBy)/max(openFor, minWindow).Seconds() - l.offered)
	l.closures.Add(1)
	_ = l.socket.Close() // resets the connections that were not accepted yet
	l.socket, l.closedAt = nil, now
	l.scheduleReopen()
	return true
}

// unusedTime returns for how long the socket is open if the limit is reached and no connection is accepted.
func (l *Listener) unusedTime() time.Duration {
	wanted := time.Duration(unusedConnections / max(l.offered, 1) * float64(time.Second))
	return min(max(wanted, minUnused), maxUnused)
}

// hasPending reports whether a connection can be accepted at once.
func hasPending(socket *net.TCPListener) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	isReadable := false
	err = raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(fds[:], 0)
		isReadable = pollErr == nil && n == 1
	})
	return err == nil && isReadable
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isClosed = true
	l.changed.Broadcast()
	if l.reopen != nil {
		l.reopen.Stop()
		l.reopen = nil
	}
	if l.socket == nil {
		return nil
	}
	return l.socket.Close()
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr {
	address, err := net.ResolveTCPAddr("tcp", l.address)
	if err != nil {
		return &net.TCPAddr{} // it was the address of an open socket
	}
	return address
}

// SetLimit sets the limit in connections a second, +Inf for none. While it is paused, connections are accepted only as
// often as maxClosed requires.
func (l *Listener) SetLimit(perSecond float64, isPaused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed || perSecond == l.bucket.rate && isPaused == l.bucket.isPaused {
		return
	}
	now := time.Now()
	if !l.bucket.hasLimit() {
		l.offered = perSecond
	}
	l.bucket.set(now, perSecond, isPaused)
	switch {
	case l.reopen != nil:
		l.reopen.Stop()
		l.scheduleReopen()
	case l.socket != nil && !l.closeIfReached():
		l.setDeadline(now)
	}
}

// setDeadline has Accept return at the end of the window, or never without a limit.
func (l *Listener) setDeadline(end time.Time) {
	l.windowEnd = end
	if !l.bucket.hasLimit() {
		end = time.Time{}
	}
	_ = l.socket.SetDeadline(end) // fails only on a closed socket
}

// Spend counts requests that came on other connections than new ones against the limit.
func (l *Listener) Spend(requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket.spend(time.Now(), float64(max(0, requests)))
}

// Reached reports whether the limit was reached since the last call.
func (l *Listener) Reached() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	reached := l.isReached
	l.isReached = l.reopen != nil
	return reached
}

// Accepted returns how many connections were accepted.
func (l *Listener) Accepted() uint64 { return l.accepted.Load() }

// Closures returns how often the socket was closed because the limit was reached.
func (l *Listener) Closures() uint64 { return l.closures.Load() }

// scheduleReopen has the socket opened when a burst is allowed again.
func (l *Listener) scheduleReopen() {
	now := time.Now()
	wait := min(l.bucket.untilFull(now), l.closedAt.Add(maxClosed).Sub(now))
	l.reopen = time.AfterFunc(wait, l.openAgain)
}

func (l *Listener) openAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed || l.socket != nil {
		return
	}
	if err := l.listen(); err != nil {
		l.log.Error("can't listen again; trying again", zap.String("address", l.address), zap.Error(err))
		l.reopen = time.AfterFunc(retryInterval, l.openAgain)
		return
	}
	l.reopen = nil
	l.setDeadline(time.Now().Add(l.window()))
}
