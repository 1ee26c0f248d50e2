// SPDX-License-Identifier: MIT

package member

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
)

// stateDraining is the state of a box that gets no new work.
const stateDraining = "leaving"

const maxListBytes = 4 << 20

// listedBox is one box of the list.
type listedBox struct {
	Address string `json:"address"`
	State   string `json:"state"`
}

// Draining is the set of IP addresses of the draining boxes. It is immutable.
type Draining map[string]bool

// Fetch reads the platform's list.
func Fetch(ctx context.Context, c *http.Client, url string) (Draining, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "platform list of boxes")
	}
	response, err := c.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "platform list of boxes")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("platform list of boxes: HTTP status %d", response.StatusCode)
	}
	return parse(io.LimitReader(response.Body, maxListBytes))
}

// parse reads a list. One invalid address rejects the whole list: a partial one would let work go
// to draining boxes.
func parse(r io.Reader) (Draining, error) {
	var list []listedBox
	if err := json.NewDecoder(r).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "platform list of boxes")
	}
	draining := make(Draining)
	for _, e := range list {
		address, err := netip.ParseAddr(e.Address)
		if err != nil {
			return nil, errors.Wrap(err, "platform list of boxes")
		}
		if e.State == stateDraining {
			draining[address.String()] = true
		}
	}
	return draining, nil
}
