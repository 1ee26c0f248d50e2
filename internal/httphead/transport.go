// SPDX-License-Identifier: MIT

package httphead

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// maxInterim is the limit of the interim responses before a final one.
const maxInterim = 8

// watch checks the heads of one response as they are read.
type watch struct {
	checker Checker
	line    []byte // the part of the current line that was read
	ended   bool
	err     error
}

// read checks the next bytes of the connection, up to the end of the final head.
func (w *watch) read(p []byte) {
	for !w.ended && w.err == nil && len(p) > 0 {
		part, rest, isWhole := bytes.Cut(p, []byte{'\n'})
		w.line = append(w.line, part...) // the transport bounds what it reads of a head
		p = rest
		if isWhole {
			w.ended, w.err = w.checker.Line(bytes.TrimSuffix(w.line, []byte{'\r'}))
			w.line = w.line[:0]
		}
	}
}

// result returns why the response is malformed; nil if it is not.
func (w *watch) result() error {
	if !w.ended && w.err == nil {
		return errors.New("its head has no end")
	}
	return w.err
}

// watchedConn is a connection whose responses are watched. The transport uses it for one response at a time.
type watchedConn struct {
	net.Conn
	last  []byte // what was read last
	watch *watch // nil if no head is awaited
	err   error  // of a malformed response, after which nothing more is read
}

// Read implements io.Reader.
func (c *watchedConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	c.last = p[:n]
	if c.watch != nil {
		c.checkLast(c.watch)
	}
	return n, err
}

// checkLast checks what was read last, which a response begins with or which continues it, and watches the rest of its heads.
func (c *watchedConn) checkLast(w *watch) {
	w.read(c.last)
	c.watch, c.err = w, w.err
	if w.ended {
		c.watch = nil
	}
}

// Dial returns a function that connects with a dialer, for an http.Transport that RoundTrip uses.
func Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: c}, nil
	}
}

// RoundTrip sends a request with a transport that connects by Dial, and returns its response. It fails if the response, an interim
// one before it, or at the end of the body its trailer is malformed. With TLS it sees only what net/http has made of the final head.
func RoundTrip(transport http.RoundTripper, r *http.Request) (*http.Response, error) {
	var conn net.Conn
	w := &watch{}
	interim := 0
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { conn = i.Conn },
		GotFirstResponseByte: func() {
			if c, ok := conn.(*watchedConn); ok {
				c.checkLast(w)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			if interim++; interim > maxInterim {
				return errors.Errorf("malformed response: more than %d interim ones", maxInterim)
			}
			return nil
		},
	}
	response, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	err = checkParsed(response)
	if _, ok := conn.(*watchedConn); ok {
		err = w.result()
	}
	if err != nil {
		_ = response.Body.Close() // it is not read
		return nil, errors.Wrap(err, "malformed response")
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = CheckTrailer(response)
	}
	return response, nil
}

// checkParsed returns why a response that net/http has read is malformed; nil if it is not.
func checkParsed(r *http.Response) error {
	if err := checkStatus(r.StatusCode); err != nil {
		return err
	}
	if !httpguts.ValidHeaderFieldValue(r.Status) {
		return errors.Errorf("status %s has a control character", quote(r.Status))
	}
	for name := range r.Header {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}
