// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/internal/random"
	"lynxramp.org/level"
	"lynxramp.org/link"
	"lynxramp.org/message"
	"lynxramp.org/registry"
	"lynxramp.org/store"
)

// Times and bounds of a control box.
const (
	tickEvery  = 50 * time.Millisecond
	joinEvery  = 300 * time.Millisecond
	inputDepth = 1024
	// quietLeader is how long a voter may be without a leader before it asks to
	// join again: it may have been replaced.
	quietLeader = 2 * event.Second
	// handOver is how long a planned stop waits for another leader.
	handOver = 600 * time.Millisecond
)

// founderDisk is the incarnation of a founder's first disk. It is the same on all
// founders, so that each knows the others' ids without asking.
const founderDisk = event.Incarnation(1)

// Config says what a control box is and whom it knows.
type Config struct {
	Link      string // its own link address, IP:port
	LinkBind  string // where it listens for links, if that is not Link
	Operators string // where operators and endpoints reach it, IP:port
	// Seeds are operators' addresses of boxes of the group, perhaps old ones.
	Seeds []string
	// Found says that the seeds are to found a group, if the disk is empty.
	Found    bool
	Data     string
	Settings Settings
	Log      *zap.Logger
}

// Server runs a control box.
type Server struct {
	config Config
	log    *zap.Logger
	clock  event.Clock
	state  *State
	keeper *store.Keeper
	peers  *peers
	input  chan Event
	// logInput has the messages of the replicated log. They go before all else: a lease must not
	// lapse, nor an election fail, because hundreds of entries speak at once.
	logInput chan Event
	decoder  *decoder
	meters   meters
	tokens   atomic.Uint64
	links    atomic.Uint64 // connections that others made, counted
	// stopped has why the process must end by itself.
	stopped chan error

	mu       sync.Mutex
	calls    map[Token]chan Answer
	sessions map[SessionID]*link.Conn[message.Envelope]
	next     SessionID
}

// Open opens a box's data folder and makes its server.
func Open(c Config) (*Server, error) {
	disk := event.Incarnation(random.Number())
	founds := c.Found && slices.Contains(c.Seeds, c.Operators)
	if founds {
		disk = founderDisk
	}
	opened, identity, restored, err := store.Open(c.Data, event.BoxID(c.Link), disk)
	if err != nil {
		return nil, err
	}
	if founds && identity.Group == "" && restored.Snapshot.Index == 0 && identity.Disk == founderDisk {
		if restored, err = found(c, opened, identity); err != nil {
			return nil, err
		}
	}
	s := &Server{
		config:   c,
		log:      c.Log,
		clock:    event.NewClock(),
		input:    make(chan Event, inputDepth),
		logInput: make(chan Event, inputDepth),
		decoder:  newDecoder(c.Settings.Decode),
		meters:   newMeters(),
		stopped:  make(chan error, 1),
		calls:    make(map[Token]chan Answer),
		sessions: make(map[SessionID]*link.Conn[message.Envelope]),
	}
	c.Settings.Seed = random.Number()
	s.state, err = NewState(s.clock.Now(), identity.Member(), restored, c.Settings)
	if err != nil {
		return nil, err
	}
	s.peers = newPeers(c.Link, c.Log)
	s.keeper = store.NewKeeper(&store.Patient{Disk: opened, Context: context.Background(), Log: c.Log}, s.peers)
	s.log.Info("control box starts", zap.String("member", string(identity.Member())), zap.Bool("founds", founds),
		zap.Uint64("last_entry", uint64(restored.Snapshot.Index)+uint64(len(restored.Entries))),
		zap.Uint64("term", uint64(restored.HardState.Term)), zap.Uint64("version", s.state.Document().Version))
	return s, nil
}

// found writes the first membership to an empty disk: the seeds, all of them.
func found(c Config, disk *store.Store, identity store.Identity) (consensus.Restored, error) {
	var founders []consensus.Member
	for _, seed := range c.Seeds {
		founders = append(founders, consensus.Member{
			ID: consensus.MakeID(event.BoxID(LinkAddress(seed, c.Link)), founderDisk), Address: seed,
		})
	}
	slices.SortFunc(founders, func(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) })
	r := consensus.Restored{Snapshot: consensus.Snapshot{
		Index: 1, Members: consensus.Membership{Voters: founders}, Data: foundingState(),
	}}
	if err := disk.Save(&consensus.Ready{Snapshot: &r.Snapshot}); err != nil {
		return r, err
	}
	identity.Group = string(founders[0].ID)
	identity.Founders = founders
	return r, disk.SetIdentity(identity)
}

// LinkAddress returns the link address of a box by its operators' address: the
// port is that of own, which is the same on all boxes.
func LinkAddress(operators, own string) string {
	host, _, err := net.SplitHostPort(operators)
	if err != nil {
		return operators
	}
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return operators
	}
	return net.JoinHostPort(host, port)
}

// Run serves until ctx ends, then hands the lead to another box.
func (s *Server) Run(ctx context.Context) error {
	listener, err := link.Listen(cmp.Or(s.config.LinkBind, s.config.Link), s.serve)
	if err != nil {
		return err
	}
	defer listener.Close()
	keep, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		if err := s.keeper.Run(keep); err != nil {
			s.log.Error("keeper ended", zap.String("error", err.Error()))
		}
	}()
	go s.stayMember(keep)
	go s.decoder.run(keep, s.input)
	go s.loop(keep)
	select {
	case <-ctx.Done():
	case err := <-s.stopped:
		s.log.Error("control box stops: it met a form that it does not read", logx.Err(err),
			zap.Uint8("level", uint8(level.Newest)), zap.String("build", level.Build()))
		return err
	}
	s.log.Info("control box stops: hands the lead over")
	s.input <- &StopAsked{}
	time.Sleep(handOver)
	return nil
}

// SetSeeds takes note of other boxes that the settings now name.
func (s *Server) SetSeeds(seeds []string) {
	for _, seed := range seeds {
		s.peers.know(LinkAddress(seed, s.config.Link))
	}
}

// loop is the goroutine that owns the state.
func (s *Server) loop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var out Effects
	for {
		e := s.nextOfLog(ticker)
		if e == nil {
			e = s.nextOfAny(ctx, ticker)
		}
		if e == nil {
			return
		}
		out.reset()
		began := time.Now()
		s.state.Step(s.clock.Now(), e, &out)
		if out.Stop != nil {
			s.stopped <- out.Stop
			return
		}
		s.meters.stepped(began, s.state, &out)
		s.carryOut(&out)
	}
}

// nextOfLog returns an event that the replicated log waits for; nil if there is none.
func (s *Server) nextOfLog(ticker *time.Ticker) Event {
	select {
	case e := <-s.logInput:
		return e
	case saved := <-s.keeper.Saved():
		return &Saved{Index: saved.Index, Term: saved.Term}
	case <-ticker.C:
		return &Ticked{}
	default:
		return nil
	}
}

// nextOfAny waits for an event of any kind; it returns nil when ctx has ended.
func (s *Server) nextOfAny(ctx context.Context, ticker *time.Ticker) Event {
	select {
	case <-ctx.Done():
		return nil
	case e := <-s.logInput:
		return e
	case e := <-s.input:
		return e
	case saved := <-s.keeper.Saved():
		return &Saved{Index: saved.Index, Term: saved.Term}
	case <-ticker.C:
		return &Ticked{}
	}
}

func (s *Server) carryOut(out *Effects) {
	for _, n := range out.Notes {
		fields := make([]zap.Field, len(n.Fields))
		for i, f := range n.Fields {
			fields[i] = zap.Any(f.Name, f.Value)
		}
		s.log.Info(n.Text, fields...)
	}
	if r := &out.Ready; r.MustSave() || len(r.Early)+len(r.Messages) > 0 {
		s.keeper.Keep(*r)
		out.Ready = consensus.Ready{}
	}
	if out.Decode.Version > 0 {
		s.decoder.give(out.Decode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, send := range out.Sends {
		if c, ok := s.sessions[send.Session]; ok {
			c.Send(send.Message)
		}
	}
	for _, id := range out.Closes {
		if c, ok := s.sessions[id]; ok {
			delete(s.sessions, id)
			time.AfterFunc(tickEvery, c.Close) // what was sent goes first
		}
	}
	if len(out.Heard) > 0 {
		s.peers.send(string(out.Leader.Box()), &message.Envelope{Heard: &message.Heard{Endpoints: out.Heard}})
	}
	for _, a := range out.Answers {
		if call, ok := s.calls[a.Token]; ok {
			call <- a
			delete(s.calls, a.Token)
		}
	}
}

func (s *Server) addSession(c *link.Conn[message.Envelope]) SessionID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.sessions[s.next] = c
	return s.next
}

func (s *Server) removeSession(id SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, id)
}

// stayMember asks the group to take this box in while it has no vote or hears no
// leader.
func (s *Server) stayMember(ctx context.Context) {
	s.SetSeeds(s.config.Seeds)
	ticker := time.NewTicker(joinEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		asks, members := s.membership()
		s.peers.setMembers(members)
		if asks {
			s.peers.askToJoin(s.self())
		}
	}
}

func (s *Server) self() consensus.Member {
	return consensus.Member{ID: s.state.node.ID(), Address: s.config.Operators}
}

// membership returns whether this box is to ask to join, and whom it knows.
func (s *Server) membership() (bool, []string) {
	type result struct {
		asks    bool
		members []string
	}
	c := make(chan result, 1)
	s.input <- inspect(func(now event.Time, state *State) {
		quiet := now.Sub(state.node.HeardLeader()) > quietLeader && state.node.Leader() != state.node.ID()
		c <- result{!state.node.IsVoter() || quiet, state.memberLinks()}
	})
	r := <-c
	return r.asks, r.members
}

// inspect is an event that looks at the state.
type inspect func(event.Time, *State)

func (inspect) isEvent() {}

// call passes an event with a token on and waits for the answer.
func (s *Server) call(ctx context.Context, ask func(Token) Event) Answer {
	began := time.Now()
	a := s.await(ctx, ask)
	s.meters.called(began, a.Status)
	return a
}

func (s *Server) await(ctx context.Context, ask func(Token) Event) Answer {
	token := Token(s.tokens.Add(1))
	answer := make(chan Answer, 1)
	s.mu.Lock()
	s.calls[token] = answer
	s.mu.Unlock()
	s.input <- ask(token)
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.calls, token)
	s.mu.Unlock()
	s.input <- &CallGone{Token: token}
	return Answer{Token: token, Status: StatusUnclear}
}

// PutDocument replicates a configuration. When the answer is StatusDone, it or a
// higher version is committed. One that is not sound goes nowhere: the error has all
// findings.
func (s *Server) PutDocument(ctx context.Context, data []byte) (Answer, error) {
	table, err := s.decoder.decode(data)
	if err != nil {
		return Answer{}, err
	}
	d := Document{Version: table.Version, Data: data}
	d.pack()
	return s.call(ctx, func(k Token) Event { return &DocumentSent{Token: k, Document: d} }), nil
}

// ReadDocument returns the newest configuration. StatusDone is only answered while the
// lease holds on which that rests, so the answer must be passed on at once.
func (s *Server) ReadDocument(ctx context.Context) Answer {
	a := s.call(ctx, func(k Token) Event { return &DocumentRead{Token: k} })
	if a.Status == StatusDone && (s.clock.Now() >= a.Until || a.Document.Version == 0) {
		return Answer{Token: a.Token, Status: StatusUnclear}
	}
	return a
}

// TellEndpoint takes an endpoint's word on itself.
func (s *Server) TellEndpoint(ctx context.Context, e registry.Endpoint) Answer {
	return s.call(ctx, func(k Token) Event { return &EndpointTold{Token: k, Endpoint: e} })
}

// RemoveEndpoint takes note that an endpoint ends; born is as in registry.Endpoint.
func (s *Server) RemoveEndpoint(ctx context.Context, name string, born uint64) Answer {
	return s.call(ctx, func(k Token) Event { return &EndpointLeft{Token: k, Name: name, Born: born} })
}

// Log returns the box's log.
func (s *Server) Log() *zap.Logger { return s.log }
