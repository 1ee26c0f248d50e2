// SPDX-License-Identifier: MIT

// Package bounded has HTTP transports that limit what a server can make its client keep in memory, and that refuse malformed
// responses.
package bounded

import (
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"lynxramp.org/internal/httphead"
)

// MaxHead is the limit of the head of a response, in bytes.
const MaxHead = 64 << 10

// ErrBodyTooLong is returned by a read of a body beyond its limit.
var ErrBodyTooLong = errors.New("response body is too long")

// Transport is an http.Transport that fails if a response is malformed.
type Transport struct{ http.Transport }

// NewTransport returns a transport that connects with a dialer, limits the heads of responses to MaxHead and requests no compression.
func NewTransport(d *net.Dialer) *Transport {
	return &Transport{http.Transport{
		DialContext:            httphead.Dial(d),
		ForceAttemptHTTP2:      true, // a DialContext turns it off
		MaxResponseHeaderBytes: MaxHead,
		DisableCompression:     true,
	}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return httphead.RoundTrip(&t.Transport, r)
}

// LimitBodies returns a transport that fails reads of responses' bodies beyond a number of bytes. Callers that read a
// whole body, as generated clients do, then keep no more than that.
func LimitBodies(base http.RoundTripper, bytes int64) http.RoundTripper {
	return &bodyLimiter{base: base, limit: bytes}
}

type bodyLimiter struct {
	base  http.RoundTripper
	limit int64
}

// RoundTrip implements http.RoundTripper.
func (t *bodyLimiter) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, rest: t.limit}
	return response, nil
}

type limitedBody struct {
	io.ReadCloser
	rest int64 // bytes that may still be read
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.rest+1 {
		p = p[:b.rest+1]
	}
	n, err := b.ReadCloser.Read(p)
	if b.rest -= int64(n); b.rest < 0 {
		return 0, ErrBodyTooLong
	}
	return n, err
}
