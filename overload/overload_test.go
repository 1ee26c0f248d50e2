// SPDX-License-Identifier: MIT

package overload

import (
	"net"
	"runtime"
	"testing"
	"time"

	"lynxramp.org/event"
)

func TestHistogramQuantile(t *testing.T) {
	bounds := []float64{0, 0.001, 0.01, 0.1, 1}
	for _, test := range []struct {
		counts []uint64
		want   event.Duration
	}{
		{[]uint64{0, 0, 0, 0}, 0},
		{[]uint64{90, 0, 10, 0}, 0},
		{[]uint64{89, 0, 11, 0}, 10 * event.Millisecond},
		{[]uint64{0, 0, 0, 1}, 100 * event.Millisecond},
	} {
		if got := histogramQuantile(test.counts, bounds, runQueueQuantile); got != test.want {
			t.Errorf("quantile of %v is %v, want %v", test.counts, got, test.want)
		}
	}
}

// TestRunQueueDelay: goroutines that wait behind a busy one are seen, and only until the next call.
func TestRunQueueDelay(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var q RunQueue
	q.Delay()
	busy := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); {
		}
	}
	done := make(chan bool)
	const goroutines = 200
	for range goroutines {
		go func() {
			busy(200 * time.Microsecond)
			done <- true
		}()
	}
	for range goroutines {
		<-done
	}
	if d := q.Delay(); d < 5*time.Millisecond {
		t.Errorf("delay of a busy processor is %v", d)
	}
	time.Sleep(50 * time.Millisecond)
	if d := q.Delay(); d > 5*time.Millisecond {
		t.Errorf("delay of an idle processor is %v", d)
	}
}

// newConnection returns both ends of a TCP connection with small buffers.
func newConnection(t *testing.T) (sender, receiver net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sender, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = sender.Close() })
	receiver, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = receiver.Close() })
	return sender, receiver
}

// TestAcknowledgementDelay: bytes count as acknowledged once the receiver's kernel has them, whether its process reads
// them or not.
func TestAcknowledgementDelay(t *testing.T) {
	var a Acknowledgements
	for range minSamples {
		sender, _ := newConnection(t)
		if _, err := sender.Write(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		a.Sent(sender)
		time.Sleep(sampleInterval)
		for deadline := time.Now().Add(maxAcknowledgement); a.Poll() && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
	}
	if d, ok := a.Median(); !ok || d > 100*time.Millisecond {
		t.Errorf("acknowledgement took %v, %v", d, ok)
	}
	if _, ok := a.Median(); ok {
		t.Error("samples were returned twice")
	}
}

// TestUnacknowledgedSend: a receiver without room delays the acknowledgement.
func TestUnacknowledgedSend(t *testing.T) {
	sender, receiver := newConnection(t)
	if err := sender.(*net.TCPConn).SetWriteBuffer(4 << 20); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = sender.Write(make([]byte, 16<<20)) }() // until the connection is closed
	time.Sleep(50 * time.Millisecond)
	var a Acknowledgements
	a.Sent(sender)
	time.Sleep(sampleInterval)
	if !a.Poll() {
		t.Fatal("bytes count as acknowledged that the receiver has no room for")
	}
	_ = receiver.Close() // resets the connection, so that nothing is unacknowledged
	for deadline := time.Now().Add(2 * maxAcknowledgement); a.Poll(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a send is watched for ever")
		}
	}
}

// TestWatchesFewSends: the cost of a poll is bounded.
func TestWatchesFewSends(t *testing.T) {
	var a Acknowledgements
	for range 3 * maxWatched {
		sender, _ := newConnection(t)
		a.Sent(sender)
		a.last = time.Time{}
	}
	if len(a.watched) != maxWatched {
		t.Errorf("%d sends are watched", len(a.watched))
	}
	a.Received(a.watched[0].conn)
	if len(a.watched) != maxWatched-1 || len(a.samples) != 1 {
		t.Errorf("after a response %d sends are watched, with %d samples", len(a.watched), len(a.samples))
	}
}

// TestCommonDelay: one fast sender among slow or idle ones shows that the link isn't full.
func TestCommonDelay(t *testing.T) {
	alike, mixed := make([]event.Duration, minUnrelated), make([]event.Duration, minUnrelated)
	for i := range alike {
		alike[i] = event.Duration(300+10*i) * event.Millisecond
		mixed[i] = event.Duration(300*i+1) * event.Millisecond
	}
	for name, c := range map[string]struct {
		samples []event.Duration
		want    event.Duration
		isKnown bool
	}{
		"full link":    {alike, alike[0], true},
		"slow senders": {mixed, 0, true},
		"few of them":  {alike[1:], 0, false},
		"none":         {nil, 0, false},
	} {
		var d Delays
		for _, sample := range c.samples {
			d.Add(sample)
		}
		if got, isKnown := d.Common(); got != c.want || isKnown != c.isKnown {
			t.Errorf("%s: %v, %v, want %v, %v", name, got, isKnown, c.want, c.isKnown)
		}
	}
}
