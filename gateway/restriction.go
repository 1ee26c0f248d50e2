// SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"maps"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/message"
)

// This file applies the restrictions of roll-outs: versions that only an owner may use (event.ModeCanary) or
// nobody (event.ModeBlocked). An entry that is degraded uses none of them.

// serviceVersion identifies the endpoints of a service that have a version.
type serviceVersion struct{ service, version string }

// restrictions are the restricted versions as the last owner sent them. The zero value restricts nothing.
type restrictions struct {
	versions map[serviceVersion]event.EndpointMode
	// endpoints has the modes of restricted endpoints, for calls; nil if there is none. The map is not modified.
	endpoints atomic.Pointer[map[event.EndpointID]event.EndpointMode]
}

// modeOf returns the mode of an endpoint.
func (r *restrictions) modeOf(e message.Endpoint) event.EndpointMode {
	return r.versions[serviceVersion{e.Service, e.Version}]
}

// endpointMode returns the mode of an endpoint. It is safe for concurrent use.
func (r *restrictions) endpointMode(id event.EndpointID) event.EndpointMode {
	modes := r.endpoints.Load()
	if modes == nil {
		return event.ModeNormal
	}
	return (*modes)[id]
}

// applyRestrictions applies the restrictions and the endpoints of a view.
func (a *OwnerClient) applyRestrictions(v *message.View) {
	if v.Restrictions != nil {
		a.setRestrictions(v.Restrictions.List)
	}
	if len(a.restrictions.versions) == 0 {
		a.restrictions.endpoints.Store(nil)
		return
	}
	modes := make(map[event.EndpointID]event.EndpointMode)
	for id, e := range a.endpoints {
		if mode := a.restrictions.modeOf(e); mode != event.ModeNormal {
			modes[id] = mode
		}
	}
	a.restrictions.endpoints.Store(&modes)
}

func (a *OwnerClient) setRestrictions(list []message.Restriction) {
	versions := make(map[serviceVersion]event.EndpointMode, len(list))
	for _, r := range list {
		versions[serviceVersion{r.Service, r.Version}] = r.Mode
	}
	if !maps.Equal(versions, a.restrictions.versions) {
		a.log.Info("restricted versions changed", zap.Int("count", len(list)), zap.Strings("versions", describe(list)))
	}
	a.restrictions.versions = versions
}

// maxLoggedRestrictions bounds the restrictions that a log line names.
const maxLoggedRestrictions = 20

// describe returns the first restrictions as text.
func describe(list []message.Restriction) []string {
	texts := make([]string, 0, min(len(list), maxLoggedRestrictions))
	for _, r := range list[:cap(texts)] {
		texts = append(texts, fmt.Sprintf("%s/%s: %s", r.Service, r.Version, r.Mode))
	}
	return texts
}

// CheckRestriction returns an error if a grant must not be used: its endpoint was blocked since, or is a canary
// and the entry decided by itself. It is safe for concurrent use.
func (a *OwnerClient) CheckRestriction(d Decision) error {
	mode := a.restrictions.endpointMode(d.Endpoint)
	if mode == event.ModeBlocked || mode == event.ModeCanary && d.Degraded {
		return errors.Errorf("grant not used because the endpoint's version is restricted: %s", mode)
	}
	return nil
}

// reportRestricted records that a grant is not used because of a restriction.
func (c *call) reportRestricted(a *attempt, err error) {
	a.outcome, a.notTried, a.err = outcomeStopped, true, err
	c.gateway.meters.restrictedGrants().Inc()
}
