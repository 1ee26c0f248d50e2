//go:build review

// SPDX-License-Identifier: MIT

// Case 1: a replica whose answers are bytes that form no answer fills the memory of entries until they are killed.
package main

import (
	"bytes"
	_ "embed"
	"fmt"
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
	entryMemory  = 134 // MB, of an entry of the site
	replicaCount = 4   // of each service
	spoiling     = 2   // replicas of lynx-scribe: a share of 0.5
	everyNth     = 50  // of their answers is spoiled: a share of 0.02 at most
	spellAt      = 4 * time.Second
	spell        = 5 * time.Second
	traffic      = 13 * time.Second
	clients      = 24         // of each service
	linkRate     = 1000e6 / 8 // bytes a second, of an entry's link
	mostClosed   = 3          // kept connections that a machine may close without an answer
)

// Routes with their timeoutMs and the clients' deadlines.
var (
	record = call{"/record/1", 800 * time.Millisecond, 1500 * time.Millisecond}
	draft  = call{"/draft/1", 12 * time.Second, 12 * time.Second}
)

type call struct {
	path              string
	timeout, deadline time.Duration
}

// sent is a request with what its client saw.
type sent struct {
	stand.Result
	call   call
	isKept bool // an earlier request on its connection was answered
}

func main() {
	root, folder := os.Args[1], os.Args[2]
	log := stand.NewRecord()
	broken, err := play(log, root, os.Getenv("TROUBLE") != "0")
	code := 0
	switch {
	case err != nil:
		log.Add("the case could not run: %v", err)
		code = 2
	case broken:
		log.Add("LOST broken")
		code = 1
	default:
		log.Add("LOST held")
	}
	if err := log.Write(filepath.Join(folder, "record.txt")); err != nil {
		code = 2
	}
	fmt.Println("broken:", broken, "error:", err)
	os.Exit(code)
}

func play(log *stand.Record, root string, trouble bool) (broken bool, err error) {
	stand.EntryMemory = entryMemory
	f, err := stand.New(log, root, 3, 2)
	if err != nil {
		return false, err
	}
	defer f.Close()
	if err := f.PutConfig(config, 20*time.Second); err != nil {
		return false, err
	}
	var isSpell atomic.Bool
	var sound []*stand.Replica
	for i := range replicaCount {
		isSound := i >= spoiling
		for service, work := range map[string]func(*stand.Replica, http.ResponseWriter, *http.Request){"archive-api": answer, "lynx-scribe": stream(isSound, &isSpell)} {
			s, err := f.NewReplica(fmt.Sprintf("i-%s-%d", service, i+1), service, 6, work)
			if err != nil {
				return false, err
			}
			defer s.Close()
			if isSound || service == "archive-api" {
				sound = append(sound, s)
			}
		}
	}
	b := f.NewBalancer()
	defer b.Close()
	if !b.AwaitAll(20 * time.Second) {
		return false, fmt.Errorf("the entries were not ready in time")
	}
	time.Sleep(2 * time.Second)
	ended := f.EnforceMemory()
	if trouble {
		time.AfterFunc(spellAt, func() {
			log.Add("replicas begin to spoil answers")
			isSpell.Store(true)
		})
		time.AfterFunc(spellAt+spell, func() {
			isSpell.Store(false)
			log.Add("replicas spoil no more")
		})
	}
	list := send(f, b)
	served := 0
	closed := make(map[string]int)
	for _, r := range list {
		if r.Err == nil && r.Status == http.StatusOK {
			served++
		}
		if isClosed(log, r, sound) {
			closed[r.Entry]++
		}
	}
	log.Add("%d requests sent, %d served", len(list), served)
	for _, m := range f.Entries {
		log.Add("%s: its process ended %d times for its memory; %d kept connections closed without an answer that a sound replica was to give",
			m.Name, ended(m), closed[m.Name])
		broken = broken || closed[m.Name] > mostClosed
	}
	if served < len(list)/2 {
		return broken, fmt.Errorf("only %d of %d requests were served", served, len(list))
	}
	return broken, nil
}

// isClosed reports whether a kept connection was closed without an answer to a request that had been passed on to a sound
// replica, before the deadline and the route's timeout.
func isClosed(log *stand.Record, r sent, sound []*stand.Replica) bool {
	if r.Err == nil || r.Status != 0 || !r.isKept || r.Ended.Sub(r.Sent) >= min(r.call.timeout, r.call.deadline) {
		return false
	}
	for _, s := range sound {
		for _, run := range s.Runs(r.ID) {
			log.Add("%s: the kept connection of %s was closed %.3f s after sound replica %s began to run it", r.Entry, r.ID, r.Ended.Sub(run.Began).Seconds(), run.Replica)
			return true
		}
	}
	return false
}

func answer(_ *stand.Replica, w http.ResponseWriter, r *http.Request) {
	time.Sleep(60 * time.Millisecond)
	w.Header().Set(stand.Wire.Signature, "signed."+r.Header.Get(stand.Wire.AttemptID))
	fmt.Fprintf(w, "answer to %s", r.Header.Get(stand.Wire.AttemptID))
}

// stream returns the work of a replica that answers with a few events. One that is not sound spoils some answers during
// the spell: they are bytes that form no answer, until the connection closes or the spell is over.
func stream(isSound bool, isSpell *atomic.Bool) func(*stand.Replica, http.ResponseWriter, *http.Request) {
	var answers atomic.Int64 // in the spell
	return func(s *stand.Replica, w http.ResponseWriter, r *http.Request) {
		if !isSound && isSpell.Load() && answers.Add(1)%everyNth == 0 {
			spoil(s, w, r.Header.Get(stand.Wire.AttemptID), isSpell)
			return
		}
		time.Sleep(60 * time.Millisecond)
		w.Header().Set(stand.Wire.Signature, "signed."+r.Header.Get(stand.Wire.AttemptID))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 3 {
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

func spoil(s *stand.Replica, w http.ResponseWriter, id string, isSpell *atomic.Bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	data := bytes.Repeat([]byte("spoiled "), 8<<10)
	total := 0
	for began := time.Now(); isSpell.Load(); {
		time.Sleep(time.Until(began.Add(time.Duration(float64(total) / linkRate * float64(time.Second)))))
		n, err := c.Write(data)
		if total += n; err != nil {
			break
		}
	}
	s.Note("%s: %d bytes that form no answer were taken until its connection closed or the spell was over", id, total)
}

// send has clients of both services send requests one after the other on kept connections.
func send(f *stand.Fleet, b *stand.Balancer) []sent {
	var (
		wait sync.WaitGroup
		mu   sync.Mutex
		list []sent
	)
	end := time.Now().Add(traffic)
	for n := range 2 * clients {
		kind := record
		if n%2 == 0 {
			kind = draft
		}
		wait.Go(func() {
			var c *stand.Conn
			isKept := false
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
					isKept = false
				}
				r := c.Send(http.MethodPost, kind.path, "", "q", fmt.Sprintf("a-%d-%d", n, i), kind.deadline)
				mu.Lock()
				list = append(list, sent{r, kind, isKept})
				mu.Unlock()
				isKept = true
				if r.Err != nil || r.Header.Get("Connection") == "close" {
					_ = c.Close()
					c = nil
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return list
}
