// SPDX-License-Identifier: MIT

package cluster

import (
	"context"
	"crypto/sha256"
	"sync"

	"lynxramp.org/hashtree"
	"lynxramp.org/routing"
)

// decoder decodes documents beside the loop of a Server.
type decoder struct {
	parse func([]byte) (*routing.Table, error)
	next chan Document // the newest that is to be decoded

	mu sync.Mutex
	// last is the table of the document that was decoded last: a document is decoded once when
	// an operator sends it, and is the same when it is committed.
	last    *routing.Table
	lastSum [sha256.Size]byte
}

func newDecoder(read func([]byte) (*routing.Table, error)) *decoder {
	return &decoder{parse: read, next: make(chan Document, 1)}
}

// submit gives a document to be decoded, in place of one that is not begun. Only the loop calls it.
func (d *decoder) submit(doc Document) {
	select {
	case <-d.next:
	default:
	}
	d.next <- doc
}

// run decodes what is given until ctx ends.
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
