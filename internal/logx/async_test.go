// SPDX-License-Identifier: MIT

package logx

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// stoppedReader takes nothing until it is let go.
type stoppedReader struct{ letGo chan struct{} }

func (s *stoppedReader) Write(p []byte) (int, error) {
	<-s.letGo
	return len(p), nil
}

func TestWritingNeverWaits(t *testing.T) {
	reader := &stoppedReader{letGo: make(chan struct{})}
	a := NewAsync(reader)
	done := make(chan struct{})
	go func() {
		for range 20 * asyncLines {
			_, _ = a.Write(bytes.Repeat([]byte("x"), 200))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("writing waits for a reader that has stopped")
	}
	if a.Dropped() == 0 {
		t.Error("lines were left out and not counted")
	}
	close(reader.letGo)
	a.Close()
}

func TestLinesComeWhole(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	want := ""
	for i := range 100 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, _ = a.Write([]byte(line))
	}
	close(a.closing)
	<-a.done
	if out.String() != want {
		t.Errorf("got %q", out.String())
	}
}

// TestWritingAfterCloseIsLeftOut: goroutines that still run when the process ends may
// write; they panicked.
func TestWritingAfterCloseIsLeftOut(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	_, _ = a.Write([]byte("before\n"))
	a.Close()
	for range 2 * asyncLines {
		_, _ = a.Write([]byte("after\n"))
	}
	if got := out.String(); got != "before\n" {
		t.Errorf("got %q", got)
	}
	if a.Dropped() == 0 {
		t.Error("lines were left out and not counted")
	}
}
