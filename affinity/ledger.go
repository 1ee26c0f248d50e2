// SPDX-License-Identifier: MIT

package affinity

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Limits of a Ledger.
const (
	maxServices = 4096
	// maxVersions bounds the versions of a service. Unknown stands for further ones.
	maxVersions = 64
)

// Unknown stands for any version in a list of versions. Endpoints can't report it.
const Unknown = "\x00"

// Ledger has the versions that the streams of each service may have, in the replicated log. The zero value is
// empty. It is not safe for concurrent use.
type Ledger struct{ services map[string]*line }

// line has the versions of one service. Its fields are replicated.
type line struct {
	Versions []string `json:"versions"` // sorted
	// Seen has the log index at which an endpoint of a version was last registered or changed.
	Seen map[string]uint64 `json:"seen"`
}

// Record changes the versions of a service. It is a command of the log.
type Record struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Retired is the log index up to which no endpoint had the version for StreamLifetime; the version is removed unless
	// an endpoint had it since. 0 adds the version.
	Retired uint64 `json:"retired,omitempty"`
}

// Endpoint records that an endpoint was registered or changed at a log index. Its version is added if it is the
// first one, or if the service may have several already; a second one is added by a Record.
func (l *Ledger) Endpoint(service, version string, index uint64) {
	s, ok := l.services[service]
	switch {
	case !ok && len(l.services) >= maxServices:
		return // it has no versions, so its streams are not resumed
	case !ok:
		s = l.add(service)
		s.Versions = []string{version}
	case s.hasSeveral():
		s.insert(version)
	}
	s.see(version, index)
}

// hasSeveral reports whether streams may have more than one version, so that no entry relies on a single one.
func (s *line) hasSeveral() bool { return len(s.Versions) > 1 || s.Versions[0] == Unknown }

// Start records a service whose earlier versions are not known.
func (l *Ledger) Start(service string, index uint64) {
	if _, ok := l.services[service]; ok || len(l.services) >= maxServices {
		return
	}
	s := l.add(service)
	s.Versions = []string{Unknown}
	s.see(Unknown, index)
}

func (l *Ledger) add(service string) *line {
	if l.services == nil {
		l.services = make(map[string]*line)
	}
	s := &line{Seen: make(map[string]uint64)}
	l.services[service] = s
	return s
}

// insert adds a version, or Unknown if there are too many, and reports whether the line did not have it.
func (s *line) insert(version string) bool {
	if !slices.Contains(s.Versions, version) && len(s.Versions) >= maxVersions {
		version = Unknown
	}
	if slices.Contains(s.Versions, version) {
		return false
	}
	s.Versions = append(s.Versions, version)
	slices.Sort(s.Versions)
	return true
}

// see records the index of a version that the line has.
func (s *line) see(version string, index uint64) {
	if !slices.Contains(s.Versions, version) {
		version = Unknown
	}
	if slices.Contains(s.Versions, version) {
		s.Seen[version] = max(s.Seen[version], index)
	}
}

// Apply applies a committed Record and reports whether it changed anything.
func (l *Ledger) Apply(r Record, index uint64) bool {
	s, ok := l.services[r.Service]
	if !ok {
		return false
	}
	switch {
	case r.Retired == 0:
		changed := s.insert(r.Version)
		s.see(r.Version, index)
		return changed
	case slices.Contains(s.Versions, r.Version) && len(s.Versions) > 1 && s.Seen[r.Version] <= r.Retired:
		s.Versions = slices.DeleteFunc(s.Versions, func(v string) bool { return v == r.Version })
		delete(s.Seen, r.Version)
		return true
	}
	return false
}

// Versions returns the versions that streams of a service may have; empty if nothing is known. The caller must not modify it.
func (l *Ledger) Versions(service string) []string {
	if s, ok := l.services[service]; ok {
		return s.Versions
	}
	return nil
}

// Sole returns the only version of a service; false if there may be others.
func (l *Ledger) Sole(service string) (string, bool) {
	versions := l.Versions(service)
	if len(versions) != 1 || versions[0] == Unknown {
		return "", false
	}
	return versions[0], true
}

// IsAdmitted reports whether endpoints of a version may be granted requests.
func (l *Ledger) IsAdmitted(service, version string) bool {
	versions := l.Versions(service)
	return len(versions) == 0 || slices.Contains(versions, version) || slices.Contains(versions, Unknown)
}

// Services returns the services that have versions, sorted.
func (l *Ledger) Services() []string { return slices.Sorted(maps.Keys(l.services)) }

// MarshalJSON implements json.Marshaler.
func (l *Ledger) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(l.services)
	return data, errors.Wrap(err, "encode versions of services")
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Ledger) UnmarshalJSON(data []byte) error {
	return errors.Wrap(json.Unmarshal(data, &l.services), "decode versions of services")
}
