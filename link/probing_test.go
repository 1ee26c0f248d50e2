// SPDX-License-Identifier: MIT

package link

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// inOwnNetwork is set in the process that has a network of its own.
const inOwnNetwork = "LYNXRAMP_TEST_OWN_NETWORK"

// probed is how long Probing takes to find a silent connection, and a little.
const probed = 6 * time.Second

// TestProbingEndsASilentConnection: no packet comes through any more, either way, and nobody
// resets the connection. Whoever waits on it without having anything to send finds out by
// probes alone; the system's own default takes hours.
func TestProbingEndsASilentConnection(t *testing.T) {
	if os.Getenv(inOwnNetwork) == "" {
		t.Parallel()
		runInOwnNetwork(t)
		return
	}
	setLoopback(t, true)
	accepted := make(chan net.Conn, 1)
	l, err := Listen("127.0.0.1:0", func(c *Conn[note]) { accepted <- c.raw })
	if err != nil {
		t.Fatal(err)
	}
	dialer := net.Dialer{KeepAliveConfig: KeepAlive}
	near, err := dialer.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far := <-accepted
	if _, err := near.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	setLoopback(t, false)
	began := time.Now()
	for side, c := range map[string]net.Conn{"dialled": near, "accepted": far} {
		_ = c.SetReadDeadline(began.Add(2 * probed))
		_, err := c.Read(make([]byte, 1))
		if took := time.Since(began); err == nil || errors.Is(err, os.ErrDeadlineExceeded) || took > probed {
			t.Errorf("%s: %v after %v, want an end within %v", side, err, took, probed)
		}
	}
}

// runInOwnNetwork runs the calling test again, in a process with a network of its own.
func runInOwnNetwork(t *testing.T) {
	t.Helper()
	p := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$", "-test.v")
	p.Env = append(os.Environ(), inOwnNetwork+"=1")
	p.SysProcAttr = &syscall.SysProcAttr{
		Cloneflags:  syscall.CLONE_NEWUSER | syscall.CLONE_NEWNET,
		UidMappings: []syscall.SysProcIDMap{{ContainerID: 0, HostID: os.Getuid(), Size: 1}},
		GidMappings: []syscall.SysProcIDMap{{ContainerID: 0, HostID: os.Getgid(), Size: 1}},
	}
	out, err := p.CombinedOutput()
	if errors.Is(err, syscall.EPERM) || errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EINVAL) {
		t.Skipf("this system gives tests no network of their own: %v", err)
	}
	if err != nil {
		t.Errorf("%v:\n%s", err, out)
	}
}

// setLoopback takes the loopback device of this process's network up or down.
func setLoopback(t *testing.T, up bool) {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_DGRAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(socket)
	var request struct {
		name  [syscall.IFNAMSIZ]byte
		flags uint16
		_     [22]byte
	}
	copy(request.name[:], "lo")
	if up {
		request.flags = syscall.IFF_UP
	}
	if _, _, e := syscall.Syscall(syscall.SYS_IOCTL, uintptr(socket), syscall.SIOCSIFFLAGS, uintptr(unsafe.Pointer(&request))); e != 0 {
		t.Fatal(fmt.Errorf("loopback: %w", e))
	}
}
