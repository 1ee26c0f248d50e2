// SPDX-License-Identifier: MIT

package reqlimit

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lynxramp.org/heldmem"
)

// testLimiter is a limiter that counts what it refuses.
type testLimiter struct {
	Limiter
	account *heldmem.Account
	mu      sync.Mutex
	refused map[Reason]int
}

func newTestLimiter(bytes int64) *testLimiter {
	l := &testLimiter{account: heldmem.NewAccount(heldmem.Limits{Total: bytes}), refused: make(map[Reason]int)}
	l.Account = func() *heldmem.Account { return l.account }
	l.Refused = func(_ string, why Reason, _, _ int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.refused[why]++
	}
	return l
}

// TestBodyLimits guards against bodies that are each within the limit and together fill the memory, a limit that is off
// by a byte, and memory that is not released.
func TestBodyLimits(t *testing.T) {
	const limit, account = 100_000, 400_000
	read := func(l *testLimiter, length int) (func(), error) {
		r := httptest.NewRequest(http.MethodPut, "/", strings.NewReader(strings.Repeat("x", length)))
		data, release, err := l.ReadBody(httptest.NewRecorder(), r, limit, time.Second)
		if err == nil && len(data) != length {
			t.Errorf("%d of %d bytes were read", len(data), length)
		}
		return release, err
	}
	l := newTestLimiter(account)
	for length, want := range map[int]error{0: nil, 1: nil, firstBody: nil, limit: nil, limit + 1: ErrBodyTooLong, 10 * limit: ErrBodyTooLong} {
		release, err := read(l, length)
		if !errors.Is(err, want) {
			t.Errorf("a body of %d bytes: %v, want %v", length, err, want)
		}
		release()
	}
	var releases []func()
	for range 8 {
		release, err := read(l, limit)
		if err != nil && !errors.Is(err, ErrBodyMemory) {
			t.Fatal(err)
		}
		releases = append(releases, release)
	}
	if held := l.account.Held(heldmem.KindBody); held > account*3/4 || held < 2*limit {
		t.Errorf("%d bytes are held", held)
	}
	if release, err := read(l, freeBody-1); err != nil {
		t.Errorf("a small body beside them: %v", err)
	} else {
		release()
	}
	for _, release := range releases {
		release()
	}
	if held := l.account.Held(heldmem.KindBody); held != 0 || l.refused[BodyMemory] == 0 || l.refused[BodyBytes] != 2 {
		t.Errorf("%d bytes are held at the end, refused %v", held, l.refused)
	}
}

// slowBody is a request body that arrives in chunks.
type slowBody struct {
	chunks int
	pause  time.Duration
	stall  time.Duration // before the last chunk
}

const bodyChunk = "a piece of a configuration "

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.chunks == 0 {
		return 0, io.EOF
	}
	if b.chunks--; b.chunks == 0 {
		time.Sleep(b.stall)
	}
	time.Sleep(b.pause)
	return copy(p, bodyChunk), nil
}

// TestSlowConfigurationUpload: a slow upload of a configuration has no total time limit; a stalled one
// must not hold its memory until the sender disconnects.
func TestSlowConfigurationUpload(t *testing.T) {
	const idleTimeout, chunks = 300 * time.Millisecond, 10
	read := make(chan int, 1)
	failed := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, release, err := newTestLimiter(1<<20).ReadBody(w, r, 32<<20, idleTimeout)
		defer release()
		read <- len(data)
		failed <- err
	}))
	defer server.Close()
	for name, c := range map[string]struct {
		body     slowBody
		succeeds bool
	}{
		"slow":    {slowBody{chunks: chunks, pause: idleTimeout / 3}, true},
		"stalled": {slowBody{chunks: chunks, stall: 4 * idleTimeout}, false},
	} {
		t.Run(name, func(t *testing.T) {
			q, err := http.NewRequest(http.MethodPut, server.URL, &c.body)
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			go func() {
				if a, err := http.DefaultClient.Do(q); err == nil {
					_ = a.Body.Close()
				}
			}()
			n, err := <-read, <-failed
			if (err == nil) != c.succeeds || (c.succeeds && n != chunks*len(bodyChunk)) {
				t.Errorf("%d bytes were read, error %v, want success: %t", n, err, c.succeeds)
			}
			if took := time.Since(began); !c.succeeds && took > 3*idleTimeout {
				t.Errorf("a stalled body was held for %v", took)
			}
		})
	}
}
