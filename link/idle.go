// SPDX-License-Identifier: MIT

package link

import (
	"net"
	"syscall"
)

// IsIdle reports whether a connection that nobody reads has nothing to read, neither data nor its end. Connections other
// than TCP are taken for idle.
func IsIdle(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && idle
}
