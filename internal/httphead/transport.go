// SPDX-License-Identifier: MIT

package httphead

import (
	"cmp"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// maxInterim is the limit of the interim responses before a final one.
const maxInterim = 8

// RoundTrip sends a request with a transport of net/http and returns its response. It fails if the response, an interim one before
// it, or at the end of the body its trailer is malformed. The reason phrase of an interim response is not known to it.
func RoundTrip(transport http.RoundTripper, r *http.Request) (*http.Response, error) {
	interim := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		if interim++; interim > maxInterim {
			return errors.Errorf("malformed response: more than %d interim ones", maxInterim)
		}
		return errors.Wrap(checkInterim(http.Header(header)), "malformed interim response")
	}}
	response, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := check(response); err != nil {
		_ = response.Body.Close() // it is not read
		return nil, errors.Wrap(err, "malformed response")
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = CheckTrailer(response)
	}
	return response, nil
}

// check returns why a response that net/http has read is malformed; nil if it is not.
func check(r *http.Response) error {
	isHTTP2 := r.TLS != nil && r.TLS.NegotiatedProtocol == "h2"
	if r.ProtoMajor != 1 && !isHTTP2 {
		return errors.Errorf("protocol %s is not HTTP/1", quote(r.Proto))
	}
	if err := checkStatus(r.StatusCode); err != nil {
		return err
	}
	if !httpguts.ValidHeaderFieldValue(r.Status) {
		return errors.Errorf("status %s has a control character", quote(r.Status))
	}
	return checkNames(r.Header)
}

// checkInterim returns why the head of an interim response is malformed; nil if it is not.
func checkInterim(header http.Header) error {
	if length := header.Get("Content-Length"); cmp.Or(length, "0") != "0" {
		return ErrInterimBody
	}
	return checkNames(header)
}

func checkNames(header http.Header) error {
	for name := range header {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}
