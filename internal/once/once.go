// SPDX-License-Identifier: MIT

// Package once helps to send an HTTP request at most once. net/http sends some
// requests a second time by itself when a kept-alive connection turns out to be
// closed; what is dispatched at most once must not be.
package once

import (
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// body hides its reader's type from net/http, which then has no way to begin the
// request again.
type body struct{ io.Reader }

// Close implements io.Closer.
func (body) Close() error { return nil }

// SetBody gives r a body of a known length that is sent once.
func SetBody(r *http.Request, content io.Reader, length int) {
	r.Body = body{content}
	r.ContentLength = int64(length)
	r.GetBody = nil
}

// IsDialError reports whether err came before a connection stood: the other
// side has seen nothing of the request.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
