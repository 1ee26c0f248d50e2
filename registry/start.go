// SPDX-License-Identifier: MIT

package registry

import (
	"math"
	"strconv"
	"strings"
)

// An endpoint may start again under the name that it had. Each start is an endpoint of its own here, and
// so for all that goes by ids: places, measured speeds, what is kept of prompts, connections, drains,
// suspicion. Its id has the name and when it started, as in "i-7f3a91c2/1764740000123". That of a start
// that does not tell when it was is the name alone.

// startMark stands in an id between name and time. No name has it: it ends a part of a path.
const startMark = "/"

// StartID returns the id of a start.
func StartID(name string, born uint64) string {
	if born == 0 {
		return name
	}
	return name + startMark + strconv.FormatUint(born, 10)
}

// Name returns the name by which the endpoint of an id goes to others.
func Name(id string) string {
	name, _, _ := strings.Cut(id, startMark)
	return name
}

// bornOf returns when the start of an id was; 0 if the id does not tell.
func bornOf(id string) uint64 {
	_, text, _ := strings.Cut(id, startMark)
	born, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return born
}

// start is the last start of a name.
type start struct {
	id   string
	born uint64
}

// indexStarts finds the last start of each name.
func (s *State) indexStarts() {
	s.starts = make(map[string]start, len(s.Endpoints))
	for _, id := range s.Gone {
		s.noteStart(id, 0)
	}
	for id, e := range s.Endpoints {
		s.noteStart(id, e.Born)
	}
}

// noteStart takes note of a start that tells when it was in its id or beside it. It comes out the same in any
// order: members that began with a snapshot must not differ from others.
func (s *State) noteStart(id string, born uint64) {
	born = max(born, bornOf(id))
	last, ok := s.starts[Name(id)]
	switch {
	case !ok || born > last.born || s.isThere(id) && born == last.born:
	case born == last.born && !s.isThere(last.id) && len(id) > len(last.id):
	default:
		return
	}
	s.starts[Name(id)] = start{id: id, born: born}
}

func (s *State) isThere(id string) bool {
	_, ok := s.Endpoints[id]
	return ok
}

// Start returns an endpoint's word on itself with the id of the start that it is of. It is false for a
// word that counts for nothing: it is of an earlier start than the last one, or does not tell of which
// though the endpoint has told that before.
func (s *State) Start(told Endpoint) (Endpoint, bool) {
	s.index()
	name := told.ID
	last, known := s.starts[name]
	switch {
	case known && told.Born < last.born:
		return told, false
	case known && told.Born == last.born:
		told.ID = last.id
	case known && last.born == 0 && s.isThere(last.id) && told.Sequence > s.Endpoints[last.id].Sequence:
		// It has not told when it started until now, as nobody would have heard it.
		told.ID = last.id
	default:
		told.ID = StartID(name, told.Born)
	}
	return told, true
}

// Ending returns the id of the start that an endpoint says to end: the last one of its name, if it does not
// tell when that was.
func (s *State) Ending(name string, born uint64) string {
	if born == 0 {
		return s.LastStart(name)
	}
	if e, counts := s.Start(Endpoint{ID: name, Born: born, Sequence: math.MaxUint64}); counts {
		return e.ID
	}
	return StartID(name, born)
}

// LastStart returns the id of the last start of a name; the name itself if there was none.
func (s *State) LastStart(name string) string {
	s.index()
	if last, ok := s.starts[name]; ok {
		return last.id
	}
	return name
}

// ParseID returns the name in an id, and when the start was; 0 if the id does not tell.
func ParseID(id string) (name string, born uint64) { return Name(id), bornOf(id) }
