// SPDX-License-Identifier: MIT

package overload

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Parameters of a Listener.
const (
	// checkInterval is how often a window is checked while no connections come.
	checkInterval = minWindow
	// retryInterval is the time between two attempts to open the socket.
	retryInterval = 20 * time.Millisecond
)

// Listener accepts connections on an address, and about as many as a limit allows. While the limit is reached its socket
// takes no new handshakes, so that the kernel refuses further connections before their callers send a request. Those under
// way are completed and accepted, as their requests come anyway, or lost where the kernel can't tell them from new ones. A
// new socket is opened when the limit allows a burst again, and after maxClosed at the latest.
type Listener struct {
	config  net.ListenConfig
	address string
	log     *zap.Logger

	closures atomic.Uint64 // of the socket to new handshakes, because of the limit
	accepted atomic.Uint64 // connections

	mu         sync.Mutex
	changed    sync.Cond        // of socket and isClosed
	socket     *net.TCPListener // takes new handshakes while window.isOpen; nil while nothing is accepted
	isClosed   bool             // by Close
	isRefusing bool             // by Refuse
	reopen     *time.Timer      // nil while the window is open
	isReached  bool             // the limit was reached since the last call of Reached
	window     window
	// What was counted at the last call of SetLimit.
	countedAt time.Time
	counted   uint64 // connections
}

// NewListener returns a Listener without a limit. Open opens it.
func NewListener(config net.ListenConfig, address string, log *zap.Logger) *Listener {
	now := time.Now()
	l := &Listener{config: config, address: address, log: log, window: newWindow(now, true), countedAt: now}
	l.changed.L = &l.mu
	return l
}

// Open opens the socket.
func (l *Listener) Open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.listen(); err != nil {
		return err
	}
	l.window.losesHandshakes = !canRefuseHandshakes(l.socket.Addr())
	return nil
}

func (l *Listener) listen() error {
	socket, err := l.config.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	l.socket = socket.(*net.TCPListener)
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
			l.check()
		case l.isCurrent(socket):
			return nil, err
		}
	}
}

// awaitSocket returns the socket as soon as there is one.
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

// admit counts an accepted connection.
func (l *Listener) admit(c *net.TCPConn) {
	l.accepted.Add(1)
	handshake := handshakeTime(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.window.accept(now, handshake)
	l.endWindow(now)
	if !l.window.isOpen && l.window.mustDrop(now) {
		l.closeSocket()
	}
}

// handshakeTime returns the time that the peer of a new connection took to end the handshake; 0 if it is unknown.
func handshakeTime(c *net.TCPConn) time.Duration {
	info, err := tcpInfo(c)
	if err != nil {
		return 0
	}
	return time.Duration(info.Rtt) * time.Microsecond
}

// check ends the window if it is time.
func (l *Listener) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.endWindow(now)
	l.setDeadline(now)
}

// endWindow has the kernel refuse new handshakes if the limit is reached.
func (l *Listener) endWindow(now time.Time) {
	if l.isClosed || l.isRefusing || l.socket == nil || !l.window.mustEnd(now) || l.window.mayDrain(now) && hasPending(l.socket) {
		return
	}
	l.window.end(now)
	l.isReached = true
	l.closures.Add(1)
	if l.window.losesHandshakes || refuseHandshakes(l.socket) != nil {
		l.closeSocket()
	}
	l.setDeadline(now)
	l.scheduleReopen(now)
}

// closeSocket closes the socket, with the connections that were not accepted yet.
func (l *Listener) closeSocket() {
	if l.socket != nil {
		_ = l.socket.Close() // it isn't used any more
		l.socket = nil
	}
}

// setDeadline has Accept return when the window is to be checked.
func (l *Listener) setDeadline(now time.Time) {
	if l.socket == nil {
		return
	}
	var end time.Time
	if l.window.isOpen && l.window.bucket.hasLimit() {
		end = now.Add(checkInterval)
	}
	_ = l.socket.SetDeadline(end) // fails only on a closed socket
}

// Refuse has the kernel refuse new handshakes from now on; connections whose handshake is done or under way are still
// accepted. Where the kernel can't tell them apart, all are accepted until Close.
func (l *Listener) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isRefusing = true
	if l.reopen != nil {
		l.reopen.Stop()
		l.reopen = nil
	}
	if l.socket != nil && !l.window.losesHandshakes {
		_ = refuseHandshakes(l.socket) // without it, Close refuses them
	}
}

// HasPending reports whether there are connections to be accepted.
func (l *Listener) HasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket != nil && hasPending(l.socket)
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
// often as maxClosed requires. It is called regularly, also if nothing changes.
func (l *Listener) SetLimit(perSecond float64, isPaused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.observeRate(now)
	if l.isClosed || l.isRefusing || perSecond == l.window.bucket.rate && isPaused == l.window.bucket.isPaused {
		return
	}
	l.window.setLimit(now, perSecond, isPaused)
	if l.window.isOpen {
		l.endWindow(now)
		l.setDeadline(now)
		return
	}
	if l.reopen != nil {
		l.reopen.Stop()
	}
	l.scheduleReopen(now)
}

// observeRate measures the rate of accepted connections.
func (l *Listener) observeRate(now time.Time) {
	accepted, interval := l.accepted.Load(), now.Sub(l.countedAt)
	if interval < checkInterval {
		return
	}
	l.window.observeRate(float64(accepted-l.counted) / interval.Seconds())
	l.counted, l.countedAt = accepted, now
}

// Spend counts requests that came on other connections than new ones against the limit.
func (l *Listener) Spend(requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.window.bucket.spend(time.Now(), float64(max(0, requests)))
}

// Reached reports whether the limit was reached since the last call.
func (l *Listener) Reached() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	reached := l.isReached
	l.isReached = !l.window.isOpen
	return reached
}

// Accepted returns how many connections were accepted.
func (l *Listener) Accepted() uint64 { return l.accepted.Load() }

// Closures returns how often new handshakes were refused because the limit was reached.
func (l *Listener) Closures() uint64 { return l.closures.Load() }

// scheduleReopen has a socket opened when a burst is allowed again.
func (l *Listener) scheduleReopen(now time.Time) {
	l.reopen = time.AfterFunc(l.window.untilBegin(now), l.openAgain)
}

func (l *Listener) openAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.isClosed || l.isRefusing || l.window.isOpen {
		return
	}
	if l.window.untilBegin(now) > 0 {
		l.scheduleReopen(now) // connections were accepted after the window
		return
	}
	l.closeSocket()
	if err := l.listen(); err != nil {
		l.log.Error("can't listen again; trying again", zap.String("address", l.address), zap.Error(err))
		l.reopen = time.AfterFunc(retryInterval, l.openAgain)
		return
	}
	l.reopen = nil
	l.window.begin(now)
	l.setDeadline(now)
}
