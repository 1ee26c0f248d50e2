// SPDX-License-Identifier: MIT

package settings

import (
	"time"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
)

// Fleet is the settings file of a box of a fleet: an entry or a control box
// whose deployment is told by operators and endpoints, not by files.
type Fleet struct {
	ID         event.BoxID `yaml:"id"`
	Role       Role        `yaml:"role"`
	DataCentre string      `yaml:"data_centre"`
	Listen     FleetListen `yaml:"listen"`
	// Seeds are operators' addresses (IP:port) of control boxes, perhaps old ones.
	Seeds []string `yaml:"seeds"`
	// Bootstrap says that the seeds found the control group, on empty disks.
	Bootstrap bool `yaml:"found"`
	// Unprotected says that links between boxes carry no key. It must be set: a
	// fleet without keys is run on purpose or not at all.
	Unprotected bool           `yaml:"unprotected"`
	DataDir     string         `yaml:"data"`
	Resources   FleetResources `yaml:"resources"`
	Bounds      FleetBounds    `yaml:"bounds"`
	Log         Log            `yaml:"log"`
}

// FleetListen has the addresses of a box, as IP:port.
type FleetListen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Operators string `yaml:"operators"`
	Link      string `yaml:"link"`
	// LinkBind is where the box listens for links, if others reach Link by way of
	// something else; empty for Link itself.
	LinkBind string `yaml:"link_bind"`
}

// FleetResources is what a box may use.
type FleetResources struct {
	MemoryMB    int `yaml:"memory_mb"`
	Descriptors int `yaml:"descriptors"`
}

// FleetBounds are what the deployment promises.
type FleetBounds struct {
	// ToleratedFailures is how many control boxes may be lost at once.
	ToleratedFailures int `yaml:"tolerated"`
	// HeartbeatInterval is the rhythm in which endpoints tell of themselves.
	HeartbeatInterval catalog.Duration `yaml:"beat"`
	// StopTimeout is how long a planned stop may take.
	StopTimeout catalog.Duration `yaml:"stop"`
	// ConfigValidity is how long an entry may serve without knowing that its configuration
	// is the newest.
	ConfigValidity catalog.Duration `yaml:"fresh"`
	QuotaWindow    catalog.Duration `yaml:"quota_window"`
	// A quota may be overrun by QuotaOvershoot of it and QuotaSlack on top.
	QuotaOvershoot float64          `yaml:"quota_overshoot"`
	QuotaSlack     float64          `yaml:"quota_slack"`
	RetryWindow    catalog.Duration `yaml:"retry_window"`
	RetryRatio     float64          `yaml:"retry_ratio"`
	RetryMin       int              `yaml:"retry_min"`
	// Placement is how requests are placed; empty is PlacementForecast.
	Placement Placement `yaml:"placement"`
}

// Placement is how requests are placed.
type Placement string

// The ways to place requests.
const (
	// PlacementForecast weighs measured speed, prompts and data centres, and forecasts waits.
	PlacementForecast Placement = "forecast"
	// PlacementLeastOutstanding is the baseline for comparisons.
	PlacementLeastOutstanding Placement = "least_outstanding"
)

// Defaults of a fleet's bounds.
const (
	defaultBeat   = time.Second
	defaultStop   = 8 * time.Second
	defaultFresh  = 5 * time.Second
	defaultWindow = 10 * time.Second
)

// LoadFleet reads the settings of a box of a fleet.
func LoadFleet(file string) (Fleet, error) {
	var f Fleet
	d, err := read(file, &f)
	if err != nil {
		return f, err
	}
	d.checkFleet(&f)
	f.setDefaults()
	return f, d.findings.orNil()
}

func (d *decoder) checkFleet(f *Fleet) {
	d.require("id", string(f.ID))
	switch f.Role {
	case RoleEntry:
		d.address("listen.callers", f.Listen.Callers)
		d.address("listen.readiness", f.Listen.Readiness)
	case RoleControl:
		d.address("listen.operators", f.Listen.Operators)
		d.require("data", f.DataDir)
	default:
		d.addAt("role", "%q is neither %q nor %q", f.Role, RoleEntry, RoleControl)
	}
	d.address("listen.link", f.Listen.Link)
	if f.Listen.LinkBind != "" {
		d.address("listen.link_bind", f.Listen.LinkBind)
	}
	if len(f.Seeds) == 0 {
		d.addAt("seeds", "there is no seed")
	}
	for i, seed := range f.Seeds {
		d.address(at("seeds", i), seed)
	}
	if !f.Unprotected {
		d.addAt("unprotected", "links of a fleet carry no key; say so with true")
	}
	d.checkFleetBounds(f.Bounds)
	d.checkLog(f.Log)
}

func (d *decoder) checkFleetBounds(b FleetBounds) {
	if b.ToleratedFailures < 0 {
		d.addAt("bounds.tolerated", "%d is negative", b.ToleratedFailures)
	}
	switch b.Placement {
	case "", PlacementForecast, PlacementLeastOutstanding:
	default:
		d.addAt("bounds.placement", "%q is neither %q nor %q", b.Placement, PlacementForecast, PlacementLeastOutstanding)
	}
	if b.RetryRatio < 0 || b.RetryMin < 0 {
		d.addAt("bounds.retry_ratio", "a retry budget is not negative")
	}
	if b.QuotaOvershoot < 0 || b.QuotaSlack < 0 {
		d.addAt("bounds.quota_overshoot", "a quota's overshoot and slack are not negative")
	}
	for path, value := range map[string]catalog.Duration{
		"bounds.beat": b.HeartbeatInterval, "bounds.stop": b.StopTimeout, "bounds.fresh": b.ConfigValidity,
		"bounds.quota_window": b.QuotaWindow, "bounds.retry_window": b.RetryWindow,
	} {
		if value < 0 {
			d.addAt(path, "%s is negative", time.Duration(value))
		}
	}
}

func (f *Fleet) setDefaults() {
	f.Log.Level = orDefault(f.Log.Level, defaultLevel)
	b := &f.Bounds
	b.HeartbeatInterval = orDefault(b.HeartbeatInterval, catalog.Duration(defaultBeat))
	b.StopTimeout = orDefault(b.StopTimeout, catalog.Duration(defaultStop))
	b.ConfigValidity = orDefault(b.ConfigValidity, catalog.Duration(defaultFresh))
	b.QuotaWindow = orDefault(b.QuotaWindow, catalog.Duration(defaultWindow))
	b.RetryWindow = orDefault(b.RetryWindow, catalog.Duration(defaultWindow))
}
