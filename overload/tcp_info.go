// SPDX-License-Identifier: MIT

package overload

import (
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"lynxramp.org/event"
)

// tcpInfo returns what the kernel knows of a connection.
func tcpInfo(c syscall.Conn) (info *unix.TCPInfo, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "TCP_INFO")
	}
	if controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); controlErr != nil {
		err = controlErr
	}
	return info, errors.Wrap(err, "TCP_INFO")
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
