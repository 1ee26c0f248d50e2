// SPDX-License-Identifier: MIT

package bounded

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lynxramp.org/internal/scripted"
)

// TestMalformedResponsesAreErrors guards against malformed responses that clients take for sound ones.
func TestMalformedResponsesAreErrors(t *testing.T) {
	for name, text := range scripted.Malformed("spoiled") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := &http.Client{Transport: NewTransport(&net.Dialer{}), Timeout: time.Second}
			defer client.CloseIdleConnections()
			began := time.Now()
			response, err := client.Get("http://" + scripted.Serve(t, text))
			if err == nil {
				_ = response.Body.Close() // it must not be there
				t.Errorf("a response with status %q was returned", response.Status)
			}
			if took := time.Since(began); took > 500*time.Millisecond {
				t.Errorf("the error took %v", took)
			}
		})
	}
}

// TestKeptConnectionsAreWatched guards against responses on kept connections that are not checked, or are checked from another byte on
// than they begin with.
func TestKeptConnectionsAreWatched(t *testing.T) {
	const (
		short     = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"
		empty     = "HTTP/1.1 204 No Content\r\n\r\n"
		chunked   = "HTTP/1.1 103 Hint\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\nX-Sum: 1\r\n\r\n"
		malformed = "HTTP/1.1 103 \x01\r\n\r\n" + short
	)
	long := "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("a", 20_000) + "\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("HTTP/1.1 000\r\n\r\n", 6250)[:100_000]
	for _, texts := range [][]string{{short, malformed}, {empty, empty, malformed}, {chunked, short, malformed}, {long, empty, long, chunked, malformed}} {
		client := &http.Client{Transport: NewTransport(&net.Dialer{}), Timeout: 5 * time.Second}
		address := scripted.Serve(t, texts...)
		for i := range texts {
			response, err := client.Post("http://"+address, "text/plain", strings.NewReader("q"))
			if isSound := i < len(texts)-1; (err == nil) != isSound {
				t.Errorf("response %d of %.200q: error %v, sound: %t", i, texts, err, isSound)
			}
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				t.Errorf("response %d of %.200q: %v", i, texts, err)
			}
			_ = response.Body.Close() // it was read
		}
		client.CloseIdleConnections()
	}
}

// TestMalformedTrailerFailsBody guards against bodies that look complete though their trailer is malformed.
func TestMalformedTrailerFailsBody(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n"
	for trailer, isSound := range map[string]bool{"X Bad: 1\r\n": false, "X-Bad : 1\r\n": false, "X\x01Bad: 1\r\n": false, "X-Good: 1\r\n": true, "": true} {
		client := &http.Client{Transport: NewTransport(&net.Dialer{}), Timeout: time.Second}
		response, err := client.Get("http://" + scripted.Serve(t, start+trailer+"\r\n"))
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(response.Body)
		if string(data) != "sound" || (err == nil) != isSound {
			t.Errorf("trailer %q: body %q, error %v, sound: %t", trailer, data, err, isSound)
		}
		_ = response.Body.Close() // only read
		client.CloseIdleConnections()
	}
}

// TestUnusualResponsesAreTaken guards against sound responses that are refused.
func TestUnusualResponsesAreTaken(t *testing.T) {
	for name, text := range map[string]string{
		"HTTP/1.0":           "HTTP/1.0 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
		"no reason phrase":   "HTTP/1.1 200\r\nContent-Length: 6\r\n\r\nanswer",
		"other phrase":       "HTTP/1.1 200 \xe9 \t\r\nContent-Length: 6\r\n\r\nanswer",
		"empty value":        "HTTP/1.1 200 OK\r\nX-Empty:\r\nContent-Length: 6\r\n\r\nanswer",
		"interim responses":  interim + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
		"unusual name":       "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: 1\r\nContent-Length: 6\r\n\r\nanswer",
		"folded value":       "HTTP/1.1 200 OK\r\nX-Long: a\r\n b\r\nContent-Length: 6\r\n\r\nanswer",
		"ends of lines: LF":  "HTTP/1.1 200 OK\nContent-Length: 6\n\nanswer",
		"unknown status":     "HTTP/1.1 299 Other\r\nContent-Length: 6\r\n\r\nanswer",
		"chunks and trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n6\r\nanswer\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		client := &http.Client{Transport: NewTransport(&net.Dialer{}), Timeout: time.Second}
		response, err := client.Get("http://" + scripted.Serve(t, text))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if data, err := io.ReadAll(response.Body); string(data) != "answer" || err != nil {
			t.Errorf("%s: body %q, error %v", name, data, err)
		}
		_ = response.Body.Close() // only read
		client.CloseIdleConnections()
	}
}

const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\nContent-Length: 0\r\n\r\n"
