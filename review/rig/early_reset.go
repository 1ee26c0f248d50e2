//go:build review

// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["early-reset"] = playEarlyReset }

const (
	longBody   = 4000000   // of a request, in bytes; the limit of the configuration is 4 MiB
	longAnswer = 300 << 10 // of a replica, in bytes
	// earlyOne in so many answers are given before the request is in, without a length.
	earlyOne = 20
	readHead = 64 << 10 // bytes of a request that a replica has read when it answers early
	uploads  = 240      // requests in all
	parallel = 4
)

// playEarlyReset: replicas answer one long request in twenty before they have read it, without a length, and close the
// connection. As bytes of the request are unread, the connection is reset, and the rest of the answer is lost.
func playEarlyReset(f *fleet, trouble bool) ([]string, error) {
	config := map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r", "hostname": "a.example", "pathPrefix": "/r/", "kind": wire["once"], "timeoutMs": 5000, wire["target"]: 2000,
			"priority": 0, "service": "api", "maxAttempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": "api", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{},
	}
	f.settings["contracts|json"] = `["base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants","quota","pressure"]`
	if err := f.start(config); err != nil {
		return nil, err
	}
	var began, early atomic.Int64
	for i := range 4 {
		isEarly := func() bool { return trouble && began.Add(1)%earlyOne == 0 }
		if err := f.newUploadReplica(fmt.Sprintf("i-%d", i+1), isEarly, &early); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var broken []string
	whole, failed, short := 0, 0, 0
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: parallel}}
	var next atomic.Int64
	var wait sync.WaitGroup
	for range parallel {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := next.Add(1); n <= uploads; n = next.Add(1) {
				id := fmt.Sprintf("%016x", n)
				status, signature, body, err := f.upload(client, int(n), id)
				mu.Lock()
				switch {
				case err != nil || status != http.StatusOK || signature == "":
					failed++
				case bytes.Equal(body, answerOf(id)):
					whole++
				default:
					short++
					broken = append(broken, fmt.Sprintf("MIXED: request %s got status 200 with the signature %q and a body that ends as if it were complete: %d bytes of %d", id, signature, len(body), longAnswer))
				}
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	f.rec.line("summary", "%d requests: %d whole answers, %d failures, %d short answers that look complete; %d were answered early", uploads, whole, failed, short, early.Load())
	if whole < uploads/2 || trouble && early.Load() == 0 {
		return nil, fmt.Errorf("%d whole answers and %d early ones of %d", whole, early.Load(), uploads)
	}
	return broken, nil
}

// upload sends one long request and returns what the client sees.
func (f *fleet) upload(client *http.Client, n int, id string) (status int, signature string, body []byte, err error) {
	entries := f.entries()
	b := entries[n%len(entries)]
	r, err := http.NewRequest(http.MethodPost, "http://"+b.ip+":"+f.frontPort+"/r/upload", bytes.NewReader(make([]byte, longBody)))
	if err != nil {
		return 0, "", nil, err
	}
	r.GetBody = nil // the transport must not send it again by itself
	r.Host = "a.example"
	r.Header.Set(wire["attempt"], id)
	r.Header.Set(wire["deadline"], "5000")
	f.rec.line("sent", "%s POST /r/upload with %d bytes to %s", id, longBody, b.name)
	a, err := client.Do(r)
	if err == nil {
		body, err = io.ReadAll(a.Body)
		_ = a.Body.Close()
		status, signature = a.StatusCode, a.Header.Get(wire["signature"])
	}
	f.rec.line("answer", "%s status=%d signature=%q bytes=%d error=%v", id, status, signature, len(body), err)
	return status, signature, body, err
}

// answerOf returns the whole body of the answer to a request.
func answerOf(id string) []byte {
	return bytes.Repeat([]byte(id), longAnswer/len(id)+1)[:longAnswer]
}

// newUploadReplica starts a replica that may answer before it has read a request.
func (f *fleet) newUploadReplica(id string, isEarly func() bool, early *atomic.Int64) error {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.2.1:0", f.network))
	if err != nil {
		return err
	}
	r := f.newStandIn(id, "api", "v1", 6, l.Addr().String())
	r.server = &http.Server{} // not used
	r.closeListener = l.Close
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serveUploads(c, id, isEarly, early)
		}
	}()
	return r.register()
}

// serveUploads serves the requests of a connection.
func (f *fleet) serveUploads(c net.Conn, replica string, isEarly func() bool, early *atomic.Int64) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := q.Header.Get(wire["attempt"])
		f.rec.line("run", "%s at %s", id, replica)
		head := "HTTP/1.1 200 OK\r\n" + wire["attempt"] + ": " + id + "\r\n" + wire["signature"] + ": signed-" + replica + "-" + id + "\r\n"
		if isEarly() {
			early.Add(1)
			_, _ = io.CopyN(io.Discard, q.Body, readHead) // the rest is not read
			n, err := c.Write(append([]byte(head+"Connection: close\r\n\r\n"), answerOf(id)...))
			f.rec.line("early", "%s at %s: %d bytes written, error=%v; closing with the rest of the request unread", id, replica, n, err)
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if _, err := c.Write(append([]byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, longAnswer)), answerOf(id)...)); err != nil {
			return
		}
	}
}
