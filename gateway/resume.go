// SPDX-License-Identifier: MIT

package gateway

import (
	"go.uber.org/zap"

	"lynxramp.org/routing"
)

// This file handles requests of callers that resume a stream that broke off.

// isResumption reports whether the caller resumes a stream that it received a part of before.
func (c *call) isResumption() bool {
	return c.route.Kind == routing.KindStream && c.r.Header.Get(c.gateway.config.Headers.LastEventID) != ""
}

// recordResumption records that the caller resumes a stream.
func (c *call) recordResumption() {
	if !c.isResumption() {
		return
	}
	names := &c.gateway.config.Headers
	c.gateway.meters.resumptions(resumedByCaller).Inc()
	c.addStep(stepResumption, zap.String("resumes", c.r.Header.Get(names.Resumes)), zap.String("last_event", c.r.Header.Get(names.LastEventID)))
}
