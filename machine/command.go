// SPDX-License-Identifier: MIT

package machine

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
)

// Command is one entry of the log. The fields that are set say what is done.
type Command struct {
	// Time is when the leader made the command, in milliseconds since 1970. It
	// only serves to forget what is old.
	Time     int64          `json:"time"`
	Catalog  *CatalogChange `json:"catalog,omitempty"`
	Claims   []Claim        `json:"claims,omitempty"`
	Releases []Claim        `json:"releases,omitempty"`
}

// CatalogChange is an operator's command.
type CatalogChange struct {
	// ID is the operator's. The result of an ID that was seen is given again.
	ID       string `json:"id"`
	Operator string `json:"operator"`
	// Expect is the version to which the changes are made.
	Expect  uint64           `json:"expect"`
	Changes []catalog.Change `json:"changes"`
}

// Claim binds a team's key to the one request that may run for it.
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
		panic(err) // these types always encode
	}
	return data
}

func decode(data []byte) (Command, error) {
	var c Command
	err := json.Unmarshal(data, &c)
	return c, errors.Wrap(err, "command")
}

// Result is what became of an operator's command.
type Result struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	// Conflict names the command that made the version which was not expected.
	Conflict string   `json:"conflict,omitempty"`
	Problems []string `json:"problems,omitempty"`
}

// Accepted reports whether the command changed the catalog.
func (r Result) Accepted() bool { return r.Conflict == "" && len(r.Problems) == 0 }
