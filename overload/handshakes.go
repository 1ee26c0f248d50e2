// SPDX-License-Identifier: MIT

package overload

import (
	"math"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// noInterface is the index of a network interface that does not exist.
const noInterface = math.MaxInt32

// refuseHandshakes has the kernel refuse new handshakes of a listening socket, as none arrives on the interface that it is
// bound to. Handshakes under way are completed.
func refuseHandshakes(socket *net.TCPListener) error {
	err := withDescriptor(socket, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
	return errors.Wrap(err, "SO_BINDTOIFINDEX")
}

// canRefuseHandshakes reports whether refuseHandshakes has an effect: it needs root before Linux 5.7, and has none
// where sockets are emulated. It tries a socket of the same host.
func canRefuseHandshakes(address net.Addr) bool {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return false
	}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: tcp.IP, Zone: tcp.Zone})
	if err != nil {
		return false
	}
	defer l.Close()
	if refuseHandshakes(l) != nil {
		return false
	}
	c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
	if err == nil {
		_ = c.Close() // nothing was sent
		return false
	}
	return errors.Is(err, unix.ECONNREFUSED)
}

// hasPending reports whether a connection can be accepted at once.
func hasPending(socket *net.TCPListener) bool {
	readable := 0
	err := withDescriptor(socket, func(fd int) (err error) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		readable, err = unix.Poll(fds[:], 0)
		return err
	})
	return err == nil && readable == 1
}
