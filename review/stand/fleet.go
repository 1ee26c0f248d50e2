//go:build review

// SPDX-License-Identifier: MIT

// Package stand has the stand-ins of the review's cases: the platform, which starts and stops the processes of a small
// deployment and passes clients to ready entries, and its operator, replicas and clients. They speak what the users'
// pages say.
package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Record has the lines of record.txt.
type Record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{began: time.Now()} }

// Add adds a line with the present time.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
}

// Write writes the record.
func (r *Record) Write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// Ports of machines, from a first one on that is the same on all of them; each machine has a loopback address of its
// own.
const (
	frontPort = iota
	readyPort
	controlPort
	linkPort
	portCount
)

// Machine is a machine of the deployment.
type Machine struct {
	Name, Role, IP string
	dir            string
	bootstrap      bool // at its first start
	firstPort      int
	process        *exec.Cmd
	exited         chan struct{}
	output         bytes.Buffer
}

// Front returns the address for clients.
func (m *Machine) Front() string { return m.address(frontPort) }

// Control returns the address for the operator and replicas.
func (m *Machine) Control() string { return m.address(controlPort) }

func (m *Machine) address(port int) string { return fmt.Sprintf("%s:%d", m.IP, m.firstPort+port) }

// Ready asks the machine whether it is ready.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Get("http://" + m.address(readyPort) + Wire.ReadyPath)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// Fleet is a small deployment.
type Fleet struct {
	Record            *Record
	Controls, Entries []*Machine
	network           int // second byte of all addresses
	firstPort         int
	program, template string
	dir               string
	reserved          net.Listener
	closing           sync.Mutex // no process is started after it
	isClosed          atomic.Bool
}

// New starts a deployment, all machines at once. Program and template are those of the deploy file.
func New(record *Record, root string, controls, entries int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.yaml.template"))
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: record, program: filepath.Join(root, "target", "lynxrampfleet"), template: string(template), dir: dir}
	if err := f.reserve(); err != nil {
		return nil, err
	}
	f.closeOnSignal()
	for i := range controls {
		f.Controls = append(f.Controls, f.machine(fmt.Sprintf("core-%d", i+1), "control", 1+i))
	}
	for i := range entries {
		f.Entries = append(f.Entries, f.machine(fmt.Sprintf("edge-%d", i+1), "entry", 101+i))
	}
	for _, m := range f.machines() {
		if err := f.Start(m); err != nil {
			f.Close()
			return nil, err
		}
		m.bootstrap = false
	}
	return f, nil
}

// closeOnSignal ends all processes if the test itself is told to end.
func (f *Fleet) closeOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-told
		f.Close()
		os.Exit(2)
	}()
}

// reserve finds a network of loopback addresses, and ports, that nobody uses.
func (f *Fleet) reserve() error {
	for i := range 150 {
		f.network, f.firstPort = 60+(os.Getpid()+i)%150, 17000+(os.Getpid()*8+i*64)%12000
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", f.network, f.firstPort))
		if err != nil {
			continue
		}
		if f.areFree() {
			f.reserved = l
			return nil
		}
		_ = l.Close()
	}
	return fmt.Errorf("no loopback addresses with free ports")
}

// areFree reports whether the ports are free at the addresses that machines get.
func (f *Fleet) areFree() bool {
	for _, host := range []int{1, 2, 3, 101, 102} {
		for port := range portCount {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.%d:%d", f.network, host, f.firstPort+port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *Fleet) machine(name, role string, host int) *Machine {
	return &Machine{Name: name, Role: role, IP: fmt.Sprintf("127.%d.0.%d", f.network, host), dir: filepath.Join(f.dir, name), bootstrap: true, firstPort: f.firstPort}
}

func (f *Fleet) machines() []*Machine {
	return append(append([]*Machine(nil), f.Controls...), f.Entries...)
}

// seeds returns the control addresses of three machines.
func (f *Fleet) seeds() []string {
	var list []string
	for _, m := range f.Controls[:min(3, len(f.Controls))] {
		list = append(list, m.Control())
	}
	return list
}

// Start starts a machine's process with settings filled in as the platform does.
func (f *Fleet) Start(m *Machine) error {
	if err := os.MkdirAll(m.dir, 0o755); err != nil {
		return err
	}
	listen := map[string]any{"control": m.Control()}
	limits := map[string]any{"memoryMb": 280, "maxFds": 4096}
	if m.Role == "entry" {
		listen = map[string]any{"front": m.Front(), "readiness": m.address(readyPort)}
		limits = map[string]any{"memoryMb": EntryMemory, "maxFds": 4200}
	}
	text := fill(f.template, map[string]any{
		"nodeName": m.Name, "role": m.Role, "zone": "z1", "ip": m.IP, "listen": listen, "limits": limits,
		"portRange": []any{f.firstPort + linkPort, f.firstPort + linkPort + 15}, "seeds": f.seeds(), "bootstrap": m.bootstrap, "dataDir": filepath.Join(m.dir, "data"),
		"faultTolerance": map[string]any{"machines": (len(f.Controls) - 1) / 2}, "heartbeatMs": 1200,
		"bounds": map[string]any{
			"graceS": GraceS, "revokeMs": 5000, "quotaWindowS": 8, "quotaOvershoot": 0.1, "quotaSlack": 140000,
			"budgetWindowS": 10, "retryBudgetRatio": 0.2, "budgetMinRetries": 52,
		},
		"contracts": Contracts,
	})
	file := filepath.Join(m.dir, "local.yaml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	m.process = exec.Command(f.program)
	m.process.Env = append(os.Environ(), Wire.Settings+"="+file)
	m.process.Stdout, m.process.Stderr = &m.output, &m.output
	if err := m.process.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		err := process.Wait()
		f.Record.Add("%s: its process ended: %v", m.Name, err)
		close(exited)
	}(m.process, m.exited)
	return nil
}

// Contracts are the contracts in force.
var Contracts = []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota"}

// EntryMemory is the memory limit of an entry, in MB.
var EntryMemory = 284

// GraceS is the time from SIGTERM to SIGKILL, in seconds.
const GraceS = 8

// Signal sends a signal to a machine's process.
func (f *Fleet) Signal(m *Machine, s syscall.Signal) {
	f.Record.Add("%s: %v is sent", m.Name, s)
	_ = m.process.Process.Signal(s)
}

// Terminate sends SIGTERM, and SIGKILL after GraceS.
func (f *Fleet) Terminate(m *Machine) {
	f.Signal(m, syscall.SIGTERM)
	go func(process *exec.Cmd, exited chan struct{}) {
		select {
		case <-exited:
		case <-time.After(GraceS * time.Second):
			_ = process.Process.Kill()
		}
	}(m.process, m.exited)
}

// Close ends all processes and removes their files.
func (f *Fleet) Close() {
	f.closing.Lock()
	defer f.closing.Unlock()
	f.isClosed.Store(true)
	for _, m := range f.machines() {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			<-m.exited
			if dir := os.Getenv("KEEP_LOGS"); dir != "" {
				_ = os.WriteFile(filepath.Join(dir, m.Name+".log"), m.output.Bytes(), 0o644)
			}
		}
	}
	_ = f.reserved.Close()
	_ = os.RemoveAll(f.dir)
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/([^}]+)\}\}`)
	gap     = regexp.MustCompile(`\{\{([^}#/^]+)\}\}`)
)

// fill fills the gaps of a template of the deploy file.
func fill(template string, values map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		parts := section.FindStringSubmatch(s)
		if lookUp(values, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return gap.ReplaceAllStringFunc(template, func(g string) string {
		name, isJSON := strings.CutSuffix(strings.Trim(g, "{}"), "|json")
		switch v := lookUp(values, name).(type) {
		case nil:
			return ""
		case string:
			if !isJSON {
				return v
			}
			return toJSON(v)
		default:
			return toJSON(v)
		}
	})
}

func toJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // texts, numbers and lists always encode
	}
	return string(data)
}

func lookUp(value any, name string) any {
	for part := range strings.SplitSeq(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

// Call sends a call of the operator or of a replica to the control machines in turn, and follows 307 twice, until one
// answers with 200 or 400, or the time is over.
func (f *Fleet) Call(method, path string, body []byte, timeout time.Duration) (int, []byte) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	status, answer := 0, []byte(nil)
	for try, end := 0, time.Now().Add(timeout); time.Now().Before(end); try++ {
		r, err := http.NewRequest(method, "http://"+f.Controls[try%len(f.Controls)].Control()+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		if a, err := client.Do(r); err == nil {
			status = a.StatusCode
			answer, err = io.ReadAll(a.Body)
			_ = a.Body.Close()
			if err == nil && (status == http.StatusOK || status == http.StatusBadRequest) {
				return status, answer
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status, answer
}

// PutConfig sends a configuration until it is acknowledged.
func (f *Fleet) PutConfig(text string, timeout time.Duration) error {
	status, answer := f.Call(http.MethodPut, Wire.ConfigPath, []byte(text), timeout)
	f.Record.Add("operator: PUT %s: %d", Wire.ConfigPath, status)
	if status != http.StatusOK {
		return fmt.Errorf("the configuration got status %d: %s", status, answer)
	}
	return nil
}
