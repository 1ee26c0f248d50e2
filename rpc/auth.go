// SPDX-License-Identifier: MIT

package rpc

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"lynxramp.org/internal/bounded"
)

// HeaderKey carries the key that the system's own processes share.
const HeaderKey = "Lynxramp-Box-Key"

// MaxMessage bounds the body of a call between the system's processes, in bytes.
const MaxMessage = 8 << 20

var refusedCalls = metrics.NewCounter("lynxramp_box_calls_refused_total")

// RequireKey lets only calls with the shared key through to next, and bounds
// their bodies. An empty key lets every call through.
func RequireKey(key string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get(HeaderKey)))
		if key != "" && subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			refusedCalls.Inc()
			http.Error(w, "box key is missing or wrong", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxMessage)
		next.ServeHTTP(w, r)
	})
}

// keyTransport adds the shared key to each call.
type keyTransport struct {
	key  string
	base http.RoundTripper
}

// WithKey returns a transport that adds the shared key to what base sends.
func WithKey(key string, base http.RoundTripper) http.RoundTripper {
	return &keyTransport{key: key, base: base}
}

// NewClient returns a client for generated clients, which read whole bodies. It adds the shared key to each call and limits
// the bodies of responses to MaxMessage.
func NewClient(key string, base http.RoundTripper) *http.Client {
	return &http.Client{Transport: WithKey(key, bounded.LimitBodies(base, MaxMessage))}
}

// RoundTrip implements http.RoundTripper.
func (t *keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(HeaderKey, t.key)
	r.Header["User-Agent"] = nil // between boxes it only costs bytes
	return t.base.RoundTrip(r)
}
