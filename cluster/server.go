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
	"lynxramp.org/reqlimit"
	"lynxramp.org/rollout"
	"lynxramp.org/store"
)

// Intervals and bounds of a control box.
const (
	tickInterval   = 50 * time.Millisecond
	joinInterval   = 300 * time.Millisecond
	eventQueueSize = 1024
	// leaderTimeout is how long a voter may be without a leader before it asks to join
	// again: it may have been replaced.
	leaderTimeout = 2 * event.Second
	// transferTimeout is how long a planned stop waits for another leader, at most transferShare of the stop timeout.
	transferTimeout = 600 * time.Millisecond
	transferShare   = 0.5
)

// initialIncarnation is the incarnation of the first disk of each initial member. It is the same
// on all of them, so that each can derive the ids of the others.
const initialIncarnation = event.Incarnation(1)

// Config is the configuration of a control box.
type Config struct {
	LinkAddress       string // its own link address, IP:port
	LinkListenAddress string // listen address for links, if that is not LinkAddress
	OperatorAddress   string // address for operators and endpoints, IP:port
	// Seeds are operator addresses of boxes of the group; some may be outdated.
	Seeds []string
	// Bootstrap says that the seeds form a new group, if the disk is empty.
	Bootstrap bool
	DataDir   string
	Settings  Settings
	// Requests limits what is held of the requests of operators and endpoints.
	Requests *reqlimit.Limiter
	// LinkBytes limits the long messages that are being received on all links; 0 is 64 MiB.
	LinkBytes int64
	// StopTimeout is the time that a planned stop may take.
	StopTimeout time.Duration
	Log         *zap.Logger
}

// TransferTime returns how long a planned stop with a given timeout waits for another leader.
func TransferTime(stopTimeout time.Duration) time.Duration {
	return min(transferTimeout, time.Duration(transferShare*float64(stopTimeout)))
}

// Server runs a control box.
type Server struct {
	config Config
	log    *zap.Logger
	clock  event.Clock
	state  *State
	writer *store.Writer
	peers  *peers
	// received limits the messages that are being received on all links.
	received *link.Memory
	events   chan Event
	// logEvents has the messages of the replicated log. They have priority over events: a burst of
	// entries' messages must not make a lease lapse or an election fail.
	logEvents      chan Event
	decoder        *decoder
	meters         meters
	lastCall       atomic.Uint64
	lastConnection atomic.Uint64 // number of the last inbound connection
	// fatal receives the error for which the process must stop.
	fatal chan error

	mu          sync.Mutex
	calls       map[CallID]chan Answer
	sessions    map[SessionID]*link.Conn[message.Envelope]
	lastSession SessionID
}

// Open opens a box's data folder and returns its server.
func Open(c Config) (*Server, error) {
	disk := event.Incarnation(random.Uint64())
	bootstraps := c.Bootstrap && slices.Contains(c.Seeds, c.OperatorAddress)
	if bootstraps {
		disk = initialIncarnation
	}
	opened, identity, restored, err := store.Open(c.DataDir, event.BoxID(c.LinkAddress), disk)
	if err != nil {
		return nil, err
	}
	if bootstraps && identity.Group == "" && restored.Snapshot.Index == 0 && identity.Disk == initialIncarnation {
		if restored, err = bootstrap(c, opened, identity); err != nil {
			return nil, err
		}
	}
	s := &Server{
		config:    c,
		log:       c.Log,
		clock:     event.NewClock(),
		events:    make(chan Event, eventQueueSize),
		logEvents: make(chan Event, eventQueueSize),
		decoder:   newDecoder(c.Settings.Decode),
		meters:    newMeters(),
		fatal:     make(chan error, 1),
		calls:     make(map[CallID]chan Answer),
		sessions:  make(map[SessionID]*link.Conn[message.Envelope]),
	}
	c.Settings.Seed = random.Uint64()
	s.state, err = NewState(s.clock.Now(), identity.Member(), restored, c.Settings)
	if err != nil {
		return nil, err
	}
	s.received = link.NewMemory(c.LinkBytes)
	s.peers = newPeers(c.LinkAddress, s.received, c.Log)
	s.writer = store.NewWriter(&store.RetryingDisk{Disk: opened, Context: context.Background(), Log: c.Log}, s.peers)
	s.log.Info("control box starting", zap.String("member", string(identity.Member())), zap.Bool("founds", bootstraps),
		zap.Uint64("last_entry", uint64(restored.Snapshot.Index)+uint64(len(restored.Entries))),
		zap.Uint64("term", uint64(restored.HardState.Term)), zap.Uint64("version", s.state.Document().Version))
	return s, nil
}

// bootstrap writes the first membership, all seeds, to an empty disk.
func bootstrap(c Config, disk *store.Store, identity store.Identity) (consensus.PersistentState, error) {
	var initialMembers []consensus.Member
	for _, seed := range c.Seeds {
		initialMembers = append(initialMembers, consensus.Member{
			ID: consensus.MakeID(event.BoxID(LinkAddress(seed, c.LinkAddress)), initialIncarnation), Address: seed,
		})
	}
	slices.SortFunc(initialMembers, func(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) })
	r := consensus.PersistentState{Snapshot: consensus.Snapshot{
		Index: 1, Members: consensus.Membership{Voters: initialMembers}, Data: bootstrapState(),
	}}
	if err := disk.Save(&consensus.Ready{Snapshot: &r.Snapshot}); err != nil {
		return r, err
	}
	identity.Group = string(initialMembers[0].ID)
	identity.InitialMembers = initialMembers
	return r, disk.SetIdentity(identity)
}

// LinkAddress returns the link address of the box with an operator address. The port is that of
// own, as all boxes use the same one.
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

// Run serves until ctx ends, then transfers leadership to another box and calls finish, which waits for calls in progress. It
// returns an error if the box found data that only a later build can read.
func (s *Server) Run(ctx context.Context, finish func()) error {
	listener, err := link.Listen(cmp.Or(s.config.LinkListenAddress, s.config.LinkAddress), s.serve)
	if err != nil {
		return err
	}
	defer listener.Close()
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		if err := s.writer.Run(runCtx); err != nil {
			s.log.Error("log writer stopped", zap.String("error", err.Error()))
		}
	}()
	go s.maintainMembership(runCtx)
	go s.decoder.run(runCtx, s.events)
	go s.loop(runCtx)
	select {
	case <-ctx.Done():
	case err := <-s.fatal:
		s.log.Error("control box stopping: found a format that it does not support", logx.Err(err),
			zap.Uint8("level", uint8(level.Newest)), zap.String("build", level.Build()))
		return err
	}
	s.log.Info("control box stopping; transferring leadership")
	s.events <- &StopRequested{}
	time.Sleep(TransferTime(s.config.StopTimeout))
	finish()
	return nil
}

// AddSeeds adds boxes that the settings name.
func (s *Server) AddSeeds(seeds []string) {
	for _, seed := range seeds {
		s.peers.add(LinkAddress(seed, s.config.LinkAddress))
	}
}

// loop is the goroutine that owns the state.
func (s *Server) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var out Effects
	for {
		e := s.nextLogEvent(ticker)
		if e == nil {
			e = s.nextEvent(ctx, ticker)
		}
		if e == nil {
			return
		}
		out.reset()
		began := time.Now()
		s.state.Step(s.clock.Now(), e, &out)
		if out.Fatal != nil {
			s.fatal <- out.Fatal
			return
		}
		s.meters.recordStep(began, s.state, &out)
		s.applyEffects(&out)
	}
}

// nextLogEvent returns a pending event of the replicated log or a tick; nil if there is none.
func (s *Server) nextLogEvent(ticker *time.Ticker) Event {
	select {
	case e := <-s.logEvents:
		return e
	case saved := <-s.writer.Saved():
		return &LogSaved{Index: saved.Index, Term: saved.Term}
	case <-ticker.C:
		return &Tick{}
	default:
		return nil
	}
}

// nextEvent waits for an event of any kind; it returns nil when ctx has ended.
func (s *Server) nextEvent(ctx context.Context, ticker *time.Ticker) Event {
	select {
	case <-ctx.Done():
		return nil
	case e := <-s.logEvents:
		return e
	case e := <-s.events:
		return e
	case saved := <-s.writer.Saved():
		return &LogSaved{Index: saved.Index, Term: saved.Term}
	case <-ticker.C:
		return &Tick{}
	}
}

func (s *Server) applyEffects(out *Effects) {
	for _, n := range out.LogRecords {
		fields := make([]zap.Field, len(n.Fields))
		for i, f := range n.Fields {
			fields[i] = zap.Any(f.Name, f.Value)
		}
		s.log.Info(n.Message, fields...)
	}
	if r := &out.Ready; r.MustSave() || len(r.Immediate)+len(r.Messages) > 0 {
		s.writer.Enqueue(*r)
		out.Ready = consensus.Ready{}
	}
	if out.Decode.Version > 0 {
		s.decoder.submit(out.Decode)
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
			time.AfterFunc(tickInterval, c.Close) // let queued messages go out first
		}
	}
	if len(out.Heartbeats) > 0 {
		s.peers.send(string(out.Leader.Box()), &message.Envelope{Heard: &message.Heartbeats{Endpoints: out.Heartbeats}})
	}
	for _, a := range out.Answers {
		if call, ok := s.calls[a.CallID]; ok {
			call <- a
			delete(s.calls, a.CallID)
		}
	}
}

func (s *Server) addSession(c *link.Conn[message.Envelope]) SessionID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSession++
	s.sessions[s.lastSession] = c
	return s.lastSession
}

func (s *Server) removeSession(id SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, id)
}

// maintainMembership asks the group to add this box while it is not a voter or has no contact with a leader.
func (s *Server) maintainMembership(ctx context.Context) {
	s.AddSeeds(s.config.Seeds)
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		shouldJoin, members := s.membership()
		s.peers.setMembers(members)
		if shouldJoin {
			s.peers.requestJoin(s.self())
		}
	}
}

func (s *Server) self() consensus.Member {
	return consensus.Member{ID: s.state.node.ID(), Address: s.config.OperatorAddress}
}

// membership reports whether this box should ask to join, and the known members' link addresses.
func (s *Server) membership() (bool, []string) {
	type result struct {
		shouldJoin bool
		members    []string
	}
	c := make(chan result, 1)
	s.events <- inspect(func(now event.Time, state *State) {
		isLeaderless := now.Sub(state.node.LastLeaderContact()) > leaderTimeout && state.node.Leader() != state.node.ID()
		c <- result{!state.node.IsVoter() || isLeaderless, state.memberLinkAddresses()}
	})
	r := <-c
	return r.shouldJoin, r.members
}

// inspect is an event that reads the state.
type inspect func(event.Time, *State)

func (inspect) isEvent() {}

// call sends an event with a new call id and waits for the answer.
func (s *Server) call(ctx context.Context, newEvent func(CallID) Event) Answer {
	began := time.Now()
	a := s.await(ctx, newEvent)
	s.meters.recordCall(began, a.Status)
	return a
}

func (s *Server) await(ctx context.Context, newEvent func(CallID) Event) Answer {
	id := CallID(s.lastCall.Add(1))
	answer := make(chan Answer, 1)
	s.mu.Lock()
	s.calls[id] = answer
	s.mu.Unlock()
	s.events <- newEvent(id)
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.calls, id)
	s.mu.Unlock()
	s.events <- &CallCancelled{CallID: id}
	return Answer{CallID: id, Status: StatusUnknown}
}

// Requests returns the limiter of the requests of operators and endpoints.
func (s *Server) Requests() *reqlimit.Limiter { return s.config.Requests }

// PutDocument replicates a configuration. StatusDone means that it or a higher version is
// committed. An invalid configuration is not replicated; the error has all problems.
func (s *Server) PutDocument(ctx context.Context, data []byte) (Answer, error) {
	table, err := s.decoder.decode(data)
	if err != nil {
		return Answer{}, err
	}
	d := Document{Version: table.Version, Data: data}
	d.pack()
	return s.call(ctx, func(id CallID) Event { return &DocumentSubmitted{CallID: id, Document: d} }), nil
}

// ReadDocument returns the newest configuration. StatusDone is only returned while the lease
// holds, so the answer must be passed on at once.
func (s *Server) ReadDocument(ctx context.Context) Answer {
	a := s.call(ctx, func(id CallID) Event { return &DocumentRequested{CallID: id} })
	if a.Status == StatusDone && (s.clock.Now() >= a.ValidUntil || a.Document.Version == 0) {
		return Answer{CallID: a.CallID, Status: StatusUnknown}
	}
	return a
}

// Heartbeat stores the state that an endpoint reports.
func (s *Server) Heartbeat(ctx context.Context, e registry.Endpoint) Answer {
	return s.call(ctx, func(id CallID) Event { return &HeartbeatReceived{CallID: id, Endpoint: e} })
}

// RemoveEndpoint removes an endpoint that terminates; born is as in registry.Endpoint.
func (s *Server) RemoveEndpoint(ctx context.Context, name string, born uint64) Answer {
	return s.call(ctx, func(id CallID) Event { return &EndpointRemoved{CallID: id, Name: name, Born: born} })
}

// HasRollouts reports whether roll-outs are on.
func (s *Server) HasRollouts() bool { return s.config.Settings.Rollouts != nil }

// OrderRollout records an order to roll out a version. StatusDone means that it is committed.
func (s *Server) OrderRollout(ctx context.Context, order rollout.Order) Answer {
	return s.call(ctx, func(id CallID) Event { return &RolloutSubmitted{CallID: id, Order: order} })
}

// ReadRollout returns the newest roll-out of a service. As for ReadDocument, the answer must be passed on at
// once.
func (s *Server) ReadRollout(ctx context.Context, service string) Answer {
	a := s.call(ctx, func(id CallID) Event { return &RolloutRequested{CallID: id, Service: service} })
	if (a.Status == StatusDone || a.Status == StatusNoRollout) && s.clock.Now() >= a.ValidUntil {
		return Answer{CallID: a.CallID, Status: StatusUnknown}
	}
	return a
}

// Logger returns the logger of the box.
func (s *Server) Logger() *zap.Logger { return s.log }
