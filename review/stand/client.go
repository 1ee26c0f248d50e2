//go:build review

// SPDX-License-Identifier: MIT

package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Result is what a client saw of one request.
type Result struct {
	ID, Entry, Body string
	Header          http.Header
	Sent, Ended     time.Time
	Status          int
	Err             error // without a complete answer
}

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	entry  *Machine
	reader *bufio.Reader
	fleet  *Fleet
}

// Dial opens a connection to an entry.
func (f *Fleet) Dial(m *Machine) (*Conn, error) {
	c, err := net.DialTimeout("tcp", m.Front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, entry: m, reader: bufio.NewReader(c), fleet: f}, nil
}

// Send sends a request with its id and reads the answer.
func (c *Conn) Send(method, path, headers, body, id string, deadline time.Duration) Result {
	r := Result{ID: id, Entry: c.entry.Name, Sent: time.Now()}
	_ = c.SetDeadline(r.Sent.Add(deadline + time.Second))
	c.fleet.Record.Add("client: %s sent to %s: %s %s, deadline %d ms", id, c.entry.Name, method, path, deadline.Milliseconds())
	_, r.Err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, Wire.AttemptID, id, Wire.Deadline, deadline.Milliseconds(), headers, len(body), body)
	if r.Err == nil {
		r.read(c, method)
	}
	r.Ended = time.Now()
	if r.Err != nil {
		c.fleet.Record.Add("client: %s has no complete answer after %.3f s: %v", id, r.Ended.Sub(r.Sent).Seconds(), r.Err)
	} else {
		c.fleet.Record.Add("client: %s answered %d %.60q after %.3f s, signature %q", id, r.Status, r.Body, r.Ended.Sub(r.Sent).Seconds(), r.Header.Get(Wire.Signature))
	}
	return r
}

func (r *Result) read(c *Conn, method string) {
	a, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		r.Err = err
		return
	}
	defer a.Body.Close()
	r.Status, r.Header = a.StatusCode, a.Header
	data, err := io.ReadAll(a.Body)
	r.Body, r.Err = string(data), err
}
