// SPDX-License-Identifier: MIT

// Package httphead checks the heads of HTTP/1 responses. net/http returns some to its callers that RFC 9110 and RFC 9112 do not
// allow.
package httphead

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// protocol is what the status line of each response begins with; a digit follows.
const protocol = "HTTP/1."

// MayBeStatusLine reports whether a status line can begin with these bytes.
func MayBeStatusLine(start []byte) bool {
	n := min(len(start), len(protocol))
	return string(start[:n]) == protocol[:n]
}

// checkStatusLine returns the status of a status line, without its end. It fails if the line is none of a response.
func checkStatusLine(line []byte) (int, error) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	if len(version) != len(protocol)+1 || !MayBeStatusLine(version) || !isDigit(version[len(protocol)]) {
		return 0, errors.Errorf("protocol %s is not HTTP/1", quote(version))
	}
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	if len(status) != 3 || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) {
		return 0, errors.Errorf("status %s is not a number of three digits", quote(status))
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return 0, errors.Errorf("reason phrase %s has a control character", quote(reason))
	}
	number := int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0')
	return number, checkStatus(number)
}

// maxStatus is the highest status that HTTP allows.
const maxStatus = 599

// IsFinal reports whether a status is that of a final response.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// checkStatus checks the status of a response to a request that asked for no upgrade (RFC 9110, sections 15 and 15.2.2).
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus {
		return errors.Errorf("status %03d is outside of %d to %d", status, http.StatusContinue, maxStatus)
	}
	if status == http.StatusSwitchingProtocols {
		return errors.Errorf("status %d without a request for an upgrade", status)
	}
	return nil
}

// checkFieldLine returns why a line, without its end, is no field line of a head, and doesn't continue one; nil if it is one. net/http
// accepts names with blanks. A blank before the colon is no exception: it may hide the length of a body (RFC 9112, section 5.1).
func checkFieldLine(line []byte) error {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return nil // it continues the value of the line before it (RFC 9112, section 5.2)
	}
	name, _, ok := bytes.Cut(line, []byte{':'})
	if !ok {
		return errors.Errorf("field line %s has no colon", quote(line))
	}
	return checkName(string(name))
}

func checkName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return errors.Errorf("field name %s is not a token", quote(name))
	}
	return nil
}

// trailerChecker is a body that fails at its end if the trailer is malformed.
type trailerChecker struct {
	io.ReadCloser
	response *http.Response
}

// CheckTrailer returns the body of a response that net/http reads. At its end it fails if a name in the trailer is not a token.
func CheckTrailer(r *http.Response) io.ReadCloser { return &trailerChecker{r.Body, r} }

// Read implements io.Reader.
func (b *trailerChecker) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name, values := range b.response.Trailer {
		if malformed := checkName(name); len(values) > 0 && malformed != nil { // one without values was announced only
			return n, errors.Wrap(malformed, "trailer")
		}
	}
	return n, err
}

// maxQuoted is how much of a peer's text an error has, in bytes.
const maxQuoted = 40

func quote[T []byte | string](text T) string {
	return strconv.Quote(string(text[:min(len(text), maxQuoted)]))
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
