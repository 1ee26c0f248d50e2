// SPDX-License-Identifier: MIT

package machine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lynxramp.org/catalog"
)

// Bounds of what is remembered.
const (
	maxResults = 4096
	maxRecent  = 512
	// ClaimTime is how long a claim is kept, in milliseconds.
	ClaimTime = 60 * 60 * 1000
)

// Recent is a change of the catalog that boxes a little behind can make
// themselves.
type Recent struct {
	Version uint64           `json:"version"`
	Changes []catalog.Change `json:"changes"`
}

// State is the state machine. The zero value is empty; it is not safe for
// concurrent use.
type State struct {
	catalog catalog.Catalog
	version uint64
	// last names the command that made the version.
	last    string
	recent  []Recent
	results []Result
	byID    map[string]int // into results, less forgotten
	forgot  int            // results that were forgotten
	claims  map[string]heldClaim
	oldest  []claimAge // in the order of their times
	claimed int        // how many claims there ever were
	clock   int64      // the latest time of a command
}

// heldClaim is a claim that stands, and its number.
type heldClaim struct {
	Claim
	number int
}

// claimAge says when a key was claimed.
type claimAge struct {
	key    string
	number int
	time   int64
}

// saved is a State in a snapshot.
type saved struct {
	Catalog catalog.Catalog `json:"catalog"`
	Version uint64          `json:"version"`
	Last    string          `json:"last"`
	Recent  []Recent        `json:"recent"`
	Results []Result        `json:"results"`
	Claims  []Claim         `json:"claims"`
	Clock   int64           `json:"clock"`
}

// Catalog returns the catalog and its version, 0 before the first one.
func (s *State) Catalog() (catalog.Catalog, uint64) { return s.catalog, s.version }

// Claim returns who holds a team's key.
func (s *State) Claim(team, key string) (Claim, bool) {
	c, ok := s.claims[Claim{Team: team, Key: key}.key()]
	return c.Claim, ok
}

// Since returns the changes from a version to the present one; false if they
// are not remembered.
func (s *State) Since(version uint64) ([]catalog.Change, bool) {
	if version == s.version {
		return nil, true
	}
	var changes []catalog.Change
	for _, r := range s.recent {
		if r.Version == version+1 || len(changes) > 0 {
			changes = append(changes, r.Changes...)
		}
	}
	return changes, len(changes) > 0
}

// Result returns the result of an operator's command that was applied.
func (s *State) Result(id string) (Result, bool) {
	i, ok := s.byID[id]
	if !ok {
		return Result{}, false
	}
	return s.results[i-s.forgot], true
}

// Apply does the command in a log entry's data.
func (s *State) Apply(data []byte) error {
	c, err := decode(data)
	if err != nil {
		return err
	}
	if c.Catalog != nil {
		s.applyCatalog(*c.Catalog)
	}
	for _, one := range c.Releases {
		s.release(one)
	}
	s.clock = max(s.clock, c.Time)
	for _, one := range c.Claims {
		one.Time = s.clock
		s.claim(one)
	}
	s.forgetClaims()
	return nil
}

func (s *State) applyCatalog(h CatalogChange) {
	if _, known := s.Result(h.ID); known {
		return
	}
	r := Result{ID: h.ID, Version: s.version}
	if h.Expect != s.version {
		r.Conflict = s.last
		s.remember(r)
		return
	}
	next, problems := catalog.Apply(s.catalog, h.Changes)
	for _, p := range problems {
		r.Problems = append(r.Problems, p.Error())
	}
	if r.Accepted() {
		s.catalog = next
		s.version++
		s.last = h.ID + " by " + h.Operator
		r.Version = s.version
		s.recent = append(s.recent, Recent{Version: s.version, Changes: h.Changes})
		if n := len(s.recent) - maxRecent; n > 0 {
			s.recent = append([]Recent(nil), s.recent[n:]...)
		}
	}
	s.remember(r)
}

func (s *State) remember(r Result) {
	if s.byID == nil {
		s.byID = make(map[string]int)
	}
	s.byID[r.ID] = s.forgot + len(s.results)
	s.results = append(s.results, r)
	for len(s.results) > maxResults {
		delete(s.byID, s.results[0].ID)
		s.results = s.results[1:]
		s.forgot++
	}
}

// claim gives a key to a request unless another has it.
func (s *State) claim(c Claim) {
	if _, held := s.claims[c.key()]; held {
		return
	}
	if s.claims == nil {
		s.claims = make(map[string]heldClaim)
	}
	s.claimed++
	s.claims[c.key()] = heldClaim{Claim: c, number: s.claimed}
	s.oldest = append(s.oldest, claimAge{key: c.key(), number: s.claimed, time: c.Time})
}

// release takes a key from a request that has not run and will not.
func (s *State) release(c Claim) {
	if held, ok := s.claims[c.key()]; ok && held.Request == c.Request {
		delete(s.claims, c.key())
	}
}

// forgetClaims drops the claims that are too old. A key that was released and
// claimed again stands in the list twice; only its present claim counts.
func (s *State) forgetClaims() {
	for len(s.oldest) > 0 && s.clock-s.oldest[0].time > ClaimTime {
		first := s.oldest[0]
		if c, held := s.claims[first.key]; held && c.number == first.number {
			delete(s.claims, first.key)
		}
		s.oldest = s.oldest[1:]
	}
}

// Snapshot returns the whole state.
func (s *State) Snapshot() []byte {
	v := saved{
		Catalog: s.catalog, Version: s.version, Last: s.last,
		Recent: s.recent, Results: s.results, Clock: s.clock,
	}
	for _, age := range s.oldest {
		if c, ok := s.claims[age.key]; ok && c.number == age.number {
			v.Claims = append(v.Claims, c.Claim)
		}
	}
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // these types always encode
	}
	return data
}

// Restore puts the state of a snapshot in place.
func (s *State) Restore(data []byte) error {
	var v saved
	if len(data) > 0 {
		if err := json.Unmarshal(data, &v); err != nil {
			return errors.Wrap(err, "snapshot")
		}
	}
	*s = State{catalog: v.Catalog, version: v.Version, last: v.Last, recent: v.Recent, clock: v.Clock}
	for _, r := range v.Results {
		s.remember(r)
	}
	for _, c := range v.Claims {
		s.claim(c)
	}
	return nil
}

// Hash returns a number that tells catalogs apart.
func Hash(c catalog.Catalog) uint64 {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // these types always encode
	}
	return xxhash.Sum64(data)
}
