// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/admission"
	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/link"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
	"lynxramp.org/routing"
)

// A test gateway has endpoints that respond by a script and an owner that grants by a script.

var testNames = HeaderNames{
	RequestID: "X-Request", Deadline: "X-Deadline", Tokens: "X-Tokens", ExpectedEndpoint: "X-Expect", Team: "X-Team",
	NotRun: "X-Not-Run", Signature: "X-Signature", LastEventID: "X-Last", Resumes: "X-Resumes", PromptParts: "X-Parts", KeyScheme: "Key",
	Reserved: []string{"X-Hold", "X-Kv-From"},
}

// testFeedback reads the feedback of the test endpoints.
func testFeedback(_ int, h http.Header) (f backpressure.Feedback, err error) {
	if text := h.Get("X-Limit"); text != "" {
		f.Limited = true
		f.Rate, err = strconv.ParseFloat(text, 64)
	}
	if text := h.Get("X-Rest"); text != "" {
		f.Rest, err = time.ParseDuration(text)
	}
	f.Leaving = h.Get("X-Leaving") != ""
	return f, err
}

// testLoad reads the load reports of the test endpoints.
func testLoad(h http.Header) (l backpressure.Load, ok bool, err error) {
	switch text := h.Get("X-Load"); text {
	case "":
		return l, false, nil
	case "basic":
		return backpressure.Load{Running: 1, Slots: 4}, true, nil
	default:
		l.HasSlowdown = true
		l.Slowdown, err = strconv.ParseFloat(text, 64)
		return l, err == nil, err
	}
}

// fakeEndpoint responds to each request on its connections by a script.
type fakeEndpoint struct {
	address  string
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	closed   chan struct{} // receives a value when a caller closed its connection during a response
}

// responder writes a response to a request; false closes the connection.
type responder func(w net.Conn, r *http.Request) bool

func newFakeEndpoint(t *testing.T, script responder) *fakeEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &fakeEndpoint{address: l.Addr().String(), closed: make(chan struct{}, 10)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, script)
		}
	}()
	return s
}

func (s *fakeEndpoint) serve(c net.Conn, script responder) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		if !script(c, r) {
			return
		}
	}
}

func (s *fakeEndpoint) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func head(r *http.Request, status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request: %s\r\nX-Signature: sig-%s\r\n%s", status, r.Header.Get("X-Request"), r.Header.Get("X-Expect"), more)
}

// whole responds with a body of known length.
func whole(status int, body string) responder {
	return func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head(r, status, ""), len(body), body)
		return true
	}
}

// notRun responds that the request was not run.
func notRun(c net.Conn, r *http.Request) bool {
	fmt.Fprintf(c, "%sContent-Length: 0\r\n\r\n", head(r, 503, "X-Not-Run: 1\r\n"))
	return true
}

// reset resets the connection without a response.
func reset(c net.Conn, _ *http.Request) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id) }

// events streams events from the one after the caller's last up to a number, and then ends the stream or,
// if broken, resets the connection inside the next event.
func events(upTo int, broken bool) responder {
	return func(c net.Conn, r *http.Request) bool {
		from := 0
		fmt.Sscan(r.Header.Get("X-Last"), &from)
		fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head(r, 200, ""))
		chunk := func(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
		for id := from + 1; id <= upTo; id++ {
			chunk(eventText(id))
		}
		if broken {
			chunk("id: 99\ndata: ha")
			return reset(c, r)
		}
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
}

// testGateway is a gateway with an owner that grants each request to the next endpoint.
type testGateway struct {
	gateway *Gateway
	agent   *Agent
	server  *httptest.Server
	owner   *fakeOwner
}

// fakeOwner is the owner at the other end of an agent's link.
type fakeOwner struct {
	mu           sync.Mutex
	endpoints    []registry.Endpoint
	next         int
	refuse       event.Reason
	unresponsive bool // ignores all messages
	// beforeRetry is called before a decision on a retry.
	beforeRetry  func()
	hold         bool // decides nothing
	begun        []event.Begun
	finished     []message.Finish
	terminations []poison.Termination
	feedback     []backpressure.Report
	submits      []message.Submission
	withdrawn    []message.Withdrawal
	versions     *message.Versions // of streams, as sent to the agent
	conn         *link.Conn[message.Envelope]
	version      uint64
	trees        map[uint64]*hashtree.Tree
}

// publish puts a configuration in force at the owner and announces it.
func (o *fakeOwner) publish(table *routing.Table) {
	if o.trees == nil {
		o.trees = make(map[uint64]*hashtree.Tree)
	}
	o.trees[table.Version] = hashtree.Build(table, nil)
	o.version = max(o.version, table.Version)
	if o.conn != nil {
		o.conn.Send(&message.Envelope{View: &message.View{Version: table.Version, Root: o.trees[table.Version].Root()}})
	}
}

// sendNodes responds to a request for nodes of any version.
func (o *fakeOwner) sendNodes(c *link.Conn[message.Envelope], w *message.Want) {
	nodes := &message.Nodes{}
	for _, sum := range w.Sums {
		for _, tree := range o.trees {
			if packed, ok := tree.Node(sum); ok {
				nodes.List = append(nodes.List, message.Node{Sum: sum, Packed: packed})
				break
			}
		}
	}
	c.Send(&message.Envelope{Nodes: nodes})
}

// setVersions gives the endpoints versions, and waits until the agent knows that streams may have any of them. Before that
// it takes the versions of all streams for known.
func (r *testGateway) setVersions(t *testing.T, versions ...string) {
	t.Helper()
	revision := r.owner.setVersions(versions...)
	waitFor(t, "the agent has the versions", func() bool {
		applied := make(chan bool)
		r.agent.input <- func(event.Time) { applied <- r.agent.client.versions.revision == revision }
		return <-applied
	})
}

// setVersions gives the endpoints versions, and sends them to the agent. It returns their revision.
func (o *fakeOwner) setVersions(versions ...string) (revision uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []message.Endpoint
	for i, version := range versions {
		o.endpoints[i].Version = version
		list = append(list, message.Endpoint{Endpoint: o.endpoints[i]})
	}
	slices.Sort(versions)
	o.versions = &message.Versions{Revision: o.versions.Revision + 1, List: []message.ServiceVersions{{Service: "s", Versions: slices.Compact(versions)}}}
	o.conn.Send(&message.Envelope{View: &message.View{Listed: message.NewListing(list), Versions: o.versions}})
	return o.versions.Revision
}

func (o *fakeOwner) serve(c *link.Conn[message.Envelope]) {
	_ = c.Serve(func(m *message.Envelope) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.unresponsive {
			return
		}
		switch {
		case m.Hello != nil:
			o.conn = c
			view := &message.View{Whole: true, Version: o.version, Root: o.trees[o.version].Root()}
			var endpoints []message.Endpoint
			for _, e := range o.endpoints {
				endpoints = append(endpoints, message.Endpoint{Endpoint: e})
			}
			view.Endpoints = message.Pack(endpoints)
			view.Versions = o.versions
			c.Send(&message.Envelope{View: view})
		case m.Ping != nil:
			c.Send(&message.Envelope{Pong: &message.Pong{Sent: m.Ping.Sent, Version: o.version, Entries: 1, Versions: o.versions.Revision}})
		case m.Want != nil:
			o.sendNodes(c, m.Want)
		case m.Batch != nil:
			o.decide(c, m.Batch)
		}
	})
}

func (o *fakeOwner) decide(c *link.Conn[message.Envelope], b *message.Batch) {
	o.begun = append(o.begun, b.Begun...)
	o.finished = append(o.finished, b.Finish...)
	o.terminations = append(o.terminations, b.Ends...)
	o.feedback = append(o.feedback, b.Heard...)
	o.withdrawn = append(o.withdrawn, b.Withdraw...)
	if o.hold {
		o.submits = append(o.submits, b.Submit...)
		return
	}
	d := &message.Decisions{}
	for _, s := range b.Submit {
		o.submits = append(o.submits, s)
		if s.Repeat && o.beforeRetry != nil {
			o.beforeRetry()
		}
		if o.refuse != event.ReasonNone || o.next >= len(o.endpoints) {
			d.Refusals = append(d.Refusals, event.Refused{ID: s.Ticket.ID, Reason: max(o.refuse, event.ReasonShed), RetryAfter: event.Second})
			continue
		}
		e := o.endpoints[o.next]
		o.next++
		d.Grants = append(d.Grants, event.Granted{ID: s.Ticket.ID, Endpoint: event.EndpointID(e.ID), Address: e.Address})
	}
	c.Send(&message.Envelope{Decisions: d})
}

func testTable(version uint64, key string) *routing.Table {
	route := func(name string, kind routing.Kind, resumable bool) routing.Route {
		return routing.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second,
			Target: time.Second, Split: []routing.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 2, Resumable: resumable,
		}
	}
	t := &routing.Table{
		Version: version,
		Routes: []routing.Route{
			route("once", routing.KindOnce, false), route("safe", routing.KindRepeatable, false),
			route("stream", routing.KindStream, true), route("single", routing.KindStream, false),
		},
		Services: []routing.Service{{Name: "s"}},
		Teams:    []routing.Team{{Name: "team", Keys: []string{key}}},
		Limits:   routing.Limits{BodyBytes: 1000},
	}
	t.Index()
	return t
}

// newTestGateway starts a gateway in front of endpoints, which are granted in this order.
func newTestGateway(t *testing.T, endpoints ...*fakeEndpoint) *testGateway {
	t.Helper()
	return newTestGatewayWithClock(t, event.NewClock(), endpoints...)
}

// newTestGatewayWithClock is newTestGateway with a given clock.
func newTestGatewayWithClock(t *testing.T, clock event.Clock, endpoints ...*fakeEndpoint) *testGateway {
	t.Helper()
	return newConfiguredGateway(t, clock, testTable(1, "key"), nil, endpoints...)
}

// newConfiguredGateway is newTestGateway with a given clock, configuration and account of held memory; nil is none.
func newConfiguredGateway(t *testing.T, clock event.Clock, table *routing.Table, held *HeldMemory, endpoints ...*fakeEndpoint) *testGateway {
	t.Helper()
	o := &fakeOwner{versions: &message.Versions{Revision: 1, List: []message.ServiceVersions{{Service: "s", Versions: []string{""}}}}}
	o.publish(table)
	for i, s := range endpoints {
		o.endpoints = append(o.endpoints, registry.Endpoint{ID: fmt.Sprintf("e%d", i+1), Service: "s", Address: s.address, Slots: 4})
	}
	l, err := link.Listen("127.0.0.1:0", o.serve)
	if err != nil {
		t.Fatal(err)
	}
	agent := NewAgent(ClientConfig{
		Entry: "entry", Instance: 7, ControlAddresses: []string{l.Addr().String()}, ConfigValidity: 5 * event.Second,
		Limits: admission.Limits{QuotaWindow: event.Second, RetryWindow: event.Second, RetryMin: 10},
		Log:    zap.NewNop(),
	})
	agent.clock = clock
	ctx, cancel := context.WithCancel(context.Background())
	go agent.Run(ctx)
	g := New(Config{Agent: agent, Headers: testNames, ParseFeedback: testFeedback, ParseLoad: testLoad, MaxHeldBytes: 1 << 20, HeldMemory: held, Log: zap.NewNop(), Entry: "entry", Instance: 7})
	server := httptest.NewUnstartedServer(g)
	if held != nil {
		server.Config.ConnContext = ConnContext
	}
	server.Config.ErrorLog = zap.NewStdLog(zap.NewNop())
	server.Start()
	t.Cleanup(func() {
		server.Close()
		cancel()
		_ = l.Close()
	})
	waitFor(t, "the gateway is ready", g.Ready)
	return &testGateway{gateway: g, agent: agent, server: server, owner: o}
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

func (r *testGateway) request(method, path, body string) *http.Request {
	q, err := http.NewRequest(method, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		panic(err) // tests use valid paths
	}
	q.Host = "h.example"
	q.Header.Set("X-Request", "r-1")
	q.Header.Set("X-Deadline", "2500")
	q.Header.Set("X-Team", "forged")
	q.Header.Set("Authorization", "Key key")
	return q
}

// do sends a request and returns the status, the body, and whether the body is complete.
func (r *testGateway) do(t *testing.T, q *http.Request) (int, string, bool) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		return 0, "", false
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return a.StatusCode, string(body), err == nil
}

// emptyUnframed responds with a head that has neither a length nor chunks, and closes the connection.
func emptyUnframed(c net.Conn, r *http.Request) bool {
	fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\n\r\n", head(r, 200, ""))
	return false
}

// slowEvents streams two events with a pause between them, and resets the connection inside the third.
func slowEvents(c net.Conn, r *http.Request) bool {
	fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head(r, 200, ""))
	for id := range 2 {
		text := eventText(id + 1)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		time.Sleep(poison.BeginGrace)
	}
	fmt.Fprint(c, "10\r\nid: 99\ndata: ha")
	return reset(c, r)
}
