// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/rpc"
	"lynxramp.org/store"
)

// Intervals and timeouts of creating and joining a group.
const (
	helloInterval = 100 * time.Millisecond
	helloTimeout  = 500 * time.Millisecond
	warnInterval  = 2 * time.Second
	joinInterval  = 200 * time.Millisecond
	joinTimeout   = 2 * time.Second
	initialIndex  = consensus.Index(1)
)

// bootstrapAction is the next action of a box without a group.
type bootstrapAction int

const (
	actionWait bootstrapAction = iota
	// actionCreate: all boxes are reachable and without a group, and this one is
	// the first by name.
	actionCreate
	// actionAdopt: the group has this box with its present disk among its initial members.
	actionAdopt
	// actionJoin: there is a group that doesn't have this box with its present disk
	// as an initial member.
	actionJoin
)

// chooseAction returns the next action of a box without a group, by the Hello
// responses of the other boxes. A group is created only when every box in the
// settings is reachable and without a group, so that a box that lost its disk
// finds the group of the others or waits for them.
func chooseAction(self consensus.Member, boxes []event.BoxID, hellos map[event.BoxID]*rpc.HelloResponse) (bootstrapAction, string, []consensus.Member) {
	initialMembers := []consensus.Member{self}
	for _, box := range boxes {
		if box == self.ID.Box() {
			continue
		}
		g := hellos[box]
		if g == nil {
			continue
		}
		if g.Group != "" {
			members := rpc.Members(g.Founders)
			if slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == self.ID }) {
				return actionAdopt, g.Group, members
			}
			return actionJoin, g.Group, nil
		}
		initialMembers = append(initialMembers, consensus.Member{
			ID: consensus.MakeID(box, event.Incarnation(g.Disk)), Address: g.Address,
		})
	}
	if len(initialMembers) < len(boxes) || slices.Min(boxes) != self.ID.Box() {
		return actionWait, "", nil
	}
	return actionCreate, rand.Text(), initialMembers
}

// Bootstrap waits until the box belongs to a group: the one on its disk, one that
// it creates or one that it finds. It returns the resulting persistent state.
func (p *Peers) Bootstrap(ctx context.Context, disk *store.Store, r consensus.PersistentState) (consensus.PersistentState, error) {
	self := p.Self()
	boxes := make([]event.BoxID, 0, len(p.addresses))
	for box := range p.addresses {
		boxes = append(boxes, box)
	}
	slices.Sort(boxes)
	warned := time.Now()
	for p.group() == "" {
		hellos := p.helloAll(ctx)
		action, group, initialMembers := chooseAction(self, boxes, hellos)
		switch action {
		case actionWait:
			if time.Since(warned) > warnInterval {
				warned = time.Now()
				p.log.Warn("waiting for the other control boxes; a group is created only when all are reachable and belong to no group",
					zap.Int("answered", len(hellos)), zap.Int("boxes", len(boxes)))
			}
			select {
			case <-time.After(helloInterval):
				continue
			case <-ctx.Done():
				return r, ctx.Err()
			}
		case actionCreate, actionAdopt:
			r = consensus.PersistentState{Snapshot: consensus.Snapshot{
				Index: initialIndex, Members: consensus.Membership{Voters: initialMembers},
			}}
			if err := disk.Save(&consensus.Ready{Snapshot: &r.Snapshot}); err != nil {
				return r, err
			}
		}
		if err := p.saveGroup(disk, group, initialMembers); err != nil {
			return r, err
		}
		p.log.Info("joined a control group", zap.String("group", group), zap.Bool("founder", action != actionJoin))
	}
	return r, nil
}

func (p *Peers) group() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.identity.Group
}

// saveGroup stores the box's group on disk, then publishes it to other boxes.
func (p *Peers) saveGroup(disk *store.Store, group string, initialMembers []consensus.Member) error {
	p.mu.Lock()
	identity := p.identity
	p.mu.Unlock()
	identity.Group = group
	identity.InitialMembers = initialMembers
	if err := disk.SetIdentity(identity); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.identity = identity
	return nil
}

// helloAll sends Hello to all other boxes and returns the valid responses.
func (p *Peers) helloAll(ctx context.Context) map[event.BoxID]*rpc.HelloResponse {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	type hello struct {
		box    event.BoxID
		answer *rpc.HelloResponse
	}
	all := make(chan hello, len(p.clients))
	for box, client := range p.clients {
		go func() {
			answer, err := client.Hello(ctx, &rpc.HelloRequest{})
			if err != nil || answer.Box != string(box) {
				answer = nil
			}
			all <- hello{box: box, answer: answer}
		}()
	}
	hellos := make(map[event.BoxID]*rpc.HelloResponse)
	for range p.clients {
		if h := <-all; h.answer != nil {
			hellos[h.box] = h.answer
		}
	}
	return hellos
}

// MaintainMembership asks the other boxes to add this one while it isn't a voter,
// until ctx is done.
func (p *Peers) MaintainMembership(ctx context.Context, loop *Loop) {
	self := p.Self()
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	lastLeader := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		voter := false
		err := loop.Inspect(ctx, func(_ event.Time, s *State) {
			voter = slices.Contains(s.Node().Members().Voters, self)
			if s.Node().Leader() != "" {
				lastLeader = time.Now()
			}
		})
		if time.Since(lastLeader) > warnInterval {
			lastLeader = time.Now()
			p.log.Warn("no quorum: the control group has had no leader for a while; if most disks are lost for good, see the operators' page on recovery")
		}
		if err != nil || voter {
			continue
		}
		for _, client := range p.clients {
			p.join(ctx, client, self)
		}
	}
}

func (p *Peers) join(ctx context.Context, client rpc.Control, self consensus.Member) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	request := &rpc.JoinRequest{Group: p.group(), Member: &rpc.Member{Id: string(self.ID), Address: self.Address}}
	// A box that isn't the leader or doesn't reply is asked again later.
	if answer, err := client.Join(ctx, request); err == nil && answer.Done {
		p.log.Info("added to the control group as a voter")
	}
}
