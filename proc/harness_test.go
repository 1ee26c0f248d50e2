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

// Ports of the processes; each box and each endpoint has an address of its own.
const (
	callerPort = 8080
	boxPort    = 7080
	slotPort   = 9001
	enginePort = 8001
)

// waitTimeout bounds the wait for a condition.
const waitTimeout = 30 * time.Second

// binDir is the directory of the built commands.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lynxramp-proc")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "lynxramp.org/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a command that the test starts and stops.
type process struct {
	t            testing.TB
	name         string
	args         []string
	logFile      string // path of the file that receives its output
	cmd          *exec.Cmd
	exited       chan struct{}
	exitExpected bool // the test has stopped or killed it
}

func (p *process) start() {
	p.t.Helper()
	f, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer f.Close()
	p.cmd = exec.Command(filepath.Join(binDir, p.name), p.args...)
	p.cmd.Stdout = f
	p.cmd.Stderr = f
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.exited = exited
	p.exitExpected = false
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
	p.exitExpected = true
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM and waits until the process exits with status 0.
func (p *process) stop() {
	p.t.Helper()
	p.exitExpected = true
	p.signal(syscall.SIGTERM)
	p.waitExit()
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		p.t.Errorf("%s %v exited with status %d\n%s", p.name, p.args, code, tail(p.logFile))
	}
}

func (p *process) waitExit() {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s %v did not exit in time\n%s", p.name, p.args, tail(p.logFile))
	}
}

// tail returns the last 4000 bytes of a file.
func tail(file string) string {
	data, _ := os.ReadFile(file)
	if n := len(data) - 4000; n > 0 {
		data = data[n:]
	}
	return string(data)
}

// cluster is a deployment whose parts run in separate processes.
type cluster struct {
	t            testing.TB
	dir          string
	subnet       string // first three bytes of its addresses
	boxes        []*process
	slots        []*process
	engines      []*process
	relays       []*relay
	controlLinks map[[2]int]*relay // by sending and receiving control box
	started      time.Time
	topology     topology
}

// topology describes the processes of a cluster. The first boxes, as many as
// controls, have both roles; the others are entries.
type topology struct {
	boxes    int
	controls int
	engines  []float64 // speed of each
	services int
	delay    time.Duration // of each call of a plain service
	// relays puts a relay between the entries and each slot.
	relays bool
	// controlRelays puts a relay on each link from one control box to another.
	controlRelays bool
	// platform is the URL of the platform's list.
	platform string
	// catalog modifies the catalog before the processes start.
	catalog func(*catalog.Catalog)
}

var clusters atomic.Int32

// teams maps each team to its tier; a team's key is its name.
var teams = map[string]string{"gold-team": "gold", "silver-team": "silver", "bronze-team": "bronze"}

// operatorKey authenticates operators' commands.
const operatorKey = "a key of the operators"

const (
	model   = "lynx-chef"
	service = "card-api"
)

// newCluster starts a cluster and waits until each entry serves requests.
func newCluster(t testing.TB, s topology) *cluster {
	t.Helper()
	c := &cluster{
		t:        t,
		started:  time.Now(),
		dir:      t.TempDir(),
		subnet:   fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, clusters.Add(1)),
		topology: s,
	}
	c.writeFile("key", "a key that tests share")
	c.writeFile("operator-key", operatorKey)
	c.writeCatalog()
	for i := range s.engines {
		c.engines = append(c.engines, c.process(fmt.Sprintf("engine-%d", i), "lynxramp", "engine",
			"--listen", c.engineAddress(i), "--speed", fmt.Sprint(s.engines[i])))
	}
	for i := range s.services {
		n := len(s.engines) + i
		c.engines = append(c.engines, c.process(fmt.Sprintf("service-%d", i), "lynxramp", "service",
			"--listen", c.engineAddress(n), "--delay", s.delay.String()))
	}
	for i := range c.engines {
		file := c.writeSlotSettings(i)
		c.slots = append(c.slots, c.process(fmt.Sprintf("slot-%d", i), "lynxslotd", file))
	}
	if s.relays {
		for i := range c.slots {
			c.relays = append(c.relays, newRelay(t, c.slotAddress(i), c.slotListenAddress(i)))
		}
	}
	if s.controlRelays {
		c.controlLinks = make(map[[2]int]*relay)
		for from := range s.controls {
			for to := range s.controls {
				if from != to {
					c.controlLinks[[2]int{from, to}] = newRelay(t, c.linkAddress(from, to), c.boxAddress(to))
				}
			}
		}
	}
	for i := range s.boxes {
		file := c.writeBoxSettings(i)
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

// process returns a command that is not started yet; log names its log file.
func (c *cluster) process(log, name string, args ...string) *process {
	p := &process{t: c.t, name: name, args: args, logFile: filepath.Join(c.dir, log+".log")}
	c.t.Cleanup(func() {
		if p.cmd == nil {
			return
		}
		p.signal(syscall.SIGKILL)
		<-p.exited
		if c.t.Failed() {
			c.t.Logf("--- %s\n%s", log, tail(p.logFile))
		}
	})
	return p
}

func (c *cluster) writeFile(name, content string) string {
	file := filepath.Join(c.dir, name)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}

// callerAddress returns the address at which a box accepts callers' requests.
func (c *cluster) callerAddress(box int) string {
	return fmt.Sprintf("%s.%d:%d", c.subnet, 10+box, callerPort)
}
func (c *cluster) boxAddress(box int) string {
	return fmt.Sprintf("%s.%d:%d", c.subnet, 10+box, boxPort)
}
func (c *cluster) slotListenAddress(n int) string {
	return fmt.Sprintf("%s.%d:%d", c.subnet, 100+n, slotPort)
}
func (c *cluster) engineAddress(n int) string {
	return fmt.Sprintf("%s.%d:%d", c.subnet, 100+n, enginePort)
}

// slotAddress returns the address at which entries reach a slot.
func (c *cluster) slotAddress(n int) string {
	if c.topology.relays {
		return fmt.Sprintf("%s.%d:%d", c.subnet, 100+n, slotPort+1)
	}
	return c.slotListenAddress(n)
}

func (c *cluster) endpointName(n int) string {
	if n < len(c.topology.engines) {
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
	for n := range len(c.topology.engines) + c.topology.services {
		e := catalog.Endpoint{Name: "", Concurrency: fake.DefaultProfile().MaxBatch, Speed: 1}
		pool := 1
		if n < len(c.topology.engines) {
			pool = 0
			e.Speed = c.topology.engines[n]
		}
		e.Name = event.EndpointID(c.endpointName(n))
		file.Pools[pool].Endpoints = append(file.Pools[pool].Endpoints, e)
	}
	if c.topology.catalog != nil {
		c.topology.catalog(&file)
	}
	// JSON is valid YAML.
	data, err := json.Marshal(file)
	if err != nil {
		c.t.Fatal(err)
	}
	c.writeFile("catalog.yaml", string(data))
}

// controlPeers returns the settings of the control boxes as the given control box
// reaches them; -1 stands for any other process.
func (c *cluster) controlPeers(from int) string {
	var b strings.Builder
	for i := range c.topology.controls {
		address := c.boxAddress(i)
		if c.topology.controlRelays && from >= 0 && from < c.topology.controls && from != i {
			address = c.linkAddress(from, i)
		}
		fmt.Fprintf(&b, "  - {id: box-%d, address: '%s'}\n", i, address)
	}
	return b.String()
}

// linkAddress returns the address of the relay from one control box to another.
func (c *cluster) linkAddress(from, to int) string {
	return fmt.Sprintf("%s.%d:%d", c.subnet, 10+to, boxPort+1+from)
}

// partition cuts or restores the links from a control box to the others (from)
// and the links from the others to it (to).
func (c *cluster) partition(box int, from, to bool) {
	for pair, r := range c.controlLinks {
		if pair[0] == box {
			r.setDown(from)
		}
		if pair[1] == box {
			r.setDown(to)
		}
	}
}

func (c *cluster) writeBoxSettings(i int) string {
	roles := "[entry]"
	if i < c.topology.controls {
		roles = "[entry, control]"
	}
	return c.writeFile(fmt.Sprintf("box-%d.yaml", i), fmt.Sprintf(`id: box-%d
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
%s`, i, i%2, roles, c.callerAddress(i), c.boxAddress(i), c.topology.platform, i, c.controlPeers(i)))
}

func (c *cluster) writeSlotSettings(n int) string {
	kind, pool := "model", "chef"
	if n >= len(c.topology.engines) {
		kind, pool = "plain", "card"
	}
	return c.writeFile(fmt.Sprintf("slot-%d.yaml", n), fmt.Sprintf(`endpoint: %s
pool: %s
kind: %s
data_centre: dc-0
listen: '%s'
endpoint_address: '%s'
address: '%s'
key_file: key
drain: {bound: 30s}
control:
%s`, c.endpointName(n), pool, kind, c.slotListenAddress(n), c.engineAddress(n), c.slotAddress(n), c.controlPeers(-1)))
}

// waitServing waits until an entry serves a completion.
func (c *cluster) waitServing(box int) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("box %d serves", box), func() bool {
		a := c.call(box, http.MethodPost, "/v1/completions", completion("ready?", 1, false), nil)
		return a.status == http.StatusOK
	})
}

// waitFor polls a condition until it is true.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	until := time.Now().Add(waitTimeout)
	for !condition() {
		c.failOnExit()
		if time.Now().After(until) {
			c.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// failOnExit fails the test if a process has exited unexpectedly.
func (c *cluster) failOnExit() {
	c.t.Helper()
	for _, list := range [][]*process{c.engines, c.slots, c.boxes} {
		for _, p := range list {
			select {
			case <-p.exited:
				if !p.exitExpected {
					c.t.Fatalf("%s %v exited unexpectedly\n%s", p.name, p.args, tail(p.logFile))
				}
			default:
			}
		}
	}
}
