// SPDX-License-Identifier: MIT

package store

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
)

// Recover makes the box of a folder the only voter of its group, after a majority of the group's
// disks was lost for good. Entries that only the lost boxes had saved are lost. Run it on one box
// only, while no box of the group runs; the others join again with empty folders.
func Recover(dir string, box event.BoxID, address string) error {
	s, id, r, err := Open(dir, box, 0)
	if err != nil {
		return err
	}
	defer s.Close()
	if id.Group == "" {
		return errors.New("the data folder belongs to no group: there is nothing to recover")
	}
	self := consensus.Member{ID: id.Member(), Address: address}
	data, err := json.Marshal(consensus.Membership{Voters: []consensus.Member{self}})
	if err != nil {
		return errors.Wrap(err, "members")
	}
	// A term under which no lost box can have seen entries of another leader.
	hard := consensus.HardState{Term: r.HardState.Term + 1, Vote: self.ID}
	last := r.Snapshot.Index + consensus.Index(len(r.Entries))
	entry := consensus.Entry{Index: last + 1, Term: hard.Term, Kind: consensus.EntryMembers, Data: data}
	if err := s.Save(&consensus.Ready{HardState: &hard, Entries: []consensus.Entry{entry}}); err != nil {
		return err
	}
	id.InitialMembers = slices.DeleteFunc(id.InitialMembers, func(m consensus.Member) bool { return m.ID != self.ID })
	return s.SetIdentity(id)
}
