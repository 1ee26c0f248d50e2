// SPDX-License-Identifier: MIT

package machine

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
)

// Command is one entry of the log. Apply executes the parts that are set.
type Command struct {
	// Time is when the leader made the command, in Unix milliseconds. It is only
	// used to expire claims.
	Time     int64          `json:"time"`
	Catalog  *CatalogChange `json:"catalog,omitempty"`
	Claims   []Claim        `json:"claims,omitempty"`
	Releases []Claim        `json:"releases,omitempty"`
}

// CatalogChange is an operator's command to change the catalog.
type CatalogChange struct {
	// ID is chosen by the operator. A command with a known ID is not applied again.
	ID       string `json:"id"`
	Operator string `json:"operator"`
	// Expect is the version on which the changes are based.
	Expect  uint64           `json:"expect"`
	Changes []catalog.Change `json:"changes"`
}

// Claim binds a team's idempotency key to the one request that may run for it.
type Claim struct {
	Team    string          `json:"team"`
	Key     string          `json:"key"`
	Request event.RequestID `json:"request"`
	Digest  uint64          `json:"digest"`
	Time    int64           `json:"time"`
}

func (c Claim) key() string { return c.Team + "\x00" + c.Key }

// Encode returns the command as a log entry's data.
func (c Command) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // can't fail for these types
	}
	return data
}

func decode(data []byte) (Command, error) {
	var c Command
	err := json.Unmarshal(data, &c)
	return c, errors.Wrap(err, "decoding a command")
}

// Result is the result of an operator's command.
type Result struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	// Conflict names the command that made the current version, if this isn't the
	// expected one.
	Conflict string   `json:"conflict,omitempty"`
	Problems []string `json:"problems,omitempty"`
}

// Accepted reports whether the command changed the catalog.
func (r Result) Accepted() bool { return r.Conflict == "" && len(r.Problems) == 0 }
