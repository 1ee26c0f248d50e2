// SPDX-License-Identifier: MIT

package fleet

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// maxDescriptors is the server's limit of file descriptors; idleCallers, which keep idle
	// connections to it, are more.
	maxDescriptors = 700
	idleCallers    = 800
	// serverVariable is the environment variable that is set in the server's process.
	serverVariable = "LYNXRAMP_TEST_FEW_DESCRIPTORS"
	connectTimeout = time.Second
	newCallers     = 7
)

// TestServerOfFewDescriptors is not a test of its own: TestIdleConnectionsDontBlockNewOnes
// runs it in a child process, as the descriptor limit holds for a whole process.
func TestServerOfFewDescriptors(t *testing.T) {
	if os.Getenv(serverVariable) == "" {
		t.Skip("run in a child process by TestIdleConnectionsDontBlockNewOnes")
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}); err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	s, _ := newCallerServer(handler, func() time.Duration { return time.Minute }, maxDescriptors)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println("serves at", l.Addr())
	_ = s.Serve(l)
}

// startServer starts the server in a child process and returns its address.
func startServer(t *testing.T) string {
	t.Helper()
	p := exec.Command(os.Args[0], "-test.run", "^TestServerOfFewDescriptors$")
	p.Env = append(os.Environ(), serverVariable+"=1")
	out, err := p.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "serves at ")
	if err != nil || !ok {
		t.Fatalf("the server printed %q: %v", line, err)
	}
	return address
}

// TestIdleConnectionsDontBlockNewOnes guards against idle keep-alive connections that use up
// the file descriptors of an entry, which then reports ready but accepts no connection.
func TestIdleConnectionsDontBlockNewOnes(t *testing.T) {
	address := startServer(t)
	connect := func(timeout time.Duration) error {
		c, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return err
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(timeout))
		return roundTrip(c)
	}
	for i := range idleCallers {
		if err := connect(connectTimeout); err != nil {
			t.Fatalf("caller %d, with idle connections of the others: %v", i+1, err)
		}
	}
	for i := range newCallers {
		if err := connect(connectTimeout); err != nil {
			t.Errorf("new caller %d: %v", i+1, err)
		}
	}
}
