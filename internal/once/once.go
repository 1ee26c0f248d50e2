// SPDX-License-Identifier: MIT

// Package once sends HTTP requests at most once. net/http retries some requests
// by itself when a keep-alive connection turns out to be closed, which would
// dispatch a request twice.
package once

import (
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// body hides the type of its reader from net/http, which then cannot rewind the
// body for a retry.
type body struct{ io.Reader }

// Close implements io.Closer.
func (body) Close() error { return nil }

// SetBody sets a body of known length that net/http cannot send a second time.
func SetBody(r *http.Request, content io.Reader, length int) {
	r.Body = body{content}
	r.ContentLength = int64(length)
	r.GetBody = nil
}

// IsDialError reports whether err occurred while connecting, so that no part of
// the request has reached the server.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
