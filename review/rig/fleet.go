//go:build review

// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record is the file that has what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) line(what, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %-8s %s\n", time.Since(r.began).Seconds(), what, fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }

const (
	controlCount = 3
	entryCount   = 2
	heartbeat    = 1200 * time.Millisecond
	callTimeout  = time.Second
)

// box is a machine with its process.
type box struct {
	name, role, ip, dir string
	process             *exec.Cmd
	output              *os.File
	ended               chan struct{}
	stopping            atomic.Bool
}

// fleet is a small deployment: three control boxes and two entries, each with a loopback address of its own.
type fleet struct {
	target, template, dir                       string
	frontPort, readyPort, controlPort, linkPort string
	rec                                         *record
	boxes                                       []*box
	network                                     int
	settings                                    map[string]string // beside the usual ones
	client                                      *http.Client
	replicas                                    []*replica
	nextControl                                 atomic.Int64
}

func newFleet(target, template string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		target: target, template: template, dir: dir, rec: rec, network: 101 + rand.IntN(140), settings: make(map[string]string),
		client: &http.Client{
			Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for i := range controlCount {
		f.boxes = append(f.boxes, &box{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: fmt.Sprintf("127.%d.0.%d", f.network, i+1)})
	}
	for i := range entryCount {
		f.boxes = append(f.boxes, &box{name: fmt.Sprintf("edge-%d", i+1), role: "entry", ip: fmt.Sprintf("127.%d.1.%d", f.network, i+1)})
	}
	for _, port := range []*string{&f.frontPort, &f.readyPort, &f.controlPort, &f.linkPort} {
		if *port, err = f.freePort(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freePort returns a port that is free on the addresses of all boxes.
func (f *fleet) freePort() (string, error) {
	port := "0"
	for try := 0; try < 50; try++ {
		isFree := true
		for _, b := range f.boxes {
			l, err := net.Listen("tcp", net.JoinHostPort(b.ip, port))
			if err != nil {
				isFree = false
				break
			}
			defer l.Close()
			if _, port, err = net.SplitHostPort(l.Addr().String()); err != nil {
				return "", err
			}
		}
		if isFree {
			return port, nil
		}
		port = "0"
	}
	return "", errors.New("no port is free on all addresses")
}

// start starts all boxes and waits until the entries are ready.
func (f *fleet) start(config map[string]any) error {
	for _, b := range f.boxes {
		if err := f.startBox(b, true); err != nil {
			return err
		}
	}
	if err := f.mustPutConfig(config); err != nil {
		return err
	}
	return f.awaitReady(10 * time.Second)
}

func (f *fleet) seeds() []string {
	var list []string
	for _, b := range f.boxes {
		if b.role == "control" {
			list = append(list, b.ip+":"+f.controlPort)
		}
	}
	return list
}

// startBox starts the process of a box, as the deploy file has it.
func (f *fleet) startBox(b *box, first bool) error {
	b.dir = filepath.Join(f.dir, b.name)
	if err := os.MkdirAll(b.dir, 0o700); err != nil {
		return err
	}
	seeds, err := json.Marshal(f.seeds())
	if err != nil {
		return err
	}
	values := map[string]string{
		"nodeName": b.name, "role": b.role, "zone": "z1", "ip": b.ip, "portRange.0": f.linkPort, "seeds|json": string(seeds),
		"bootstrap|json": fmt.Sprint(first), "dataDir": filepath.Join(b.dir, "data"), "limits.memoryMb": "280", "limits.maxFds": "4096",
		"faultTolerance.machines": "1", "heartbeatMs": fmt.Sprint(heartbeat.Milliseconds()), "bounds.graceS": "8", "bounds.revokeMs": "5000",
		"bounds.quotaWindowS": "8", "bounds.quotaOvershoot": "0.1", "bounds.quotaSlack": "140000", "bounds.budgetWindowS": "10",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetMinRetries": "52",
		"contracts|json": `["base","drain","config","cost","retry","recover","engine","stream","tenants","quota"]`,
	}
	if b.role == "control" {
		values["listen.control"] = b.ip + ":" + f.controlPort
	} else {
		values["listen.front"], values["listen.readiness"] = b.ip+":"+f.frontPort, b.ip+":"+f.readyPort
	}
	for name, value := range f.settings {
		values[name] = value
	}
	text, err := fillTemplate(f.template, values)
	if err != nil {
		return err
	}
	file := filepath.Join(b.dir, "settings.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	if b.output, err = os.OpenFile(filepath.Join(b.dir, "output"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	b.process = exec.Command(f.target)
	b.process.Env = append(os.Environ(), wire["settings"]+"="+file)
	b.process.Stdout, b.process.Stderr = b.output, b.output
	b.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.process.Start(); err != nil {
		return err
	}
	b.ended = make(chan struct{})
	b.stopping.Store(false)
	f.rec.line("start", "%s at %s, process %d", b.name, b.ip, b.process.Process.Pid)
	go func() {
		_ = b.process.Wait() // ended says so
		close(b.ended)
	}()
	return nil
}

// fillTemplate fills the project's template for the settings as the platform does.
func fillTemplate(path string, values map[string]string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	text := string(data)
	for _, section := range []string{"listen.front", "listen.control", "bounds.exposeShare"} {
		name := regexp.QuoteMeta(section)
		replacement := "$1"
		if values[section] == "" {
			replacement = ""
		}
		text = regexp.MustCompile(`(?s)\{\{#`+name+`\}\}(.*?)\{\{/`+name+`\}\}`).ReplaceAllString(text, replacement)
	}
	return regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(text, func(g string) string { return values[strings.Trim(g, "{}")] }), nil
}

// unexpectedEnd returns an error if a process has ended by itself.
func (f *fleet) unexpectedEnd() error {
	for _, b := range f.boxes {
		select {
		case <-b.ended:
			if !b.stopping.Load() {
				return fmt.Errorf("the process of %s has ended by itself", b.name)
			}
		default:
		}
	}
	return nil
}

// stop ends all processes and stand-ins.
func (f *fleet) stop() {
	for _, r := range f.replicas {
		r.crash()
	}
	for _, b := range f.boxes {
		if b.process == nil || b.process.Process == nil {
			continue
		}
		b.stopping.Store(true)
		_ = b.process.Process.Kill() // it may have ended
		<-b.ended
		_ = b.output.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

func (f *fleet) entries() []*box {
	var list []*box
	for _, b := range f.boxes {
		if b.role == "entry" {
			list = append(list, b)
		}
	}
	return list
}

// awaitReady waits until all entries say that they are ready.
func (f *fleet) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, b := range f.entries() {
			a, err := f.client.Get("http://" + b.ip + ":" + f.readyPort + wire["base"] + "ready")
			if err == nil {
				_ = a.Body.Close()
				if a.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == entryCount {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the entries are not ready in time")
		}
	}
}

// callControl sends one call to a control box and follows redirects twice.
func (f *fleet) callControl(address, method, path string, body []byte) (int, []byte, error) {
	url := "http://" + address + path
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			cancel()
			return 0, nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		a, err := f.client.Do(r)
		if err != nil {
			cancel()
			return 0, nil, err
		}
		data, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		cancel()
		if err != nil {
			return 0, nil, err
		}
		if a.StatusCode != http.StatusTemporaryRedirect {
			return a.StatusCode, data, nil
		}
		url = a.Header.Get("Location")
	}
	return http.StatusTemporaryRedirect, nil, nil
}

// order sends an order of the operator to the control boxes in turn until it has a clear answer.
func (f *fleet) order(method, path string, body []byte, timeout time.Duration) (int, []byte) {
	seeds := f.seeds()
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		status, data, err := f.callControl(seeds[int(f.nextControl.Add(1))%len(seeds)], method, path, body)
		if err == nil && status >= 200 && status < 500 && status != http.StatusTemporaryRedirect && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, data
		}
		if time.Now().After(deadline) {
			return 0, nil
		}
	}
}

// mustPutConfig sends a configuration until it is acknowledged.
func (f *fleet) mustPutConfig(config map[string]any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	status, answer := f.order(http.MethodPut, wire["base"]+"config", body, 15*time.Second)
	f.rec.line("operator", "PUT config %s -> %d", body, status)
	if status != http.StatusOK {
		return fmt.Errorf("configuration not acknowledged: %d %s", status, answer)
	}
	return nil
}
