// SPDX-License-Identifier: MIT

package logx

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestWriteNeverBlocks guards against a logging caller that blocks on a stalled output.
func TestWriteNeverBlocks(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	a := NewAsync(writer)
	done := make(chan struct{})
	go func() {
		for range 20 * queueLines {
			_, _ = a.Write(bytes.Repeat([]byte("x"), 200))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocks while the underlying writer is stalled")
	}
	if a.Dropped() == 0 {
		t.Error("dropped lines were not counted")
	}
	close(writer.release)
	a.Close()
}

// TestLinesAreWrittenWhole guards against lost, split or reordered lines.
func TestLinesAreWrittenWhole(t *testing.T) {
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

// TestWriteAfterCloseIsDropped guards against a panic when a goroutine still logs at the
// end of the process.
func TestWriteAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	_, _ = a.Write([]byte("before\n"))
	a.Close()
	for range 2 * queueLines {
		_, _ = a.Write([]byte("after\n"))
	}
	if got := out.String(); got != "before\n" {
		t.Errorf("got %q", got)
	}
	if a.Dropped() == 0 {
		t.Error("dropped lines were not counted")
	}
}
