//go:build review

// SPDX-License-Identifier: MIT

// Case 1: a replica whose answers are bytes that form no answer fills the memory of entries until they are killed.
package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"lynxramp.org/review/stand"
)

//go:embed config.json
var config string

const (
	entryMemory  = 134  // MB, of an entry of the site
	replicaCount = 4    // of each service
	spoiling     = 2    // replicas of lynx-scribe: a share of 0.5
	spoiledShare = 0.02 // of its answers
	traffic      = 75 * time.Second
	clients      = 16 // of lynx-scribe, and as many of archive-api that ask a tenth as often
	ends         = 3
	linkRate     = 1000e6 / 8 // bytes a second, of an entry's link
)

func main() {
	root, folder := os.Args[1], os.Args[2]
	record := stand.NewRecord()
	broken, err := play(record, root, os.Getenv("TROUBLE") != "0")
	code := 0
	switch {
	case err != nil:
		record.Add("the case could not run: %v", err)
		code = 2
	case broken:
		record.Add("Fault broken")
		code = 1
	default:
		record.Add("Fault held")
	}
	if err := record.Write(filepath.Join(folder, "record.txt")); err != nil {
		code = 2
	}
	fmt.Println("broken:", broken, "error:", err)
	os.Exit(code)
}

func play(record *stand.Record, root string, trouble bool) (broken bool, err error) {
	stand.EntryMemory = entryMemory
	f, err := stand.New(record, root, 3, 2)
	if err != nil {
		return false, err
	}
	defer f.Close()
	if err := f.PutConfig(config, 20*time.Second); err != nil {
		return false, err
	}
	for i := range replicaCount {
		spoils := trouble && i < spoiling
		for service, work := range map[string]func(*stand.Replica, http.ResponseWriter, *http.Request){"archive-api": answer, "lynx-scribe": stream(spoils)} {
			s, err := f.NewReplica(fmt.Sprintf("i-%s-%d", service, i+1), service, 6, work)
			if err != nil {
				return false, err
			}
			defer s.Close()
		}
	}
	b := f.NewBalancer()
	defer b.Close()
	if !b.AwaitAll(20 * time.Second) {
		return false, fmt.Errorf("the entries were not ready in time")
	}
	time.Sleep(2 * time.Second)
	ended := f.EnforceMemory()
	sent, served := send(f, b)
	record.Add("%d requests sent, %d served", sent, served)
	machines := 0
	for _, m := range f.Entries {
		n := ended(m)
		record.Add("%s: its process ended %d times for its memory", m.Name, n)
		if n >= ends {
			machines++
		}
	}
	if served < sent/2 {
		return machines >= 2, fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	return machines >= 2, nil
}

func answer(_ *stand.Replica, w http.ResponseWriter, r *http.Request) {
	time.Sleep(60 * time.Millisecond)
	w.Header().Set(stand.Wire.Signature, "signed."+r.Header.Get(stand.Wire.AttemptID))
	fmt.Fprintf(w, "answer to %s", r.Header.Get(stand.Wire.AttemptID))
}

// stream returns the work of a replica that answers with 20 events. If it spoils answers, some are bytes that form no
// answer, until the connection closes.
func stream(spoils bool) func(*stand.Replica, http.ResponseWriter, *http.Request) {
	return func(s *stand.Replica, w http.ResponseWriter, r *http.Request) {
		if spoils && rand.Float64() < spoiledShare {
			spoil(s, w, r.Header.Get(stand.Wire.AttemptID))
			return
		}
		w.Header().Set(stand.Wire.Signature, "signed."+r.Header.Get(stand.Wire.AttemptID))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 20 {
			fmt.Fprintf(w, "id: %d\ndata: piece\n\n", i+1)
			w.(http.Flusher).Flush()
			select {
			case <-time.After(20 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	}
}

func spoil(s *stand.Replica, w http.ResponseWriter, id string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	data := bytes.Repeat([]byte("spoiled "), 8<<10)
	total := 0
	for began := time.Now(); ; {
		time.Sleep(time.Until(began.Add(time.Duration(float64(total) / linkRate * float64(time.Second)))))
		n, err := c.Write(data)
		if total += n; err != nil {
			s.Note("%s: %d bytes that form no answer were taken until its connection closed", id, total)
			return
		}
	}
}

// send has clients of both services send requests one after the other on kept connections.
func send(f *stand.Fleet, b *stand.Balancer) (sent, served int64) {
	var (
		wait       sync.WaitGroup
		all, right atomic.Int64
	)
	end := time.Now().Add(traffic)
	for n := range 2 * clients {
		path, deadline, pause := "/record/1", 1500*time.Millisecond, time.Second
		if n%2 == 0 {
			path, deadline, pause = "/draft/1", 12*time.Second, 100*time.Millisecond
		}
		wait.Go(func() {
			var c *stand.Conn
			for i := 0; time.Now().Before(end); i++ {
				if c == nil {
					m := b.Pick()
					var err error
					if m != nil {
						c, err = f.Dial(m)
					}
					if m == nil || err != nil {
						c = nil
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				r := c.Send(http.MethodPost, path, "", "q", fmt.Sprintf("a-%d-%d", n, i), deadline)
				all.Add(1)
				if r.Err == nil && r.Status == http.StatusOK {
					right.Add(1)
				}
				if r.Err != nil || r.Header.Get("Connection") == "close" {
					_ = c.Close()
					c = nil
				}
				time.Sleep(pause)
			}
		})
	}
	wait.Wait()
	return all.Load(), right.Load()
}
