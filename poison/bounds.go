// SPDX-License-Identifier: MIT

package poison

import (
	"time"

	"lynxramp.org/event"
)

// Thresholds of a Tracker.
const (
	// serializeThreshold is the number of terminations after which a request runs one call at a time,
	// each recorded in the log first, so that a termination counts even if nobody reports it.
	serializeThreshold = 1
	// suspectThreshold is the number of terminations after which only trials are run. One is no
	// evidence: other requests run on the endpoint at the same time.
	suspectThreshold = 2
	// provenThreshold is the number of terminations from which on a trial counts whatever its outcome.
	provenThreshold = 3
	// maxTrials is the number of trials before a suspected request is quarantined. With the two
	// terminations before them, a request terminates four endpoints at the most.
	maxTrials = 2
	// trialMargin is how long after the request's deadline the outcome of a trial may arrive.
	trialMargin = event.Second
)

// Durations of a Tracker.
const (
	// provenPause is the pause after a trial that terminated its endpoint, since the next trial
	// may terminate another one.
	provenPause = 5 * event.Second
	// inconclusivePause is the pause after an inconclusive trial.
	inconclusivePause = 2 * event.Second
	// provenQuarantine is how long a request is quarantined if a trial, the only one at its
	// endpoint, terminated it. It is bounded since the request may have been suspected by
	// mistake, or the engine been fixed; one that still terminates endpoints costs four each time.
	provenQuarantine = event.Duration(10 * time.Minute)
	// unprovenQuarantine is the same for a request none of whose trials terminated its endpoint.
	unprovenQuarantine = 30 * event.Second
	// successWindow is how long after a successful run a request is not serialized. A frequent
	// request runs on many endpoints, some of which may terminate for other reasons; another of
	// its runs succeeds within this time. It must be below the 3 s within which all boxes are to
	// know of a request that terminates endpoints.
	successWindow = 2 * event.Second
	// singleTerminationTTL is how long a single termination counts. It must be long enough to detect a
	// request that is made every few minutes.
	singleTerminationTTL = event.Duration(10 * time.Minute)
)

// Sizes of a Tracker.
const (
	// maxCases bounds the requests with terminations. It exceeds the requests that run at once
	// on 200 endpoints, which terminate together when a data centre fails. They take 0.5 MB.
	maxCases = 2048
	// maxTerminations is the number of terminations kept for a request.
	maxTerminations = 4
	// maxSuccesses bounds each of the two generations of recentSuccesses, in requests: at 20,000
	// requests a second, those that come more than ten times a second.
	maxSuccesses = 2048
	// maxChanges bounds the changes kept between two calls of TakeChanges.
	maxChanges = 100
)

// noOwnerRetryAfter is when a caller should retry whose request is rejected while there is no
// owner. It is longer than an election usually takes, 0.35 to 0.65 s.
const noOwnerRetryAfter = 700 * event.Millisecond
