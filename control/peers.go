// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/rpc"
	"lynxramp.org/store"
)

// Limits for messages between members.
const (
	deliverTimeout  = 700 * time.Millisecond
	peerQueueLength = 64
)

// Rejected messages, by reason.
var (
	refusedGroup   = metrics.NewCounter(`lynxramp_control_messages_refused_total{why="group"}`)
	refusedUnknown = metrics.NewCounter(`lynxramp_control_messages_refused_total{why="unknown_box"}`)
	refusedInvalid = metrics.NewCounter(`lynxramp_control_messages_refused_total{why="malformed"}`)
	refusedAddress = metrics.NewCounter(`lynxramp_control_messages_refused_total{why="not_for_this_member"}`)
)

// Peers sends and receives messages between the members of the control group. It
// implements store.Sender and rpc.Control.
type Peers struct {
	log       *zap.Logger
	addresses map[event.BoxID]string
	clients   map[event.BoxID]rpc.Control
	queues    map[event.BoxID]chan consensus.Message
	address   string

	mu       sync.Mutex
	identity store.Identity
	loop     *Loop // nil until the box belongs to a group
	outboxes *Outboxes
	tokens   uint64
	replies  map[uint64]chan consensus.Message
}

// NewPeers returns the Peers of a box. addresses has the IP:port of each box of the
// control group.
func NewPeers(identity store.Identity, addresses map[event.BoxID]string, c *http.Client, log *zap.Logger) *Peers {
	p := &Peers{
		log:       log,
		addresses: addresses,
		clients:   make(map[event.BoxID]rpc.Control),
		queues:    make(map[event.BoxID]chan consensus.Message),
		address:   addresses[identity.Box],
		identity:  identity,
		replies:   make(map[uint64]chan consensus.Message),
	}
	for box, address := range addresses {
		if box != identity.Box {
			p.clients[box] = rpc.NewControlProtobufClient("http://"+address, c)
			p.queues[box] = make(chan consensus.Message, peerQueueLength)
		}
	}
	return p
}

// Self returns this box as a member.
func (p *Peers) Self() consensus.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return consensus.Member{ID: p.identity.Member(), Address: p.address}
}

// Start passes incoming messages to loop from now on.
func (p *Peers) Start(loop *Loop, outboxes *Outboxes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loop = loop
	p.outboxes = outboxes
}

// Run sends queued messages until ctx is done.
func (p *Peers) Run(ctx context.Context) {
	var wait sync.WaitGroup
	for box, queue := range p.queues {
		wait.Go(func() { p.sendTo(ctx, box, queue) })
	}
	wait.Wait()
}

// Send implements store.Sender. A reply is returned as the response of its request.
// Other messages are queued, or dropped if the queue is full: consensus sends them
// again.
func (p *Peers) Send(m consensus.Message) {
	if m.Token != 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		if c, ok := p.replies[m.Token]; ok {
			c <- m
			delete(p.replies, m.Token)
		}
		return
	}
	select {
	case p.queues[m.To.Box()] <- m:
	default:
	}
}

func (p *Peers) sendTo(ctx context.Context, box event.BoxID, queue <-chan consensus.Message) {
	client := p.clients[box]
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			p.deliver(ctx, client, m)
		}
	}
}

func (p *Peers) deliver(ctx context.Context, client rpc.Control, m consensus.Message) {
	p.mu.Lock()
	loop, group := p.loop, p.identity.Group
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	answer, err := client.Deliver(ctx, rpc.MessageEnvelope(group, m))
	if err != nil {
		p.log.Debug("sending a consensus message failed; consensus will send it again", zap.String("to", string(m.To)), logx.Err(err))
		return
	}
	reply := answer.Message()
	if answer.Group != group || !reply.Valid() {
		refusedInvalid.Inc()
		return
	}
	// The caller checks ctx.
	_, _ = loop.Post(ctx, &MessageReceived{Message: reply})
}

// Hello implements rpc.Control.
func (p *Peers) Hello(context.Context, *rpc.HelloRequest) (*rpc.HelloResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &rpc.HelloResponse{
		Box:      string(p.identity.Box),
		Disk:     uint64(p.identity.Disk),
		Address:  p.address,
		Group:    p.identity.Group,
		Founders: rpc.MemberMessages(p.identity.InitialMembers),
	}, nil
}

// Deliver implements rpc.Control.
func (p *Peers) Deliver(ctx context.Context, e *rpc.Envelope) (*rpc.Envelope, error) {
	m := e.Message()
	p.mu.Lock()
	loop, group, self := p.loop, p.identity.Group, p.identity.Member()
	p.mu.Unlock()
	switch {
	case loop == nil:
		return nil, twirp.NewError(twirp.Unavailable, "the box belongs to no group yet")
	case e.Group != group:
		refusedGroup.Inc()
		return nil, twirp.NewError(twirp.FailedPrecondition, "the message is from another group")
	case p.addresses[m.From.Box()] == "":
		refusedUnknown.Inc()
		return nil, twirp.NewError(twirp.PermissionDenied, "the message is from an unknown box")
	case !m.Valid():
		refusedInvalid.Inc()
		return nil, twirp.NewError(twirp.InvalidArgument, "the message is malformed")
	case m.To != self:
		refusedAddress.Inc()
		return nil, twirp.NewError(twirp.NotFound, "the message is for another incarnation of this box")
	}
	token, reply := p.newToken()
	defer p.dropToken(token)
	m.Token = token
	if _, err := loop.Post(ctx, &MessageReceived{Message: m}); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	select {
	case r := <-reply:
		return rpc.MessageEnvelope(group, r), nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "timeout waiting for the reply")
	}
}

func (p *Peers) newToken() (uint64, <-chan consensus.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens++
	c := make(chan consensus.Message, 1)
	p.replies[p.tokens] = c
	return p.tokens, c
}

func (p *Peers) dropToken(token uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replies, token)
}

// Join implements rpc.Control.
func (p *Peers) Join(ctx context.Context, r *rpc.JoinRequest) (*rpc.JoinResponse, error) {
	p.mu.Lock()
	loop, outboxes, group := p.loop, p.outboxes, p.identity.Group
	p.mu.Unlock()
	if loop == nil || r.Member == nil {
		return nil, twirp.NewError(twirp.Unavailable, "the box belongs to no group yet")
	}
	member := consensus.Member{ID: consensus.ID(r.Member.Id), Address: r.Member.Address}
	if p.addresses[member.ID.Box()] != member.Address || r.Group != group {
		refusedUnknown.Inc()
		return nil, twirp.NewError(twirp.PermissionDenied, "the box is not in the settings or belongs to another group")
	}
	token, answered := outboxes.NewToken()
	defer outboxes.DropToken(token)
	status, err := loop.Post(ctx, &JoinRequested{Member: member, Token: token})
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	a := <-answered
	return &rpc.JoinResponse{Done: a.IsVoter, Leads: a.IsLeader, Leader: status.Leader, Group: group}, nil
}
