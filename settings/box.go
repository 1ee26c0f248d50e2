// SPDX-License-Identifier: MIT

package settings

import (
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
)

// Role is a function that a box performs.
type Role string

// The roles of a box.
const (
	// RoleEntry accepts callers' requests.
	RoleEntry Role = "entry"
	// RoleControl stores the control state and may own pools.
	RoleControl Role = "control"
)

// Box is the settings file of lynxrampd.
type Box struct {
	ID         event.BoxID `yaml:"id"`
	DataCentre string      `yaml:"data_centre"`
	Roles      []Role      `yaml:"roles"`
	Listen     Listen      `yaml:"listen"`
	// Control lists the boxes of the control role, including this one if it has the role.
	Control []Peer `yaml:"control"`
	// KeyFile contains the key shared by the system's processes. All paths are
	// relative to the settings file.
	KeyFile string `yaml:"key_file"`
	// OperatorKeyFile contains the key required for operators' commands.
	OperatorKeyFile string `yaml:"operator_key_file"`
	// Platform is the URL (http://IP:port/path) of the platform's list of boxes;
	// empty if there is none.
	Platform string `yaml:"platform"`
	// DataDir is the directory of a control box's state.
	DataDir string `yaml:"data"`
	// Catalog is the catalog file with which a new control group is initialised.
	Catalog string `yaml:"catalog"`
	Limits  Limits `yaml:"limits"`
	Drain   Drain  `yaml:"drain"`
	Log     Log    `yaml:"log"`
}

// Listen has the addresses of a box, as IP:port. An entry needs Callers, a control box Boxes.
type Listen struct {
	Callers string `yaml:"callers"`
	Boxes   string `yaml:"boxes"`
}

// Peer is a control box and its address, as IP:port.
type Peer struct {
	ID      event.BoxID `yaml:"id"`
	Address string      `yaml:"address"`
}

// Limits bounds the resources of an entry; 0 selects the default.
type Limits struct {
	// MaxBodyBytes is the maximum size of one request body, MaxHeldBytes that of all bodies
	// in memory together.
	MaxBodyBytes int64 `yaml:"body_bytes"`
	MaxHeldBytes int64 `yaml:"held_bytes"`
	// MaxRequests is the maximum number of requests in flight.
	MaxRequests int `yaml:"requests"`
	// BodyTimeout is how long a caller may take to send a body.
	BodyTimeout catalog.Duration `yaml:"body_time"`
}

// Drain controls a planned shutdown.
type Drain struct {
	// ShutdownDelay is how long a stopping entry still accepts requests after /readyz
	// started to fail.
	ShutdownDelay catalog.Duration `yaml:"notice"`
	// Timeout is how long requests in flight may take to finish.
	Timeout catalog.Duration `yaml:"bound"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Slot is the settings file of lynxslotd.
type Slot struct {
	Endpoint   event.EndpointID `yaml:"endpoint"`
	Pool       string           `yaml:"pool"`
	Kind       catalog.Kind     `yaml:"kind"`
	DataCentre string           `yaml:"data_centre"`
	Listen     string           `yaml:"listen"`
	// Address is where entries reach the slot, as IP:port; empty for Listen.
	Address string `yaml:"address"`
	// EndpointAddress is where the endpoint serves HTTP, as IP:port.
	EndpointAddress string `yaml:"endpoint_address"`
	Control         []Peer `yaml:"control"`
	KeyFile         string `yaml:"key_file"`
	MaxBodyBytes    int64  `yaml:"body_bytes"`
	Drain           Drain  `yaml:"drain"`
	Log             Log    `yaml:"log"`
}

// Defaults of omitted settings.
const (
	DefaultMaxBodyBytes  = 4 << 20
	DefaultMaxHeldBytes  = 1 << 30
	DefaultMaxRequests   = 50_000
	DefaultBodyTimeout   = 30 * time.Second
	DefaultShutdownDelay = 2 * time.Second
	DefaultDrainTimeout  = 5 * time.Minute
	defaultLogLevel      = "info"
)

// minKeyBytes is the minimum length of the shared key.
const minKeyBytes = 16

// Kind is the kind of a settings file.
type Kind string

// The kinds of files.
const (
	KindBox     Kind = "box"
	KindSlot    Kind = "slot"
	KindCatalog Kind = "catalog"
	KindFleet   Kind = "fleet"
)

// LoadBox reads the settings of lynxrampd and the catalog file they name.
func LoadBox(file string) (Box, catalog.Catalog, error) {
	var b Box
	d, err := decodeFile(file, &b)
	if err != nil {
		return b, catalog.Catalog{}, err
	}
	d.checkBox(&b)
	var c catalog.Catalog
	if b.Catalog != "" {
		var found Problems
		c, found = loadCatalog(resolvePath(file, b.Catalog))
		d.problems = append(d.problems, found...)
		d.checkCapacity(b, c)
	}
	b.KeyFile = resolvePath(file, b.KeyFile)
	b.OperatorKeyFile = resolvePath(file, b.OperatorKeyFile)
	b.DataDir = resolvePath(file, b.DataDir)
	b.setDefaults()
	return b, c, d.problems.asError()
}

// LoadSlot reads the settings of lynxslotd.
func LoadSlot(file string) (Slot, error) {
	var s Slot
	d, err := decodeFile(file, &s)
	if err != nil {
		return s, err
	}
	d.checkSlot(&s)
	s.KeyFile = resolvePath(file, s.KeyFile)
	s.setDefaults()
	return s, d.problems.asError()
}

// LoadCatalog reads a catalog file.
func LoadCatalog(file string) (catalog.Catalog, error) {
	c, problems := loadCatalog(file)
	return c, problems.asError()
}

// Check reads a file of any kind and returns its kind. The error has all problems.
func Check(file string) (Kind, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fileProblems(file, err)
	}
	switch guessKind(string(data)) {
	case KindCatalog:
		_, err = LoadCatalog(file)
		return KindCatalog, err
	case KindSlot:
		_, err = LoadSlot(file)
		return KindSlot, err
	case KindFleet:
		_, err = LoadFleet(file)
		return KindFleet, err
	default:
		_, _, err = LoadBox(file)
		return KindBox, err
	}
}

// guessKind returns the kind of a file by its first top-level key among those listed here.
func guessKind(data string) Kind {
	for line := range strings.Lines(data) {
		switch key, _, _ := strings.Cut(line, ":"); key {
		case "tiers", "teams", "services", "pools", "rules":
			return KindCatalog
		case "endpoint", "endpoint_address", "pool":
			return KindSlot
		case "role", "seeds", "unprotected":
			return KindFleet
		case "roles", "control":
			return KindBox
		}
	}
	return KindBox
}

func decodeFile(file string, v any) (*decoder, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fileProblems(file, err)
	}
	d := &decoder{file: file}
	d.decode(data, v)
	return d, nil
}

func fileProblems(file string, err error) Problems {
	return Problems{{File: file, Path: rootPath, Message: err.Error()}}
}

func loadCatalog(file string) (catalog.Catalog, Problems) {
	var c catalog.Catalog
	data, err := os.ReadFile(file)
	if err != nil {
		return c, fileProblems(file, err)
	}
	return parseCatalog(file, data)
}

func parseCatalog(file string, data []byte) (catalog.Catalog, Problems) {
	var c catalog.Catalog
	d := &decoder{file: file}
	d.decode(data, &c)
	for _, p := range catalog.Check(c) {
		d.addAt(p.Path, "%s", p.Message)
	}
	return c, d.problems
}

// resolvePath resolves a path relative to the directory of file.
func resolvePath(file, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

func (d *decoder) checkBox(b *Box) {
	d.require("id", string(b.ID))
	d.require("data_centre", b.DataCentre)
	d.require("key_file", b.KeyFile)
	if len(b.Roles) == 0 {
		d.addAt("roles", "no role given")
	}
	for i, r := range b.Roles {
		if r != RoleEntry && r != RoleControl {
			d.addAt(itemPath("roles", i), "%q is neither %q nor %q", r, RoleEntry, RoleControl)
		}
	}
	if b.HasRole(RoleEntry) {
		d.checkAddress("listen.callers", b.Listen.Callers)
	}
	if b.HasRole(RoleControl) {
		d.require("catalog", b.Catalog)
		d.require("data", b.DataDir)
		d.require("operator_key_file", b.OperatorKeyFile)
		d.checkAddress("listen.boxes", b.Listen.Boxes)
		if !slices.ContainsFunc(b.Control, func(p Peer) bool { return p.ID == b.ID }) {
			d.addAt("control", "this box has the control role but is not in the list")
		}
	}
	d.checkPeers(b.Control)
	d.checkURL("platform", b.Platform)
	d.checkLimits(b.Limits)
	d.checkDrain(b.Drain)
	d.checkLog(b.Log)
}

func (d *decoder) checkSlot(s *Slot) {
	d.require("endpoint", string(s.Endpoint))
	d.require("pool", s.Pool)
	d.require("data_centre", s.DataCentre)
	d.require("key_file", s.KeyFile)
	if s.Kind != catalog.KindModel && s.Kind != catalog.KindPlain {
		d.addAt("kind", "%q is neither %q nor %q", s.Kind, catalog.KindModel, catalog.KindPlain)
	}
	d.checkAddress("listen", s.Listen)
	d.checkAddress("endpoint_address", s.EndpointAddress)
	if s.Address != "" {
		d.checkAddress("address", s.Address)
	}
	d.checkPeers(s.Control)
	if s.MaxBodyBytes < 0 {
		d.addAt("body_bytes", "%d is negative", s.MaxBodyBytes)
	}
	d.checkDrain(s.Drain)
	d.checkLog(s.Log)
}

// checkCapacity reports an entry whose request limit is below the capacity of the pools.
// A full entry refuses requests regardless of tier, so the queues must fill first.
func (d *decoder) checkCapacity(b Box, c catalog.Catalog) {
	capacity := 0
	for _, p := range c.Pools {
		capacity += p.MaxWaiting
		for _, e := range p.Endpoints {
			capacity += e.Concurrency
		}
	}
	if b.Limits.MaxRequests > 0 && b.Limits.MaxRequests < capacity {
		d.addAt("limits.requests", "%d is less than the capacity of the pools (%d); a full entry would refuse requests regardless of tier", b.Limits.MaxRequests, capacity)
	}
}

func (d *decoder) require(path, value string) {
	if value == "" {
		d.addAt(path, "required value is missing")
	}
}

// checkURL checks an http URL whose host is an IP address and port; it may be empty.
func (d *decoder) checkURL(path, value string) {
	if value == "" {
		return
	}
	u, err := url.Parse(value)
	if err == nil && u.Scheme == "http" {
		_, err = netip.ParseAddrPort(u.Host)
	}
	if err != nil || u.Scheme != "http" {
		d.addAt(path, "%q is not a URL like http://IP:port/path", value)
	}
}

func (d *decoder) checkAddress(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.addAt(path, "%q is not an address (IP:port)", value)
	}
}

func (d *decoder) checkPeers(peers []Peer) {
	if len(peers) == 0 {
		d.addAt("control", "no control box given")
	}
	seen := make(map[event.BoxID]bool)
	for i, p := range peers {
		path := itemPath("control", i)
		d.require(path+".id", string(p.ID))
		d.checkAddress(path+".address", p.Address)
		if seen[p.ID] {
			d.addAt(path+".id", "duplicate id %q", p.ID)
		}
		seen[p.ID] = true
	}
}

func (d *decoder) checkLimits(l Limits) {
	if l.MaxBodyBytes < 0 || l.MaxHeldBytes < 0 || l.MaxRequests < 0 || l.BodyTimeout < 0 {
		d.addAt("limits", "a limit is negative")
	}
}

func (d *decoder) checkDrain(s Drain) {
	if s.ShutdownDelay < 0 || s.Timeout < 0 {
		d.addAt("drain", "a duration is negative")
	}
}

func (d *decoder) checkLog(l Log) {
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, l.Level) {
		d.addAt("log.level", "%q is not debug, info, warn or error", l.Level)
	}
}

func (b *Box) setDefaults() {
	b.Limits.MaxBodyBytes = orDefault(b.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	b.Limits.MaxHeldBytes = orDefault(b.Limits.MaxHeldBytes, DefaultMaxHeldBytes)
	b.Limits.MaxRequests = orDefault(b.Limits.MaxRequests, DefaultMaxRequests)
	b.Limits.BodyTimeout = orDefault(b.Limits.BodyTimeout, catalog.Duration(DefaultBodyTimeout))
	b.Drain.setDefaults()
	b.Log.Level = orDefault(b.Log.Level, defaultLogLevel)
}

func (s *Slot) setDefaults() {
	s.Address = orDefault(s.Address, s.Listen)
	s.MaxBodyBytes = orDefault(s.MaxBodyBytes, DefaultMaxBodyBytes)
	s.Drain.setDefaults()
	s.Log.Level = orDefault(s.Log.Level, defaultLogLevel)
}

func (d *Drain) setDefaults() {
	d.ShutdownDelay = orDefault(d.ShutdownDelay, catalog.Duration(DefaultShutdownDelay))
	d.Timeout = orDefault(d.Timeout, catalog.Duration(DefaultDrainTimeout))
}

// HasRole reports whether the box has a role.
func (b Box) HasRole(r Role) bool { return slices.Contains(b.Roles, r) }

// ReadKey returns the shared key in a file.
func ReadKey(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "key file")
	}
	key := strings.TrimSpace(string(data))
	if len(key) < minKeyBytes {
		return "", errors.Errorf("key file %s: the key is shorter than %d bytes", file, minKeyBytes)
	}
	return key, nil
}

// orDefault returns v, or def if v is the zero value.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
