// SPDX-License-Identifier: MIT

package machine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lynxramp.org/catalog"
)

// Limits of the retained state.
const (
	maxResults       = 4096
	maxRecentChanges = 512
	// ClaimTTL is the lifetime of a claim, in milliseconds.
	ClaimTTL = 60 * 60 * 1000
)

// RecentChange is a change of the catalog, kept to update boxes that are a few
// versions behind.
type RecentChange struct {
	Version uint64           `json:"version"`
	Changes []catalog.Change `json:"changes"`
}

// State is the state machine. The zero value is empty; it is not safe for
// concurrent use.
type State struct {
	catalog catalog.Catalog
	version uint64
	// lastCommand names the command that made the version.
	lastCommand    string
	recentChanges  []RecentChange
	results        []Result
	byID           map[string]int // index into results, plus droppedResults
	droppedResults int            // number of results dropped from the front
	claims         map[string]heldClaim
	claimAges      []claimAge // by time
	claimCount     int        // number of claims ever made
	clock          int64      // the latest time of a command
}

// heldClaim is a claim in force and its number.
type heldClaim struct {
	Claim
	number int
}

// claimAge is the time at which a key was claimed.
type claimAge struct {
	key    string
	number int
	time   int64
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Catalog catalog.Catalog `json:"catalog"`
	Version uint64          `json:"version"`
	Last    string          `json:"last"`
	Recent  []RecentChange  `json:"recent"`
	Results []Result        `json:"results"`
	Claims  []Claim         `json:"claims"`
	Clock   int64           `json:"clock"`
}

// Catalog returns the catalog and its version; 0 before the first one.
func (s *State) Catalog() (catalog.Catalog, uint64) { return s.catalog, s.version }

// Claim returns the claim on a team's key; false if there is none.
func (s *State) Claim(team, key string) (Claim, bool) {
	c, ok := s.claims[Claim{Team: team, Key: key}.key()]
	return c.Claim, ok
}

// ChangesSince returns the changes from a version to the current one; false if they
// are no longer kept.
func (s *State) ChangesSince(version uint64) ([]catalog.Change, bool) {
	if version == s.version {
		return nil, true
	}
	var changes []catalog.Change
	for _, r := range s.recentChanges {
		if r.Version == version+1 || len(changes) > 0 {
			changes = append(changes, r.Changes...)
		}
	}
	return changes, len(changes) > 0
}

// Result returns the result of an applied operator's command; false if it isn't known.
func (s *State) Result(id string) (Result, bool) {
	i, ok := s.byID[id]
	if !ok {
		return Result{}, false
	}
	return s.results[i-s.droppedResults], true
}

// Apply executes the command in a log entry's data. It returns an error, and changes
// nothing, if the command can't be decoded.
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
	s.expireClaims()
	return nil
}

func (s *State) applyCatalog(change CatalogChange) {
	if _, known := s.Result(change.ID); known {
		return
	}
	r := Result{ID: change.ID, Version: s.version}
	if change.Expect != s.version {
		r.Conflict = s.lastCommand
		s.addResult(r)
		return
	}
	next, problems := catalog.Apply(s.catalog, change.Changes)
	for _, p := range problems {
		r.Problems = append(r.Problems, p.Error())
	}
	if r.Accepted() {
		s.catalog = next
		s.version++
		s.lastCommand = change.ID + " by " + change.Operator
		r.Version = s.version
		s.recentChanges = append(s.recentChanges, RecentChange{Version: s.version, Changes: change.Changes})
		if n := len(s.recentChanges) - maxRecentChanges; n > 0 {
			s.recentChanges = append([]RecentChange(nil), s.recentChanges[n:]...)
		}
	}
	s.addResult(r)
}

func (s *State) addResult(r Result) {
	if s.byID == nil {
		s.byID = make(map[string]int)
	}
	s.byID[r.ID] = s.droppedResults + len(s.results)
	s.results = append(s.results, r)
	for len(s.results) > maxResults {
		delete(s.byID, s.results[0].ID)
		s.results = s.results[1:]
		s.droppedResults++
	}
}

// claim binds a key to a request unless another one holds it.
func (s *State) claim(c Claim) {
	if _, held := s.claims[c.key()]; held {
		return
	}
	if s.claims == nil {
		s.claims = make(map[string]heldClaim)
	}
	s.claimCount++
	s.claims[c.key()] = heldClaim{Claim: c, number: s.claimCount}
	s.claimAges = append(s.claimAges, claimAge{key: c.key(), number: s.claimCount, time: c.Time})
}

// release removes the claim of a request that has not run and will not run.
func (s *State) release(c Claim) {
	if held, ok := s.claims[c.key()]; ok && held.Request == c.Request {
		delete(s.claims, c.key())
	}
}

// expireClaims drops the claims older than ClaimTTL. A key that was released and
// claimed again is in the list twice: the number identifies its current claim.
func (s *State) expireClaims() {
	for len(s.claimAges) > 0 && s.clock-s.claimAges[0].time > ClaimTTL {
		first := s.claimAges[0]
		if c, held := s.claims[first.key]; held && c.number == first.number {
			delete(s.claims, first.key)
		}
		s.claimAges = s.claimAges[1:]
	}
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() []byte {
	v := snapshot{
		Catalog: s.catalog, Version: s.version, Last: s.lastCommand,
		Recent: s.recentChanges, Results: s.results, Clock: s.clock,
	}
	for _, age := range s.claimAges {
		if c, ok := s.claims[age.key]; ok && c.number == age.number {
			v.Claims = append(v.Claims, c.Claim)
		}
	}
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't fail for these types
	}
	return data
}

// Restore replaces the state by that of a snapshot; no data is an empty one.
func (s *State) Restore(data []byte) error {
	var v snapshot
	if len(data) > 0 {
		if err := json.Unmarshal(data, &v); err != nil {
			return errors.Wrap(err, "decoding a snapshot")
		}
	}
	*s = State{catalog: v.Catalog, version: v.Version, lastCommand: v.Last, recentChanges: v.Recent, clock: v.Clock}
	for _, r := range v.Results {
		s.addResult(r)
	}
	for _, c := range v.Claims {
		s.claim(c)
	}
	return nil
}

// Hash returns a hash of a catalog, for comparison.
func Hash(c catalog.Catalog) uint64 {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // can't fail for these types
	}
	return xxhash.Sum64(data)
}
