// SPDX-License-Identifier: MIT

package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lynxramp.org/engine"
	"lynxramp.org/internal/bounded"
)

// Target is the destination of requests.
type Target struct {
	URL   string // http://IP:port
	Key   string // key of a team; empty for an engine
	Model string
}

// newClient returns a client that keeps many idle connections to one host.
func newClient() *http.Client {
	transport := bounded.NewTransport(&net.Dialer{})
	transport.MaxIdleConnsPerHost = 1024
	return &http.Client{Transport: transport}
}

// post sends a completion request.
func post(ctx context.Context, c *http.Client, target Target, q engine.CompletionRequest) (*http.Response, error) {
	q.Model = target.Model
	body, err := json.Marshal(q)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target.URL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if target.Key != "" {
		r.Header.Set("Authorization", "Bearer "+target.Key)
	}
	response, err := c.Do(r)
	return response, errors.Wrap(err, "call")
}

// stream makes a streamed call and returns the time to its first byte and the
// times between its chunks.
func stream(ctx context.Context, c *http.Client, target Target, q engine.CompletionRequest) (first time.Duration, gaps []time.Duration, err error) {
	q.Stream = true
	began := time.Now()
	response, err := post(ctx, c, target, q)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, nil, errors.Errorf("status %d", response.StatusCode)
	}
	buf := make([]byte, 64<<10)
	last := time.Time{}
	for {
		n, err := response.Body.Read(buf)
		now := time.Now()
		switch {
		case n > 0 && last.IsZero():
			first = now.Sub(began)
			last = now
		case n > 0 && !bytes.HasPrefix(buf[:n], []byte("data: [DONE]")):
			gaps = append(gaps, now.Sub(last))
			last = now
		}
		if err == io.EOF {
			return first, gaps, nil
		}
		if err != nil {
			return first, gaps, errors.Wrap(err, "stream")
		}
	}
}
