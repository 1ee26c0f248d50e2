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

// Times of founding and joining.
const (
	askEvery     = 100 * time.Millisecond
	askTimeout   = 500 * time.Millisecond
	sayEvery     = 2 * time.Second
	joinEvery    = 200 * time.Millisecond
	joinTimeout  = 2 * time.Second
	foundingSlot = consensus.Index(1)
)

// course is what a box without a group does next.
type course int

const (
	courseWait course = iota
	// courseFound: all boxes are there and empty, and this one is the first of
	// them by name.
	courseFound
	// courseAdopt: the group counts this box, in this life, among its founders.
	courseAdopt
	// courseJoin: there is a group that does not know this life of the box.
	courseJoin
)

// decide chooses the course of a box without a group, by the greetings of the
// other boxes. A group is only ever founded when every box that the settings
// name is there and empty: a box that lost its disk sees the group of the others,
// or waits for them.
func decide(self consensus.Member, boxes []event.BoxID, greetings map[event.BoxID]*rpc.HelloResponse) (course, string, []consensus.Member) {
	founders := []consensus.Member{self}
	for _, box := range boxes {
		if box == self.ID.Box() {
			continue
		}
		g := greetings[box]
		if g == nil {
			continue
		}
		if g.Group != "" {
			members := rpc.Members(g.Founders)
			if slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == self.ID }) {
				return courseAdopt, g.Group, members
			}
			return courseJoin, g.Group, nil
		}
		founders = append(founders, consensus.Member{
			ID: consensus.MakeID(box, event.Incarnation(g.Disk)), Address: g.Address,
		})
	}
	if len(founders) < len(boxes) || slices.Min(boxes) != self.ID.Box() {
		return courseWait, "", nil
	}
	return courseFound, rand.Text(), founders
}

// Belong returns when the box belongs to a group, by its disk, by founding one
// or by finding one, with what its disk then holds.
func (p *Peers) Belong(ctx context.Context, disk *store.Store, r consensus.PersistentState) (consensus.PersistentState, error) {
	self := p.Self()
	boxes := make([]event.BoxID, 0, len(p.addresses))
	for box := range p.addresses {
		boxes = append(boxes, box)
	}
	slices.Sort(boxes)
	said := time.Now()
	for p.group() == "" {
		greetings := p.greet(ctx)
		course, group, founders := decide(self, boxes, greetings)
		switch course {
		case courseWait:
			if time.Since(said) > sayEvery {
				said = time.Now()
				p.log.Warn("waiting for the other control boxes; a group is founded only when all are there and empty",
					zap.Int("answered", len(greetings)), zap.Int("boxes", len(boxes)))
			}
			select {
			case <-time.After(askEvery):
				continue
			case <-ctx.Done():
				return r, ctx.Err()
			}
		case courseFound, courseAdopt:
			r = consensus.PersistentState{Snapshot: consensus.Snapshot{
				Index: foundingSlot, Members: consensus.Membership{Voters: founders},
			}}
			if err := disk.Save(&consensus.Ready{Snapshot: &r.Snapshot}); err != nil {
				return r, err
			}
		}
		if err := p.enter(disk, group, founders); err != nil {
			return r, err
		}
		p.log.Info("belongs to a group", zap.String("group", group), zap.Bool("founder", course != courseJoin))
	}
	return r, nil
}

func (p *Peers) group() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.identity.Group
}

// enter writes down that the box belongs to a group, and tells of it.
func (p *Peers) enter(disk *store.Store, group string, founders []consensus.Member) error {
	p.mu.Lock()
	identity := p.identity
	p.mu.Unlock()
	identity.Group = group
	identity.Founders = founders
	if err := disk.SetIdentity(identity); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.identity = identity
	return nil
}

// greet asks all other boxes who they are.
func (p *Peers) greet(ctx context.Context) map[event.BoxID]*rpc.HelloResponse {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	type greeting struct {
		box    event.BoxID
		answer *rpc.HelloResponse
	}
	all := make(chan greeting, len(p.clients))
	for box, client := range p.clients {
		go func() {
			answer, err := client.Hello(ctx, &rpc.HelloRequest{})
			if err != nil || answer.Box != string(box) {
				answer = nil
			}
			all <- greeting{box: box, answer: answer}
		}()
	}
	greetings := make(map[event.BoxID]*rpc.HelloResponse)
	for range p.clients {
		if g := <-all; g.answer != nil {
			greetings[g.box] = g.answer
		}
	}
	return greetings
}

// StayMember asks the others to take this box in while it is no voter, until
// ctx ends.
func (p *Peers) StayMember(ctx context.Context, loop *Loop) {
	self := p.Self()
	ticker := time.NewTicker(joinEvery)
	defer ticker.Stop()
	led := time.Now()
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
				led = time.Now()
			}
		})
		if time.Since(led) > sayEvery {
			led = time.Now()
			p.log.Warn("no quorum: nobody has led the control group for a while; if most disks are lost for good, see the operators' page on recovery")
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
	// A box that does not lead, or does not answer, is asked again later.
	if answer, err := client.Join(ctx, request); err == nil && answer.Done {
		p.log.Info("is a voter again")
	}
}
