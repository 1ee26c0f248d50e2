// SPDX-License-Identifier: MIT

package level

import (
	"fmt"

	"github.com/pkg/errors"
)

// Level numbers the forms that a build reads: all up to that of its number. The zero Level is that
// of a box of which nothing is known.
type Level uint8

// The levels.
const (
	// Listed: entries are told of endpoints one by one, and of configurations whole.
	Listed Level = iota + 1
	// Packed: lists of endpoints are compressed, with revisions.
	Packed
	// Parts: configurations and snapshots go in parts, and records of budgets may be of some
	// accounts.
	Parts
	// Suspects: the log has records of requests that end endpoints.
	Suspects
	// Told: boxes tell their levels, and the log has that of the group.
	Told
	// Starts: ids of endpoints tell their starts apart.
	Starts
	// Asked: entries tell what endpoints ask for in their answers, and owners tell all entries.
	Asked
)

// Newest is the level that this build reads.
const Newest = Asked

// Readers says who must read a form.
type Readers uint8

// The readers. A form may have both.
const (
	Members Readers = 1 << iota // of the control group, learners too
	Entries
)

// Form is what a level added.
type Form struct {
	Level   Level
	Readers Readers
	What    string
	// Since is the first commit with it; empty for that of this table's last change.
	Since string
}

// Forms has all levels, in order.
var Forms = []Form{
	{Listed, Members | Entries, "snapshots as one record of JSON, configurations whole, endpoints as a list", "5dc54d6"},
	{Packed, Members | Entries, "endpoints compressed, with revisions and signs of life", "8300e31"},
	{Parts, Members | Entries, "configurations, snapshots and messages of the log in parts; records of some budgets; configurations as a tree", "d279456"},
	{Suspects, Members, "records of requests that end endpoints", "585ddf2"},
	{Told, Members, "levels: at the beginning of a connection, in the log and in snapshots", "cf9622c"},
	{Starts, Members | Entries, "words of endpoints that tell when they started; ids with that, of which requests carry the name alone; endpoints listed by column", "4538dad"},
	{Asked, Members, "what endpoints ask for in their answers: told to the owner, and by it to each entry that reads it", ""},
}

// ReadBy reports whether some readers must read a form above a level and up to another: then the group may
// have that one only when they do.
func ReadBy(r Readers, above, upTo Level) bool {
	for _, f := range Forms {
		if f.Level > above && f.Level <= upTo && f.Readers&r != 0 {
			return true
		}
	}
	return false
}

// Above says that something has a form that no level up to this build's has.
type Above struct {
	What  string // such as the name of a file
	Found string // the form
	Reads string // what this build reads
}

// Error implements error.
func (e *Above) Error() string {
	return fmt.Sprintf("%s: found %s, this build reads %s: a later build is needed", e.What, e.Found, e.Reads)
}

// TooNew returns that something has a level above what a box reads.
func TooNew(what string, found, reads Level) error {
	return &Above{What: what, Found: fmt.Sprintf("level %d", found), Reads: fmt.Sprintf("levels up to %d", reads)}
}

// IsAbove reports whether an error says that something needs a later build.
func IsAbove(err error) bool {
	var above *Above
	return errors.As(err, &above)
}
