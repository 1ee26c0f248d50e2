// SPDX-License-Identifier: MIT

package store

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
)

// Recover makes the box of a folder the only voter of its group, after most
// disks of the group were lost for good. What only the lost boxes had saved is
// lost. It must be done on one box alone, while none of the group runs. The
// other boxes join again from empty folders.
func Recover(dir string, box event.BoxID, address string) error {
	s, id, r, err := Open(dir, box, 0)
	if err != nil {
		return err
	}
	defer s.Close()
	if id.Group == "" {
		return errors.New("the folder belongs to no group: there is nothing to recover")
	}
	self := consensus.Member{ID: id.Member(), Address: address}
	data, err := json.Marshal(consensus.Membership{Voters: []consensus.Member{self}})
	if err != nil {
		return errors.Wrap(err, "members")
	}
	// A term that no lost box can have seen under another leader's entries.
	hard := consensus.HardState{Term: r.HardState.Term + 1, Vote: self.ID}
	last := r.Snapshot.Index + consensus.Index(len(r.Entries))
	entry := consensus.Entry{Index: last + 1, Term: hard.Term, Kind: consensus.EntryMembers, Data: data}
	if err := s.Save(&consensus.Ready{HardState: &hard, Entries: []consensus.Entry{entry}}); err != nil {
		return err
	}
	id.Founders = slices.DeleteFunc(id.Founders, func(m consensus.Member) bool { return m.ID != self.ID })
	return s.SetIdentity(id)
}
