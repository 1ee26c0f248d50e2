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

// ownNetworkEnv is set in the process that runs in its own network namespace.
const ownNetworkEnv = "LYNXRAMP_TEST_OWN_NETWORK"

// keepAliveBound is how long KeepAlive may take to detect an unreachable peer, with a margin.
const keepAliveBound = 6 * time.Second

// TestKeepAliveClosesDeadConnection guards against a read that waits on a peer which became
// unreachable without a reset: without data to send, only keep-alive probes detect it.
func TestKeepAliveClosesDeadConnection(t *testing.T) {
	if os.Getenv(ownNetworkEnv) == "" {
		t.Parallel()
		runInOwnNetworkNamespace(t)
		return
	}
	setLoopback(t, true)
	accepted := make(chan net.Conn, 1)
	l, err := Listen("127.0.0.1:0", func(c *Conn[note]) { accepted <- c.raw })
	if err != nil {
		t.Fatal(err)
	}
	dialer := net.Dialer{KeepAliveConfig: KeepAlive}
	dialled, err := dialer.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer := <-accepted
	if _, err := dialled.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(peer, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	setLoopback(t, false)
	began := time.Now()
	for side, c := range map[string]net.Conn{"dialled": dialled, "accepted": peer} {
		_ = c.SetReadDeadline(began.Add(2 * keepAliveBound))
		_, err := c.Read(make([]byte, 1))
		if took := time.Since(began); err == nil || errors.Is(err, os.ErrDeadlineExceeded) || took > keepAliveBound {
			t.Errorf("%s: %v after %v, want an end within %v", side, err, took, keepAliveBound)
		}
	}
}

// runInOwnNetworkNamespace runs the calling test again in a process with its own network
// namespace.
func runInOwnNetworkNamespace(t *testing.T) {
	t.Helper()
	p := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$", "-test.v")
	p.Env = append(os.Environ(), ownNetworkEnv+"=1")
	p.SysProcAttr = &syscall.SysProcAttr{
		Cloneflags:  syscall.CLONE_NEWUSER | syscall.CLONE_NEWNET,
		UidMappings: []syscall.SysProcIDMap{{ContainerID: 0, HostID: os.Getuid(), Size: 1}},
		GidMappings: []syscall.SysProcIDMap{{ContainerID: 0, HostID: os.Getgid(), Size: 1}},
	}
	out, err := p.CombinedOutput()
	if errors.Is(err, syscall.EPERM) || errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EINVAL) {
		t.Skipf("network namespaces are not available: %v", err)
	}
	if err != nil {
		t.Errorf("%v:\n%s", err, out)
	}
}

// setLoopback sets the loopback device of this process's network namespace up or down.
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
