// SPDX-License-Identifier: MIT

package proc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lynxramp.org/engine"
)

// answer is what a caller got.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	err     error     // of the connection, when the answer is not whole
	began   time.Time // of the call; zero without an answer
	took    time.Duration
	request string // of the call's body
}

func (a answer) outcome() string  { return a.header.Get("Lynxramp-Outcome") }
func (a answer) endpoint() string { return a.header.Get("Lynxramp-Endpoint") }

var callers = &http.Client{Timeout: waitBound, Transport: &http.Transport{
	MaxIdleConnsPerHost: 64,
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
}}

// call sends a request of the gold team, or of the one in the header, and reads
// the whole answer.
func (c *cluster) call(box int, method, path, body string, h http.Header) answer {
	return send(context.Background(), method, "http://"+c.caller(box)+path, body, h)
}

func send(ctx context.Context, method, url, body string, h http.Header) answer {
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Authorization", "Bearer gold-team")
	for name, values := range h {
		r.Header[http.CanonicalHeaderKey(name)] = values
	}
	response, err := callers.Do(r)
	if err != nil {
		return answer{err: err, header: http.Header{}, request: body}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: data, err: err, began: began, took: time.Since(began), request: body}
}

// header returns headers from pairs.
func header(pairs ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

// completion returns a body of /v1/completions.
func completion(prompt string, tokens int, stream bool) string {
	data, _ := json.Marshal(engine.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: tokens, Stream: stream})
	return string(data)
}

// oracle is an engine beside the cluster that tells what an answer must be.
type oracle struct{ url string }

// newOracle starts a stand-in engine that is so fast that it does not matter.
func (c *cluster) newOracle() oracle {
	address := fmt.Sprintf("%s.250:%d", c.net, enginePort)
	p := c.process("oracle", "lynxramp", "engine", "--listen", address, "--speed", "200", "--batch", "256")
	p.start()
	o := oracle{url: "http://" + address}
	c.wait("oracle answers", func() bool {
		return send(context.Background(), http.MethodGet, o.url+"/load", "", nil).status == http.StatusOK
	})
	return o
}

// check fails the test unless an answer is, byte for byte, what the engine says
// when it is asked directly.
func (o oracle) check(t testing.TB, path string, a answer) {
	t.Helper()
	want := send(context.Background(), http.MethodPost, o.url+path, a.request, nil)
	if want.err != nil || want.status != http.StatusOK {
		t.Errorf("oracle: status %d, %v", want.status, want.err)
		return
	}
	if a.err != nil || a.status != http.StatusOK || !bytes.Equal(a.body, want.body) {
		t.Errorf("answer to %.60q: status %d, outcome %q, %v, %d bytes of %d\n%.300s", a.request, a.status, a.outcome(), a.err, len(a.body), len(want.body), a.body)
	}
}
