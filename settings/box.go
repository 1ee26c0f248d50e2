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

// Role is a part that a box plays.
type Role string

// The roles of a box.
const (
	// RoleEntry takes callers' requests.
	RoleEntry Role = "entry"
	// RoleControl keeps the control state and may own pools.
	RoleControl Role = "control"
)

// Box is the settings file of lynxrampd.
type Box struct {
	ID         event.BoxID `yaml:"id"`
	DataCentre string      `yaml:"data_centre"`
	Roles      []Role      `yaml:"roles"`
	Listen     Listen      `yaml:"listen"`
	// Control has the boxes of the control role, this one included if it is one.
	Control []Peer `yaml:"control"`
	// KeyFile holds the key that the system's processes share. Its path, as each
	// path here, is relative to the settings file.
	KeyFile string `yaml:"key_file"`
	// OperatorKeyFile holds the key that operators' commands need.
	OperatorKeyFile string `yaml:"operator_key_file"`
	// Platform is the URL (http://IP:port/path) of the platform's list of boxes;
	// empty if there is none.
	Platform string `yaml:"platform"`
	// DataDir is the folder of a control box's state.
	DataDir string `yaml:"data"`
	// Catalog is the file of the catalog that a new control group begins with.
	Catalog string `yaml:"catalog"`
	Limits  Limits `yaml:"limits"`
	Drain   Drain  `yaml:"drain"`
	Log     Log    `yaml:"log"`
}

// Listen has the addresses of a box, as IP:port.
type Listen struct {
	Callers string `yaml:"callers"`
	Boxes   string `yaml:"boxes"`
}

// Peer is a box of the control role.
type Peer struct {
	ID      event.BoxID `yaml:"id"`
	Address string      `yaml:"address"`
}

// Limits bounds what an entry holds; 0 stands for the default.
type Limits struct {
	MaxBodyBytes int64 `yaml:"body_bytes"`
	MaxHeldBytes int64 `yaml:"held_bytes"`
	MaxRequests  int   `yaml:"requests"`
	// BodyTimeout is how long a caller may take to send a body.
	BodyTimeout catalog.Duration `yaml:"body_time"`
}

// Drain says how a planned stop goes.
type Drain struct {
	// ShutdownDelay is how long a stopping entry still takes requests after /readyz
	// said no.
	ShutdownDelay catalog.Duration `yaml:"notice"`
	// Timeout is how long requests in flight may go on.
	Timeout catalog.Duration `yaml:"bound"`
}

// Log says what is logged.
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
	// Address is where entries reach the slot, if that is not Listen.
	Address string `yaml:"address"`
	// EndpointAddress is where the endpoint serves HTTP, as IP:port.
	EndpointAddress string `yaml:"endpoint_address"`
	Control         []Peer `yaml:"control"`
	KeyFile         string `yaml:"key_file"`
	MaxBodyBytes    int64  `yaml:"body_bytes"`
	Drain           Drain  `yaml:"drain"`
	Log             Log    `yaml:"log"`
}

// Defaults of what a file leaves out.
const (
	DefaultMaxBodyBytes = 4 << 20
	DefaultMaxHeldBytes = 1 << 30
	DefaultMaxRequests  = 50_000
	DefaultBodyTimeout  = 30 * time.Second
	DefaultDrainNotice  = 2 * time.Second
	DefaultDrainTimeout = 5 * time.Minute
	defaultLevel        = "info"
)

// minKeyBytes is the least length of the shared key.
const minKeyBytes = 16

// Kind is what a settings file is for.
type Kind string

// The kinds of files.
const (
	KindBox     Kind = "box"
	KindSlot    Kind = "slot"
	KindCatalog Kind = "catalog"
	KindFleet   Kind = "fleet"
)

// LoadBox reads the settings of lynxrampd with the catalog they name.
func LoadBox(file string) (Box, catalog.Catalog, error) {
	var b Box
	d, err := read(file, &b)
	if err != nil {
		return b, catalog.Catalog{}, err
	}
	d.checkBox(&b)
	var c catalog.Catalog
	if b.Catalog != "" {
		var inner Findings
		c, inner = loadCatalog(beside(file, b.Catalog))
		d.findings = append(d.findings, inner...)
		d.checkRoom(b, c)
	}
	b.KeyFile = beside(file, b.KeyFile)
	b.OperatorKeyFile = beside(file, b.OperatorKeyFile)
	b.DataDir = beside(file, b.DataDir)
	b.setDefaults()
	return b, c, d.findings.orNil()
}

// LoadSlot reads the settings of lynxslotd.
func LoadSlot(file string) (Slot, error) {
	var s Slot
	d, err := read(file, &s)
	if err != nil {
		return s, err
	}
	d.checkSlot(&s)
	s.KeyFile = beside(file, s.KeyFile)
	s.setDefaults()
	return s, d.findings.orNil()
}

// LoadCatalog reads a catalog file.
func LoadCatalog(file string) (catalog.Catalog, error) {
	c, findings := loadCatalog(file)
	return c, findings.orNil()
}

// Check reads a file of any kind and returns which it is. What is wrong with it
// is the error.
func Check(file string) (Kind, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fileFinding(file, err)
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

// guessKind tells the kinds of files by keys that only one of them has.
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

func read(file string, v any) (*decoder, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fileFinding(file, err)
	}
	d := &decoder{file: file}
	d.decode(data, v)
	return d, nil
}

func fileFinding(file string, err error) Findings {
	return Findings{{File: file, Path: rootPath, Message: err.Error()}}
}

func loadCatalog(file string) (catalog.Catalog, Findings) {
	var c catalog.Catalog
	data, err := os.ReadFile(file)
	if err != nil {
		return c, fileFinding(file, err)
	}
	return parseCatalog(file, data)
}

func parseCatalog(file string, data []byte) (catalog.Catalog, Findings) {
	var c catalog.Catalog
	d := &decoder{file: file}
	d.decode(data, &c)
	for _, p := range catalog.Check(c) {
		d.addAt(p.Path, "%s", p.Message)
	}
	return c, d.findings
}

// beside returns a path that is relative to a file's folder.
func beside(file, path string) string {
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
		d.addAt("roles", "a box needs a role")
	}
	for i, r := range b.Roles {
		if r != RoleEntry && r != RoleControl {
			d.addAt(at("roles", i), "%q is neither %q nor %q", r, RoleEntry, RoleControl)
		}
	}
	if b.HasRole(RoleEntry) {
		d.address("listen.callers", b.Listen.Callers)
	}
	if b.HasRole(RoleControl) {
		d.require("catalog", b.Catalog)
		d.require("data", b.DataDir)
		d.require("operator_key_file", b.OperatorKeyFile)
		d.address("listen.boxes", b.Listen.Boxes)
		if !slices.ContainsFunc(b.Control, func(p Peer) bool { return p.ID == b.ID }) {
			d.addAt("control", "this box has the control role and is not in the list")
		}
	}
	d.peers(b.Control)
	d.url("platform", b.Platform)
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
	d.address("listen", s.Listen)
	d.address("endpoint_address", s.EndpointAddress)
	if s.Address != "" {
		d.address("address", s.Address)
	}
	d.peers(s.Control)
	if s.MaxBodyBytes < 0 {
		d.addAt("body_bytes", "%d is negative", s.MaxBodyBytes)
	}
	d.checkDrain(s.Drain)
	d.checkLog(s.Log)
}

// checkRoom finds an entry too small for the queues it feeds. A full entry
// refuses without regard to tiers, so the queues must overflow first.
func (d *decoder) checkRoom(b Box, c catalog.Catalog) {
	need := 0
	for _, p := range c.Pools {
		need += p.MaxWaiting
		for _, e := range p.Endpoints {
			need += e.Concurrency
		}
	}
	if b.Limits.MaxRequests > 0 && b.Limits.MaxRequests < need {
		d.addAt("limits.requests", "%d is less than the %d that the pools may hold; tiers would not be regarded", b.Limits.MaxRequests, need)
	}
}

func (d *decoder) require(path, value string) {
	if value == "" {
		d.addAt(path, "this is missing")
	}
}

// url checks the URL of a service that is reached by IP number; it may be empty.
func (d *decoder) url(path, value string) {
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

func (d *decoder) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.addAt(path, "%q is not an address (IP:port)", value)
	}
}

func (d *decoder) peers(peers []Peer) {
	if len(peers) == 0 {
		d.addAt("control", "there is no control box")
	}
	seen := make(map[event.BoxID]bool)
	for i, p := range peers {
		path := at("control", i)
		d.require(path+".id", string(p.ID))
		d.address(path+".address", p.Address)
		if seen[p.ID] {
			d.addAt(path+".id", "%q is there twice", p.ID)
		}
		seen[p.ID] = true
	}
}

func (d *decoder) checkLimits(l Limits) {
	if l.MaxBodyBytes < 0 || l.MaxHeldBytes < 0 || l.MaxRequests < 0 || l.BodyTimeout < 0 {
		d.addAt("limits", "a limit is negative")
	}
}

func (d *decoder) checkDrain(r Drain) {
	if r.ShutdownDelay < 0 || r.Timeout < 0 {
		d.addAt("drain", "a time is negative")
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
	b.Log.Level = orDefault(b.Log.Level, defaultLevel)
}

func (s *Slot) setDefaults() {
	s.Address = orDefault(s.Address, s.Listen)
	s.MaxBodyBytes = orDefault(s.MaxBodyBytes, DefaultMaxBodyBytes)
	s.Drain.setDefaults()
	s.Log.Level = orDefault(s.Log.Level, defaultLevel)
}

func (r *Drain) setDefaults() {
	r.ShutdownDelay = orDefault(r.ShutdownDelay, catalog.Duration(DefaultDrainNotice))
	r.Timeout = orDefault(r.Timeout, catalog.Duration(DefaultDrainTimeout))
}

// HasRole reports whether the box plays a role.
func (b Box) HasRole(r Role) bool { return slices.Contains(b.Roles, r) }

// ReadKey returns the shared key in a file.
func ReadKey(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "key file")
	}
	key := strings.TrimSpace(string(data))
	if len(key) < minKeyBytes {
		return "", errors.Errorf("key file %s: the key has less than %d bytes", file, minKeyBytes)
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
