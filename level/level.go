// SPDX-License-Identifier: MIT

package level

import (
	"fmt"

	"github.com/pkg/errors"
)

// Level is a format version: a build of level n reads all encodings up to n. The zero Level means
// unknown.
type Level uint8

const (
	// Listed: entries receive endpoints one by one, and whole configurations.
	Listed Level = iota + 1
	// Compressed: lists of endpoints are compressed and have revisions.
	Compressed
	// Chunked: configurations and snapshots are sent in chunks, and budget records may cover only
	// some accounts.
	Chunked
	// Suspects: the log has records of requests that crash endpoints.
	Suspects
	// Negotiated: boxes announce their levels, and the log records the group's.
	Negotiated
	// Instances: endpoint IDs distinguish the instances of an endpoint.
	Instances
	// Feedback: entries send the feedback of endpoints to the owner, which sends it to all entries
	// that read this level.
	Feedback
	// Rollouts: the log has the versions of endpoints and records of roll-outs, and the owner sends
	// entries that read this level the versions that they may not use by themselves.
	Rollouts
	// Versions: the log has the versions of all endpoints and those that the streams of a service may have. The owner
	// sends them to entries that read this level, and these report the versions of streams.
	Versions
	// PastOrders: snapshots have the versions that were rolled back and the last completed order of each service.
	PastOrders
)

// Newest is the highest level that this build reads.
const Newest = PastOrders

// Readers says who must be able to read an encoding.
type Readers uint8

// An encoding may have both kinds of readers.
const (
	Members Readers = 1 << iota // of the control group, including learners
	Entries
)

// Encoding describes what a level added.
type Encoding struct {
	Level       Level
	Readers     Readers
	Description string
	// Since is the first commit with it; empty for the newest level.
	Since string
}

// Encodings lists all levels in order.
var Encodings = []Encoding{
	{Listed, Members | Entries, "snapshots as one record of JSON, configurations whole, endpoints as a list", "5dc54d6"},
	{Compressed, Members | Entries, "endpoints compressed, with revisions and heartbeats", "8300e31"},
	{Chunked, Members | Entries, "configurations, snapshots and log messages in chunks; records of some budgets; configurations as a tree", "d279456"},
	{Suspects, Members, "records of requests that crash endpoints", "585ddf2"},
	{Negotiated, Members, "levels, announced when a connection opens, and recorded in the log and in snapshots", "cf9622c"},
	{Instances, Members | Entries, "heartbeats of endpoints with their start time; endpoint IDs with that time, of which requests carry the name alone; endpoints listed by column", "4538dad"},
	{Feedback, Members, "feedback in the responses of endpoints, sent to the owner, and by it to each entry that reads it", "fe3f9e0"},
	{Rollouts, Members, "versions of endpoints and records of roll-outs, in the log; versions and restrictions, sent to each entry that reads them", "1a283b3"},
	{Versions, Members, "versions that streams may have, in the log, and versions of streams, in messages with each entry that reads them", "7239567"},
	{PastOrders, Members, "versions that were rolled back, and the last completed order of each service, in snapshots", ""},
}

// Affects reports whether any of the readers r must read an encoding above one level and up to
// another. If so, the group may use the higher level only once they read it.
func Affects(r Readers, above, upTo Level) bool {
	for _, e := range Encodings {
		if e.Level > above && e.Level <= upTo && e.Readers&r != 0 {
			return true
		}
	}
	return false
}

// UnsupportedError says that data has an encoding above the highest level of this build.
type UnsupportedError struct {
	Source    string // where it was found, such as a file name
	Found     string // the encoding
	Supported string // what this build reads
}

func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("%s: found %s, this build reads %s: a later build is needed", e.Source, e.Found, e.Supported)
}

// Unsupported returns an UnsupportedError for data of a level above what a box reads.
func Unsupported(source string, found, supported Level) error {
	return &UnsupportedError{Source: source, Found: fmt.Sprintf("level %d", found), Supported: fmt.Sprintf("levels up to %d", supported)}
}

// IsUnsupported reports whether err is or wraps an UnsupportedError.
func IsUnsupported(err error) bool {
	var unsupported *UnsupportedError
	return errors.As(err, &unsupported)
}
