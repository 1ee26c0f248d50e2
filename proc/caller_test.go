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

// result is the response that a caller received, or the error.
type result struct {
	status  int
	header  http.Header
	body    []byte
	err     error     // the response is missing or incomplete
	began   time.Time // start of the call; zero without a response
	took    time.Duration
	request string // body of the request
}

func (a result) outcome() string  { return a.header.Get("Lynxramp-Outcome") }
func (a result) endpoint() string { return a.header.Get("Lynxramp-Endpoint") }

var callers = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{
	MaxIdleConnsPerHost: 64,
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
}}

// call sends a request to an entry, as send does.
func (c *cluster) call(box int, method, path, body string, h http.Header) result {
	return send(context.Background(), method, "http://"+c.callerAddress(box)+path, body, h)
}

// send sends a request and reads the whole response. The key is that of gold-team
// unless h has another.
func send(ctx context.Context, method, url, body string, h http.Header) result {
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	r.Header.Set("Authorization", "Bearer gold-team")
	for name, values := range h {
		r.Header[http.CanonicalHeaderKey(name)] = values
	}
	response, err := callers.Do(r)
	if err != nil {
		return result{err: err, header: http.Header{}, request: body}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: data, err: err, began: began, took: time.Since(began), request: body}
}

// header returns headers from names and values in turn.
func header(pairs ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

// completion returns a request body for /v1/completions.
func completion(prompt string, tokens int, stream bool) string {
	data, _ := json.Marshal(engine.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: tokens, Stream: stream})
	return string(data)
}

// oracle is an engine outside the cluster that gives the expected responses.
type oracle struct{ url string }

// newOracle starts a fake engine that is fast enough not to slow the test down.
func (c *cluster) newOracle() oracle {
	address := fmt.Sprintf("%s.250:%d", c.subnet, enginePort)
	p := c.process("oracle", "lynxramp", "engine", "--listen", address, "--speed", "200", "--batch", "256")
	p.start()
	o := oracle{url: "http://" + address}
	c.waitFor("oracle answers", func() bool {
		return send(context.Background(), http.MethodGet, o.url+"/load", "", nil).status == http.StatusOK
	})
	return o
}

// check fails the test unless a response equals that of a direct call of the engine.
func (o oracle) check(t testing.TB, path string, a result) {
	t.Helper()
	want := send(context.Background(), http.MethodPost, o.url+path, a.request, nil)
	if want.err != nil || want.status != http.StatusOK {
		t.Errorf("the oracle answered with status %d, %v", want.status, want.err)
		return
	}
	if a.err != nil || a.status != http.StatusOK || !bytes.Equal(a.body, want.body) {
		t.Errorf("response to %.60q: status %d, outcome %q, %v, %d bytes of %d\n%.300s", a.request, a.status, a.outcome(), a.err, len(a.body), len(want.body), a.body)
	}
}
