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

// stateLeaving is the state of a box that is to get no new work.
const stateLeaving = "leaving"

// maxList bounds the list, in bytes.
const maxList = 4 << 20

// entry is one box of the list.
type entry struct {
	Address string `json:"address"`
	State   string `json:"state"`
}

// Leaving is the set of the IP numbers of the boxes that are leaving. It does
// not change once made.
type Leaving map[string]bool

// Fetch reads the platform's list.
func Fetch(ctx context.Context, c *http.Client, url string) (Leaving, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "platform list")
	}
	response, err := c.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "platform list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("platform list: status %d", response.StatusCode)
	}
	return parse(io.LimitReader(response.Body, maxList))
}

// parse reads a list. One bad address spoils the whole: half a list would let
// work go to boxes that are leaving.
func parse(r io.Reader) (Leaving, error) {
	var list []entry
	if err := json.NewDecoder(r).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "platform list")
	}
	leaving := make(Leaving)
	for _, e := range list {
		address, err := netip.ParseAddr(e.Address)
		if err != nil {
			return nil, errors.Wrap(err, "platform list")
		}
		if e.State == stateLeaving {
			leaving[address.String()] = true
		}
	}
	return leaving, nil
}
