// SPDX-License-Identifier: MIT

package cluster

import (
	"context"
	"crypto/sha256"
	"sync"

	"lynxramp.org/hashtree"
	"lynxramp.org/routing"
)

// decoder decodes documents outside the event loop of a Server.
type decoder struct {
	parse func([]byte) (*routing.Table, error)
	next  chan Document // the newest document to decode

	mu sync.Mutex
	// last caches the most recent table: a document is decoded when an operator submits it, and
	// is needed again when it is committed.
	last    *routing.Table
	lastSum [sha256.Size]byte
}

func newDecoder(parse func([]byte) (*routing.Table, error)) *decoder {
	return &decoder{parse: parse, next: make(chan Document, 1)}
}

// submit queues a document, replacing one that is not started yet. Only the loop calls it.
func (d *decoder) submit(doc Document) {
	select {
	case <-d.next:
	default:
	}
	d.next <- doc
}

// run decodes queued documents until ctx ends.
func (d *decoder) run(ctx context.Context, to chan<- Event) {
	var tree *hashtree.Tree
	for {
		select {
		case <-ctx.Done():
			return
		case doc := <-d.next:
			e := &DocumentDecoded{Version: doc.Version, Document: doc.Data}
			if e.Table, e.Err = d.decode(doc.Data); e.Err == nil {
				tree = hashtree.Build(e.Table, tree)
				e.Tree = tree
			}
			to <- e
		}
	}
}

// decode returns the table of a document.
func (d *decoder) decode(data []byte) (*routing.Table, error) {
	sum := sha256.Sum256(data)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last != nil && d.lastSum == sum {
		return d.last, nil
	}
	table, err := d.parse(data)
	if err != nil {
		return nil, err
	}
	d.last, d.lastSum = table, sum
	return table, nil
}
