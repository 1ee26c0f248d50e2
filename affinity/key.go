// SPDX-License-Identifier: MIT

package affinity

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"lynxramp.org/event"
)

const (
	// LeaseTerm is how long after its ping an entry may rely on a version being the only one. It covers a change
	// of the owner.
	LeaseTerm = 2 * event.Second
	// AdmissionDelay is how long endpoints of a second version get no request. It exceeds LeaseTerm by the difference
	// that the clocks of two boxes may have in that time.
	AdmissionDelay = LeaseTerm + LeaseTerm/10
	// StreamLifetime is the longest time from the first event of a stream until it is resumed. It exceeds the
	// timeouts of callers.
	StreamLifetime = 300 * event.Second
)

// TimeLeft returns for how long the stream of a ticket may be resumed: until its caller's own timeout, or the route's if the caller
// gave none.
func TimeLeft(t *event.Ticket) event.Duration {
	return min(max(t.CallerTime, t.Deadline), StreamLifetime)
}

// keyBytes is the length of a Key: 128 bits, so that collisions cannot be found.
const keyBytes = 16

// maxAttemptBytes bounds the ID of an attempt that a caller names.
const maxAttemptBytes = 128

// Key identifies a stream: the attempt of a team's caller that received its first event, and its service. It has
// keyBytes raw bytes of a keyed hash; it is empty for none. Attempts of different teams have different keys.
type Key string

// MakeKey returns the key of a stream. The team may be empty.
func MakeKey(team, service, attempt string) Key {
	h := hmac.New(sha256.New, []byte(team))
	h.Write(binary.AppendUvarint(nil, uint64(len(service))))
	h.Write([]byte(service))
	h.Write([]byte(attempt))
	return Key(h.Sum(nil)[:keyBytes])
}

// IsValidAttempt reports whether a caller's text can be the ID of an attempt: visible ASCII characters without
// commas and spaces, 128 at most.
func IsValidAttempt(id string) bool {
	if id == "" || len(id) > maxAttemptBytes {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || c == ',' {
			return false
		}
	}
	return true
}
