// SPDX-License-Identifier: MIT

package proc

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lynxramp.org/catalog"
	"lynxramp.org/engine/fake"
	"lynxramp.org/event"
)

// Ports that each process of a cluster uses on its own address.
const (
	callerPort = 8080
	boxPort    = 7080
	slotPort   = 9001
	enginePort = 8001
)

// waitBound is how long a condition may take to come true.
const waitBound = 30 * time.Second

// binaries is the folder of the built commands.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lynxramp-proc")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "lynxramp.org/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a started command.
type process struct {
	t      testing.TB
	name   string
	args   []string
	log    string
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool // by the test
}

func (p *process) start() {
	p.t.Helper()
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer f.Close()
	p.cmd = exec.Command(filepath.Join(binaries, p.name), p.args...)
	p.cmd.Stdout = f
	p.cmd.Stderr = f
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.exited = exited
	p.ended = false
	cmd := p.cmd
	go func() { _ = cmd.Wait(); close(exited) }()
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.ended = true
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop asks the process to stop as planned and waits until it did.
func (p *process) stop() {
	p.t.Helper()
	p.ended = true
	p.signal(syscall.SIGTERM)
	p.waitExit()
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		p.t.Errorf("%s %v ended with %d\n%s", p.name, p.args, code, tail(p.log))
	}
}

func (p *process) waitExit() {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitBound):
		p.t.Fatalf("%s %v did not stop\n%s", p.name, p.args, tail(p.log))
	}
}

func tail(file string) string {
	data, _ := os.ReadFile(file)
	if n := len(data) - 4000; n > 0 {
		data = data[n:]
	}
	return string(data)
}

// cluster is a deployment in processes of its own.
type cluster struct {
	t       testing.TB
	dir     string
	net     string // the first three numbers of its addresses
	boxes   []*process
	slots   []*process
	engines []*process
	relays  []*relay
	ways    map[[2]int]*relay // between control boxes
	started time.Time
	shape   shape
}

// shape is what a cluster consists of. Boxes up to controls have both roles,
// the others are entries.
type shape struct {
	boxes    int
	controls int
	engines  []float64 // speeds
	services int
	delay    time.Duration // of each plain call
	// relays puts a relay in front of each slot.
	relays bool
	// controlRelays puts a relay on each way from one control box to another.
	controlRelays bool
	// platform is the URL of the platform's list.
	platform string
	// catalog changes the catalog before anything starts.
	catalog func(*catalog.Catalog)
}

var clusters atomic.Int32

// Each team's key and tier.
var teams = map[string]string{"gold-team": "gold", "silver-team": "silver", "bronze-team": "bronze"}

// operatorKey is what operators' commands need.
const operatorKey = "a key of the operators"

const (
	model   = "lynx-chef"
	service = "card-api"
)

// newCluster starts a cluster and waits until each entry serves.
func newCluster(t testing.TB, s shape) *cluster {
	t.Helper()
	c := &cluster{
		t:       t,
		started: time.Now(),
		dir:     t.TempDir(),
		net:     fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, clusters.Add(1)),
		shape:   s,
	}
	c.write("key", "a key that tests share")
	c.write("operator-key", operatorKey)
	c.writeCatalog()
	for i := range s.engines {
		c.engines = append(c.engines, c.process(fmt.Sprintf("engine-%d", i), "lynxramp", "engine",
			"--listen", c.engine(i), "--speed", fmt.Sprint(s.engines[i])))
	}
	for i := range s.services {
		n := len(s.engines) + i
		c.engines = append(c.engines, c.process(fmt.Sprintf("service-%d", i), "lynxramp", "service",
			"--listen", c.engine(n), "--delay", s.delay.String()))
	}
	for i := range c.engines {
		file := c.writeSlot(i)
		c.slots = append(c.slots, c.process(fmt.Sprintf("slot-%d", i), "lynxslotd", file))
	}
	if s.relays {
		for i := range c.slots {
			c.relays = append(c.relays, newRelay(t, c.reach(i), c.slot(i)))
		}
	}
	if s.controlRelays {
		c.ways = make(map[[2]int]*relay)
		for from := range s.controls {
			for to := range s.controls {
				if from != to {
					c.ways[[2]int{from, to}] = newRelay(t, c.way(from, to), c.box(to))
				}
			}
		}
	}
	for i := range s.boxes {
		file := c.writeBox(i)
		c.boxes = append(c.boxes, c.process(fmt.Sprintf("box-%d", i), "lynxrampd", file))
	}
	for _, list := range [][]*process{c.engines, c.slots, c.boxes} {
		for _, p := range list {
			p.start()
		}
	}
	for i := range c.boxes {
		c.waitServing(i)
	}
	return c
}

func (c *cluster) process(log, name string, args ...string) *process {
	p := &process{t: c.t, name: name, args: args, log: filepath.Join(c.dir, log+".log")}
	c.t.Cleanup(func() {
		if p.cmd == nil {
			return
		}
		p.signal(syscall.SIGKILL)
		<-p.exited
		if c.t.Failed() {
			c.t.Logf("--- %s\n%s", log, tail(p.log))
		}
	})
	return p
}

func (c *cluster) write(name, content string) string {
	file := filepath.Join(c.dir, name)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}

func (c *cluster) caller(box int) string { return fmt.Sprintf("%s.%d:%d", c.net, 10+box, callerPort) }
func (c *cluster) box(box int) string    { return fmt.Sprintf("%s.%d:%d", c.net, 10+box, boxPort) }
func (c *cluster) slot(n int) string     { return fmt.Sprintf("%s.%d:%d", c.net, 100+n, slotPort) }
func (c *cluster) engine(n int) string   { return fmt.Sprintf("%s.%d:%d", c.net, 100+n, enginePort) }

// reach returns where entries reach a slot.
func (c *cluster) reach(n int) string {
	if c.shape.relays {
		return fmt.Sprintf("%s.%d:%d", c.net, 100+n, slotPort+1)
	}
	return c.slot(n)
}

func (c *cluster) endpointName(n int) string {
	if n < len(c.shape.engines) {
		return fmt.Sprintf("chef-%d", n)
	}
	return fmt.Sprintf("card-%d", n)
}

func (c *cluster) writeCatalog() {
	file := catalog.Catalog{
		Tiers: []catalog.Tier{{Name: "gold", Rank: 3}, {Name: "silver", Rank: 2}, {Name: "bronze", Rank: 1}},
		Services: []catalog.Service{
			{Name: model, Kind: catalog.KindModel, Pool: "chef", Models: []string{model}, Deadline: catalog.Duration(time.Minute)},
			{Name: service, Kind: catalog.KindPlain, Pool: "card", Deadline: catalog.Duration(time.Minute)},
		},
		Pools: []catalog.Pool{{Name: "chef", MaxWaiting: 10000}, {Name: "card", MaxWaiting: 10000}},
	}
	for name, tier := range teams {
		file.Teams = append(file.Teams, catalog.Team{Name: name, KeyHashes: []string{catalog.HashKey(name)}, Tier: tier})
	}
	for n := range len(c.shape.engines) + c.shape.services {
		e := catalog.Endpoint{Name: "", Concurrency: fake.DefaultProfile().MaxBatch, Speed: 1}
		pool := 1
		if n < len(c.shape.engines) {
			pool = 0
			e.Speed = c.shape.engines[n]
		}
		e.Name = event.EndpointID(c.endpointName(n))
		file.Pools[pool].Endpoints = append(file.Pools[pool].Endpoints, e)
	}
	if c.shape.catalog != nil {
		c.shape.catalog(&file)
	}
	// JSON is YAML.
	data, err := json.Marshal(file)
	if err != nil {
		c.t.Fatal(err)
	}
	c.write("catalog.yaml", string(data))
}

// control returns the control boxes as the process at a box reaches them; -1 is
// any other process.
func (c *cluster) control(from int) string {
	var b strings.Builder
	for i := range c.shape.controls {
		address := c.box(i)
		if c.shape.controlRelays && from >= 0 && from < c.shape.controls && from != i {
			address = c.way(from, i)
		}
		fmt.Fprintf(&b, "  - {id: box-%d, address: '%s'}\n", i, address)
	}
	return b.String()
}

// way returns the relay's address on the way from one control box to another.
func (c *cluster) way(from, to int) string {
	return fmt.Sprintf("%s.%d:%d", c.net, 10+to, boxPort+1+from)
}

// cutOff cuts the ways from a control box to the others, those to it, or both,
// or heals them.
func (c *cluster) cutOff(box int, from, to bool) {
	for pair, r := range c.ways {
		if pair[0] == box {
			r.setDown(from)
		}
		if pair[1] == box {
			r.setDown(to)
		}
	}
}

func (c *cluster) writeBox(i int) string {
	roles := "[entry]"
	if i < c.shape.controls {
		roles = "[entry, control]"
	}
	return c.write(fmt.Sprintf("box-%d.yaml", i), fmt.Sprintf(`id: box-%d
data_centre: dc-%d
roles: %s
listen: {callers: '%s', boxes: '%s'}
key_file: key
operator_key_file: operator-key
platform: '%s'
data: data-%d
catalog: catalog.yaml
drain: {notice: 100ms, bound: 30s}
limits: {body_time: 2s}
control:
%s`, i, i%2, roles, c.caller(i), c.box(i), c.shape.platform, i, c.control(i)))
}

func (c *cluster) writeSlot(n int) string {
	kind, pool := "model", "chef"
	if n >= len(c.shape.engines) {
		kind, pool = "plain", "card"
	}
	return c.write(fmt.Sprintf("slot-%d.yaml", n), fmt.Sprintf(`endpoint: %s
pool: %s
kind: %s
data_centre: dc-0
listen: '%s'
endpoint_address: '%s'
address: '%s'
key_file: key
drain: {bound: 30s}
control:
%s`, c.endpointName(n), pool, kind, c.slot(n), c.engine(n), c.reach(n), c.control(-1)))
}

// waitServing waits until an entry answers a call to each service.
func (c *cluster) waitServing(box int) {
	c.t.Helper()
	c.wait(fmt.Sprintf("box %d serves", box), func() bool {
		a := c.call(box, http.MethodPost, "/v1/completions", completion("ready?", 1, false), nil)
		return a.status == http.StatusOK
	})
}

// wait polls a condition until it is true.
func (c *cluster) wait(what string, condition func() bool) {
	c.t.Helper()
	until := time.Now().Add(waitBound)
	for !condition() {
		c.failOnExit()
		if time.Now().After(until) {
			c.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// failOnExit ends the test when a process ended that nobody ended.
func (c *cluster) failOnExit() {
	c.t.Helper()
	for _, list := range [][]*process{c.engines, c.slots, c.boxes} {
		for _, p := range list {
			select {
			case <-p.exited:
				if !p.ended {
					c.t.Fatalf("%s %v ended by itself\n%s", p.name, p.args, tail(p.log))
				}
			default:
			}
		}
	}
}
