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

// fewDescriptors is how many the server of these tests may have, resting as many callers
// more as come to it.
const (
	fewDescriptors  = 700
	restingCallers  = 800
	fewVariable     = "LYNXRAMP_TEST_FEW_DESCRIPTORS"
	takesWithin     = time.Second
	callersThatCome = 7
)

// TestServerOfFewDescriptors is no test by itself: it is the process that the next one
// starts, whose limit must not bind others.
func TestServerOfFewDescriptors(t *testing.T) {
	if os.Getenv(fewVariable) == "" {
		t.Skip("it is run by TestReadyEntryTakesNewConnections")
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: fewDescriptors, Max: fewDescriptors}); err != nil {
		t.Fatal(err)
	}
	quiet := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	s := callersServer(quiet, func() time.Duration { return time.Minute }, fewDescriptors)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println("serves at", l.Addr())
	_ = s.Serve(l)
}

// startFew starts the server in a process of its own and returns its address.
func startFew(t *testing.T) string {
	t.Helper()
	p := exec.Command(os.Args[0], "-test.run", "^TestServerOfFewDescriptors$")
	p.Env = append(os.Environ(), fewVariable+"=1")
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
		t.Fatalf("the server says %q: %v", line, err)
	}
	return address
}

// TestReadyEntryTakesNewConnections: callers that keep connections rested on an entry until
// it had no descriptor left. It said that it is ready, and took no new connection until
// their time to rest was over.
func TestReadyEntryTakesNewConnections(t *testing.T) {
	address := startFew(t)
	connect := func(within time.Duration) error {
		c, err := net.DialTimeout("tcp", address, within)
		if err != nil {
			return err
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(within))
		return ask(c)
	}
	for i := range restingCallers {
		if err := connect(takesWithin); err != nil {
			t.Fatalf("caller %d beside those that rest: %v", i+1, err)
		}
	}
	for i := range callersThatCome {
		if err := connect(takesWithin); err != nil {
			t.Errorf("new caller %d: %v", i+1, err)
		}
	}
}
