// SPDX-License-Identifier: MIT

package rollout

import "lynxramp.org/event"

// Sample is the outcome of one request that was sent to an endpoint. Requests that did not
// run, and those that their caller gave up, are no samples.
type Sample struct {
	Service, Version string
	Endpoint         event.EndpointID
	Route            string
	// Failed is set for a 5xx of the endpoint, and for a broken or wrong response.
	Failed bool
	// First is the time from sending to the first byte; 0 if there was none. ExpectedFirst
	// is the forecast of it. The forecast must not follow the measured speed of an endpoint
	// of the new version: a slow version would then become the forecast.
	First, ExpectedFirst event.Duration
	// TokenGap is the typical time between tokens; 0 if unknown. ExpectedGap is the usual
	// time at an endpoint of this speed; 0 if unknown, then it is compared with the other
	// versions' time on the route.
	TokenGap, ExpectedGap event.Duration
}
