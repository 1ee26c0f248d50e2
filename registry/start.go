// SPDX-License-Identifier: MIT

package registry

import (
	"math"
	"strconv"
	"strings"
)

// An endpoint may restart under the same name. Each instance is an endpoint of its own for all state that
// is keyed by ID, such as capacity, measured speeds, cached prompts, connections, drains and suspicions. The
// ID has the name and the start time, such as "i-7f3a91c2/1764740000123", or only the name if the endpoint
// doesn't report its start time.

// instanceSeparator separates name and start time in an ID. No name contains it, as names are path segments.
const instanceSeparator = "/"

// InstanceID returns the ID of an endpoint's instance; the name alone if born is 0.
func InstanceID(name string, born uint64) string {
	if born == 0 {
		return name
	}
	return name + instanceSeparator + strconv.FormatUint(born, 10)
}

// Name returns the endpoint's name in an instance ID. Instances of an endpoint share it.
func Name(id string) string {
	name, _, _ := strings.Cut(id, instanceSeparator)
	return name
}

// startTimeOf returns the start time in an instance ID; 0 if it has none.
func startTimeOf(id string) uint64 {
	_, text, _ := strings.Cut(id, instanceSeparator)
	born, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return born
}

// instance is the newest known instance of an endpoint name.
type instance struct {
	id   string
	born uint64
}

// indexInstances finds the newest instance of each name.
func (s *State) indexInstances() {
	s.lastInstances = make(map[string]instance, len(s.Endpoints))
	for _, id := range s.Removed {
		s.recordInstance(id, 0)
	}
	for id, e := range s.Endpoints {
		s.recordInstance(id, e.Born)
	}
}

// recordInstance records an instance if it is the newest of its name; born is its start time if the ID has none.
// The result doesn't depend on the order of calls: members restored from a snapshot must agree with the others.
func (s *State) recordInstance(id string, born uint64) {
	born = max(born, startTimeOf(id))
	last, ok := s.lastInstances[Name(id)]
	switch {
	case !ok || born > last.born || s.isPresent(id) && born == last.born:
	case born == last.born && !s.isPresent(last.id) && len(id) > len(last.id):
	default:
		return
	}
	s.lastInstances[Name(id)] = instance{id: id, born: born}
}

func (s *State) isPresent(id string) bool {
	_, ok := s.Endpoints[id]
	return ok
}

// ResolveInstance returns a heartbeat with its name replaced by the ID of its instance. It returns false for
// a stale heartbeat: one of an earlier instance than the last one, or one without a start time though the
// endpoint has reported it before.
func (s *State) ResolveInstance(received Endpoint) (Endpoint, bool) {
	s.ensureIndex()
	name := received.ID
	last, known := s.lastInstances[name]
	switch {
	case known && received.Born < last.born:
		return received, false
	case known && received.Born == last.born:
		received.ID = last.id
	case known && last.born == 0 && s.isPresent(last.id) && received.Sequence > s.Endpoints[last.id].Sequence:
		// The same instance: the group's format version had no start times until now.
		received.ID = last.id
	default:
		received.ID = InstanceID(name, received.Born)
	}
	return received, true
}

// ResolveTermination returns the ID of the instance that an endpoint reports as terminated: the last one of
// the name if born is 0.
func (s *State) ResolveTermination(name string, born uint64) string {
	if born == 0 {
		return s.LastInstance(name)
	}
	if e, ok := s.ResolveInstance(Endpoint{ID: name, Born: born, Sequence: math.MaxUint64}); ok {
		return e.ID
	}
	return InstanceID(name, born)
}

// LastInstance returns the ID of the newest instance of a name; the name itself if there is none.
func (s *State) LastInstance(name string) string {
	s.ensureIndex()
	if last, ok := s.lastInstances[name]; ok {
		return last.id
	}
	return name
}

// ParseID returns the name and the start time in an instance ID; 0 if it has no start time.
func ParseID(id string) (name string, born uint64) { return Name(id), startTimeOf(id) }
