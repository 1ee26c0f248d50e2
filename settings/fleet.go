// SPDX-License-Identifier: MIT

package settings

import (
	"time"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
	"lynxramp.org/overload"
)

// Fleet is the settings file of an entry or control box in a fleet, where operators
// and endpoints supply the deployment's configuration at run time.
type Fleet struct {
	ID         event.BoxID `yaml:"id"`
	Role       Role        `yaml:"role"`
	DataCentre string      `yaml:"data_centre"`
	Listen     FleetListen `yaml:"listen"`
	// Seeds are operator addresses (IP:port) of control boxes; some may be outdated.
	Seeds []string `yaml:"seeds"`
	// Bootstrap makes the seeds form a new control group if their disks are empty.
	Bootstrap bool `yaml:"found"`
	// Unprotected confirms that connections between boxes are not authenticated. It must
	// be true, so that a fleet does not run without keys by accident.
	Unprotected bool           `yaml:"unprotected"`
	DataDir     string         `yaml:"data"`
	Resources   FleetResources `yaml:"resources"`
	Bounds      FleetBounds    `yaml:"bounds"`
	Held        FleetHeld      `yaml:"held"`
	Endpoints   FleetEndpoints `yaml:"endpoints"`
	Overload    FleetOverload  `yaml:"overload"`
	// Contracts names the platform's contracts in force. The adapter decodes them into the
	// features of the deployment; it ignores names that it does not know.
	Contracts []string `yaml:"contracts"`
	Log       Log      `yaml:"log"`
}

// FleetListen has the addresses of a box, as IP:port.
type FleetListen struct {
	// Callers and Readiness are needed for an entry, Operators for a control box.
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Operators string `yaml:"operators"`
	// Link is where other boxes reach this one.
	Link string `yaml:"link"`
	// LinkBind is the address to listen on if other boxes reach Link through a
	// forwarder; empty for Link itself.
	LinkBind string `yaml:"link_bind"`
}

// FleetResources are the resources that a box may use.
type FleetResources struct {
	// MemoryMB is in mebibytes.
	MemoryMB int `yaml:"memory_mb"`
	// Descriptors is the limit of file descriptors; 0 is none.
	Descriptors int `yaml:"descriptors"`
}

// FleetHeld limits the memory that an entry holds for callers and endpoints. All but Share matters only where the
// deployment turns the account of slow callers on.
type FleetHeld struct {
	// Share is the fraction of MemoryMB that may be held in all. Responses may take three quarters of it.
	Share float64 `yaml:"share"`
	// ResponseKB is how many kibibytes of one response may wait for its caller.
	ResponseKB int `yaml:"response_kb"`
	// Rate is how many bytes a second a caller must take to keep its response when memory is short, and
	// Pause how long it may take nothing.
	Rate  int              `yaml:"rate"`
	Pause catalog.Duration `yaml:"pause"`
}

// FleetEndpoints limits what an entry accepts from one endpoint.
type FleetEndpoints struct {
	// HeadKB limits the heads of one response, with those of its interim responses, in kibibytes. It should not be below
	// what the deployment lets callers send.
	HeadKB int `yaml:"head_kb"`
}

// Bounds of FleetEndpoints.HeadKB. Callers may send heads of 16 KiB.
const minHeadKB, maxHeadKB = 16, 1024

// FleetOverload says when an entry limits new connections.
type FleetOverload struct {
	// Delay is how long requests may wait for the entry's own processor or link, as a rule. It must be longer than the
	// round trips to the owner and to most endpoints.
	Delay catalog.Duration `yaml:"delay"`
}

// Bounds of FleetOverload.Delay. Below the first the scheduling of a small box alone is an overload, above the second an
// entry loses its owner first.
const minOverloadDelay, maxOverloadDelay = 20 * time.Millisecond, 400 * time.Millisecond

// Bounds of FleetHeld.
const (
	// maxHeldShare leaves memory for the process itself, which takes a third of an entry of 88 MB.
	maxHeldShare = 0.5
	// minResponseKB is two blocks of 16 KiB, maxResponseKB the memory of a whole entry.
	minResponseKB, maxResponseKB = 32, 64 << 10
	// maxHeldPause is less than the 2 s for which an endpoint may be left unread.
	maxHeldPause = 2 * time.Second
)

// FleetBounds are limits that hold for the whole deployment.
type FleetBounds struct {
	// ToleratedFailures is how many control boxes may fail at the same time.
	ToleratedFailures int `yaml:"tolerated"`
	// HeartbeatInterval is how often endpoints send heartbeats.
	HeartbeatInterval catalog.Duration `yaml:"beat"`
	// StopTimeout is how long a planned shutdown may take.
	StopTimeout catalog.Duration `yaml:"stop"`
	// ConfigValidity is how long an entry may serve requests without confirmation that
	// its configuration is current.
	ConfigValidity catalog.Duration `yaml:"fresh"`
	QuotaWindow    catalog.Duration `yaml:"quota_window"`
	// A quota may be exceeded by its fraction QuotaOvershoot plus QuotaSlack tokens.
	QuotaOvershoot float64 `yaml:"quota_overshoot"`
	QuotaSlack     float64 `yaml:"quota_slack"`
	// In each RetryWindow, RetryMin plus the fraction RetryRatio of a service's requests may be
	// retried.
	RetryWindow catalog.Duration `yaml:"retry_window"`
	RetryRatio  float64          `yaml:"retry_ratio"`
	RetryMin    int              `yaml:"retry_min"`
	// Placement is the placement policy; empty is PlacementForecast.
	Placement Placement `yaml:"placement"`
	// QueueOrder is the order of waiting requests within a rank; empty is QueueArrival.
	QueueOrder QueueOrder `yaml:"queue_order"`
	// During a roll-out, an unproved version gets at most the fraction ExposeShare of its
	// service's requests, plus ExposeSlack requests.
	ExposeShare float64 `yaml:"expose_share"`
	ExposeSlack int     `yaml:"expose_slack"`
}

// Bounds of FleetBounds.StopTimeout. Below the first there is no time for the end of the process.
const minStopTimeout, maxStopTimeout = 500 * time.Millisecond, 5 * time.Minute

// QueueOrder is an order of waiting requests within a rank and team.
type QueueOrder string

// The queue orders.
const (
	// QueueArrival serves requests in the order of arrival.
	QueueArrival QueueOrder = "arrival"
	// QueueExpectedWork serves requests with less expected work first, with ageing.
	QueueExpectedWork QueueOrder = "expected_work"
	// QueueAuto is QueueExpectedWork where the platform's contracts say that callers compete for
	// capacity, and for services whose endpoints report how much they are slowed; else QueueArrival.
	QueueAuto QueueOrder = "auto"
)

// Placement is a policy that chooses the endpoint of a request.
type Placement string

// The placement policies.
const (
	// PlacementForecast weighs measured speed, cached prompt prefixes and data centres, and
	// predicts waiting times.
	PlacementForecast Placement = "forecast"
	// PlacementLeastOutstanding chooses the endpoint with the fewest requests in flight; a
	// baseline for comparisons.
	PlacementLeastOutstanding Placement = "least_outstanding"
)

// Defaults of a fleet's bounds. defaultRateWindow applies to QuotaWindow and RetryWindow.
const (
	defaultHeartbeatInterval = time.Second
	defaultStopTimeout       = 8 * time.Second
	defaultConfigValidity    = 5 * time.Second
	defaultRateWindow        = 10 * time.Second
	defaultHeldShare         = 0.3
	defaultHeldResponseKB    = 4096
	defaultHeldRate          = 16 << 10
	defaultHeldPause         = 1500 * time.Millisecond
	defaultHeadKB            = 64
)

// LoadFleet reads the settings of a box in a fleet.
func LoadFleet(file string) (Fleet, error) {
	var f Fleet
	d, err := decodeFile(file, &f)
	if err != nil {
		return f, err
	}
	d.checkFleet(&f)
	f.setDefaults()
	return f, d.problems.asError()
}

func (d *decoder) checkFleet(f *Fleet) {
	d.require("id", string(f.ID))
	switch f.Role {
	case RoleEntry:
		d.checkAddress("listen.callers", f.Listen.Callers)
		d.checkAddress("listen.readiness", f.Listen.Readiness)
	case RoleControl:
		d.checkAddress("listen.operators", f.Listen.Operators)
		d.require("data", f.DataDir)
	default:
		d.addAt("role", "%q is neither %q nor %q", f.Role, RoleEntry, RoleControl)
	}
	d.checkAddress("listen.link", f.Listen.Link)
	if f.Listen.LinkBind != "" {
		d.checkAddress("listen.link_bind", f.Listen.LinkBind)
	}
	if len(f.Seeds) == 0 {
		d.addAt("seeds", "no seed given")
	}
	for i, seed := range f.Seeds {
		d.checkAddress(itemPath("seeds", i), seed)
	}
	if !f.Unprotected {
		d.addAt("unprotected", "connections of a fleet are not authenticated; confirm with true")
	}
	d.checkFleetBounds(f.Bounds)
	d.checkFleetHeld(f.Held)
	if kb := f.Endpoints.HeadKB; kb != 0 && (kb < minHeadKB || kb > maxHeadKB) {
		d.addAt("endpoints.head_kb", "%d is not between %d and %d", kb, minHeadKB, maxHeadKB)
	}
	d.checkFleetOverload(f.Overload)
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
	switch b.QueueOrder {
	case "", QueueArrival, QueueExpectedWork, QueueAuto:
	default:
		d.addAt("bounds.queue_order", "%q is none of %q, %q and %q", b.QueueOrder, QueueArrival, QueueExpectedWork, QueueAuto)
	}
	if !(b.ExposeShare >= 0 && b.ExposeShare <= 1) {
		d.addAt("bounds.expose_share", "%v is not between 0 and 1", b.ExposeShare)
	}
	if b.ExposeSlack < 0 {
		d.addAt("bounds.expose_slack", "%d is negative", b.ExposeSlack)
	}
	if b.RetryRatio < 0 || b.RetryMin < 0 {
		d.addAt("bounds.retry_ratio", "a retry budget must not be negative")
	}
	if b.QuotaOvershoot < 0 || b.QuotaSlack < 0 {
		d.addAt("bounds.quota_overshoot", "a quota's overshoot and slack must not be negative")
	}
	if stop := time.Duration(b.StopTimeout); stop != 0 && (stop < minStopTimeout || stop > maxStopTimeout) {
		d.addAt("bounds.stop", "%s is not between %s and %s", stop, minStopTimeout, maxStopTimeout)
	}
	for path, value := range map[string]catalog.Duration{
		"bounds.beat": b.HeartbeatInterval, "bounds.fresh": b.ConfigValidity,
		"bounds.quota_window": b.QuotaWindow, "bounds.retry_window": b.RetryWindow,
	} {
		if value < 0 {
			d.addAt(path, "%s is negative", time.Duration(value))
		}
	}
}

func (d *decoder) checkFleetHeld(h FleetHeld) {
	if !(h.Share >= 0 && h.Share <= maxHeldShare) {
		d.addAt("held.share", "%v is not between 0 and %v", h.Share, maxHeldShare)
	}
	if h.ResponseKB != 0 && (h.ResponseKB < minResponseKB || h.ResponseKB > maxResponseKB) {
		d.addAt("held.response_kb", "%d is not between %d and %d", h.ResponseKB, minResponseKB, maxResponseKB)
	}
	if h.Rate < 0 {
		d.addAt("held.rate", "%d is negative", h.Rate)
	}
	if h.Pause < 0 || time.Duration(h.Pause) > maxHeldPause {
		d.addAt("held.pause", "%s is not between 0s and %s", time.Duration(h.Pause), maxHeldPause)
	}
}

func (d *decoder) checkFleetOverload(o FleetOverload) {
	if o.Delay != 0 && (time.Duration(o.Delay) < minOverloadDelay || time.Duration(o.Delay) > maxOverloadDelay) {
		d.addAt("overload.delay", "%s is not between %s and %s", time.Duration(o.Delay), minOverloadDelay, maxOverloadDelay)
	}
}

func (f *Fleet) setDefaults() {
	f.Overload.Delay = orDefault(f.Overload.Delay, catalog.Duration(overload.DefaultDelay))
	f.Held.Share = orDefault(f.Held.Share, defaultHeldShare)
	f.Held.ResponseKB = orDefault(f.Held.ResponseKB, defaultHeldResponseKB)
	f.Held.Rate = orDefault(f.Held.Rate, defaultHeldRate)
	f.Held.Pause = orDefault(f.Held.Pause, catalog.Duration(defaultHeldPause))
	f.Endpoints.HeadKB = orDefault(f.Endpoints.HeadKB, defaultHeadKB)
	f.Log.Level = orDefault(f.Log.Level, defaultLogLevel)
	b := &f.Bounds
	b.HeartbeatInterval = orDefault(b.HeartbeatInterval, catalog.Duration(defaultHeartbeatInterval))
	b.StopTimeout = orDefault(b.StopTimeout, catalog.Duration(defaultStopTimeout))
	b.ConfigValidity = orDefault(b.ConfigValidity, catalog.Duration(defaultConfigValidity))
	b.QuotaWindow = orDefault(b.QuotaWindow, catalog.Duration(defaultRateWindow))
	b.RetryWindow = orDefault(b.RetryWindow, catalog.Duration(defaultRateWindow))
	b.QueueOrder = orDefault(b.QueueOrder, QueueArrival)
}
