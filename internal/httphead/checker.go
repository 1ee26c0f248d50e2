// SPDX-License-Identifier: MIT

package httphead

import (
	"bytes"

	"github.com/pkg/errors"
)

// Faults in how a head marks the end of its response.
var (
	errCodingInHTTP10 = errors.New("HTTP/1.0 has no transfer codings")         // RFC 9112, section 6.1
	errInterimBody    = errors.New("an interim response must not have a body") // RFC 9110, section 8.6
)

// Checker checks the heads of a response, interim ones and the final one, line by line. The zero value awaits the first line.
type Checker struct {
	head
	isInHead bool
}

// head is what the lines of the current head say.
type head struct {
	isInterim bool
	isHTTP10  bool
	hasCoding bool // net/http ignores and removes that of HTTP/1.0
	hasLength bool // other than 0
}

// Line checks the next line, without its end. It reports whether it is the last one of the final response's head. After an error
// the checker must not be used.
func (c *Checker) Line(line []byte) (isLast bool, err error) {
	switch {
	case !c.isInHead:
		status, err := checkStatusLine(line)
		if err != nil {
			return false, err
		}
		c.isInHead = true
		c.head = head{isInterim: !IsFinal(status), isHTTP10: line[len(protocol)] == '0'}
		return false, nil
	case len(line) > 0:
		c.observeField(line)
		return false, checkFieldLine(line)
	case c.isHTTP10 && c.hasCoding:
		return false, errCodingInHTTP10
	case c.isInterim && (c.hasCoding || c.hasLength):
		return false, errInterimBody
	}
	c.isInHead = false
	return !c.isInterim, nil
}

func (c *Checker) observeField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		c.hasCoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		c.hasLength = c.hasLength || string(bytes.TrimSpace(value)) != "0"
	}
}
