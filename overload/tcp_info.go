// SPDX-License-Identifier: MIT

package overload

import (
	"cmp"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"lynxramp.org/event"
)

// tcpInfo returns what the kernel knows of a connection.
func tcpInfo(c syscall.Conn) (info *unix.TCPInfo, err error) {
	err = withDescriptor(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, errors.Wrap(err, "TCP_INFO")
}

// withDescriptor calls f with the descriptor of a socket.
func withDescriptor(socket syscall.Conn, f func(fd int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = f(int(fd)) })
	return cmp.Or(controlErr, err)
}

// SinceReceived returns how long ago the kernel received the last bytes of a connection, in whole milliseconds. If they
// complete a request, it has waited for that long for the process, whatever its caller and the link did.
func SinceReceived(c syscall.Conn) (event.Duration, bool) {
	info, err := tcpInfo(c)
	if err != nil {
		return 0, false
	}
	return event.Duration(info.Last_data_recv) * event.Millisecond, true
}
