// SPDX-License-Identifier: MIT

package httphead

import (
	"strings"
	"testing"
)

// TestStatusLine guards against status lines that aren't those of a response, and against sound ones that are refused.
func TestStatusLine(t *testing.T) {
	for line, sound := range map[string]bool{
		"HTTP/1.1 200 OK":                    true,
		"HTTP/1.0 200 OK":                    true,
		"HTTP/1.9 200 OK":                    true, // as the highest minor version that is known
		"HTTP/1.1 200 ":                      true,
		"HTTP/1.1 200":                       true,
		"HTTP/1.1  200 OK":                   true, // any white space separates (RFC 9112, section 4)
		"HTTP/1.1 100 Continue":              true,
		"HTTP/1.1 599 ":                      true,
		"HTTP/1.1 099 OK":                    false,
		"HTTP/1.1 000 OK":                    false,
		"HTTP/1.1 101 Switching Protocols":   false,
		"HTTP/1.1 600 OK":                    false,
		"HTTP/1.1 +20 OK":                    false,
		"HTTP/1.1 -20 OK":                    false,
		"HTTP/1.1 2000 OK":                   false,
		"HTTP/1.1 20 OK":                     false,
		"HTTP/1.1 2x0 OK":                    false,
		"HTTP/1.1":                           false,
		"HTTP/1.x 200 OK":                    false,
		"HTTP/1.10 200 OK":                   false,
		"HTTP/2.0 200 OK":                    false,
		"http/1.1 200 OK":                    false,
		" HTTP/1.1 200 OK":                   false,
		"HTTP/1.1\t200 OK":                   false,
		"":                                   false,
		"HTTP/1.1 " + strings.Repeat("2", 9): false,
	} {
		if _, err := checkStatusLine([]byte(line)); (err == nil) != sound {
			t.Errorf("%q: %v, sound: %t", line, err, sound)
		}
	}
}

// TestFieldLine guards against field lines that net/http accepts, or drops, though their names are not tokens.
func TestFieldLine(t *testing.T) {
	for line, sound := range map[string]bool{
		"X-Name: value":                   true,
		"x!#$%&'*+-.^_`|~9: value":        true,
		"X-Name:value":                    true,
		"X-Name:":                         true,
		"X-Name:  ":                       true,
		"X-Name: a: b":                    true,
		" continued":                      true,
		"\tcontinued":                     true,
		" ":                               true,
		"X Name: value":                   false,
		"X-Name : value":                  false,
		"X-Name\t: value":                 false,
		"X\x00Name: value":                false,
		"X\x01Name: value":                false,
		"X\rName: value":                  false,
		"X\x7fName: value":                false,
		"X\x80Name: value":                false,
		"é: value":                        false,
		"(X): value":                      false,
		"\"X\": value":                    false,
		": value":                         false,
		"value":                           false,
		strings.Repeat("a", 100) + " : b": false,
	} {
		if err := checkFieldLine([]byte(line)); (err == nil) != sound {
			t.Errorf("%q: %v, sound: %t", line, err, sound)
		}
	}
}

// TestErrorIsShort guards against errors, and lines of the log, as long as what a peer sends.
func TestErrorIsShort(t *testing.T) {
	long := strings.Repeat("\x00", 1<<16)
	for _, line := range []string{"HTTP/1." + long, "HTTP/1.1 " + long, "HTTP/1.1 200 " + long, long, long + ":"} {
		c := Checker{isInHead: !strings.HasPrefix(line, "HTTP")}
		if _, err := c.Line([]byte(line)); err == nil || len(err.Error()) > 300 {
			t.Errorf("an error of more than 300 bytes, or none: %.100v", err)
		}
	}
}
