// SPDX-License-Identifier: MIT

package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lynxramp.org/engine"
)

// Target is where requests are sent.
type Target struct {
	URL   string // http://IP:port
	Key   string // of a team; empty for an engine
	Model string
}

// client has room for many connections to one address.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
}

// post sends a completions call.
func post(ctx context.Context, c *http.Client, to Target, q engine.CompletionRequest) (*http.Response, error) {
	q.Model = to.Model
	body, err := json.Marshal(q)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, to.URL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if to.Key != "" {
		r.Header.Set("Authorization", "Bearer "+to.Key)
	}
	response, err := c.Do(r)
	return response, errors.Wrap(err, "call")
}

// stream makes a streamed call and returns the time to its first byte and the
// times between its parts.
func stream(ctx context.Context, c *http.Client, to Target, q engine.CompletionRequest) (first time.Duration, gaps []time.Duration, err error) {
	q.Stream = true
	began := time.Now()
	response, err := post(ctx, c, to, q)
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
