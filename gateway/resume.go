// SPDX-License-Identifier: MIT

package gateway

import (
	"go.uber.org/zap"

	"lynxramp.org/affinity"
	"lynxramp.org/event"
	"lynxramp.org/routing"
)

// This file handles streams that may be resumed: by callers, in another request, and by the entry, in the same
// response. See package affinity.

// StreamRequest identifies the stream of a request.
type StreamRequest struct {
	Team, Service string
	Attempt       string // ID of the caller's attempt
	// IsResumption is set if the caller resumes a stream; Resumes is the attempt that it names, empty if it names
	// none or an invalid one.
	IsResumption bool
	Resumes      string

	ownKey affinity.Key // empty until it is needed
}

// key returns the key of the stream that the request begins; empty if the attempt has no valid ID. Only the goroutine
// of the OwnerClient may call it.
func (s *StreamRequest) key() affinity.Key {
	if s.ownKey == "" && affinity.IsValidAttempt(s.Attempt) {
		s.ownKey = affinity.MakeKey(s.Team, s.Service, s.Attempt)
	}
	return s.ownKey
}

// resumedKey returns the key of the stream that the request resumes. That of a missing attempt belongs to no stream.
func (s *StreamRequest) resumedKey() affinity.Key {
	return affinity.MakeKey(s.Team, s.Service, s.Resumes)
}

// newStreamRequest returns the stream of a request, nil if it can't be resumed and resumes none.
func (c *call) newStreamRequest() *StreamRequest {
	if c.route.Kind != routing.KindStream {
		return nil
	}
	names := &c.gateway.config.Headers
	resumes, last := c.r.Header.Values(names.Resumes), c.r.Header.Get(names.LastEventID)
	s := &StreamRequest{Team: c.teamName(), Service: c.service, Attempt: c.callerID, IsResumption: len(resumes) > 0 || last != ""}
	if !s.IsResumption {
		if !c.route.Resumable {
			return nil
		}
		return s
	}
	reason := "named"
	switch {
	case len(resumes) == 0:
		reason = "missing"
	case len(resumes) > 1 || !affinity.IsValidAttempt(resumes[0]):
		reason = "invalid"
	default:
		s.Resumes = resumes[0]
	}
	c.gateway.meters.resumptions(resumedByCaller).Inc()
	c.addStep(stepResumption, zap.String("attempt", reason), zap.String("resumes", s.Resumes), zap.String("last_event", last))
	return s
}

// bind records the version of the endpoint that the first event of the response came from.
func (c *call) bind(d Decision) {
	if !c.isBound {
		c.isBound, c.boundVersion = d.HasVersion, d.Version
	}
}

// mayResume reports whether a stream of which the caller has received events may be resumed in the same response.
func (c *call) mayResume() bool { return !c.headSent || c.isBound }

// resumptionRefused returns what a caller is told whose stream is not resumed; empty for other reasons.
func resumptionRefused(r event.Reason) string {
	switch r {
	case event.ReasonStreamUnknown:
		return "the stream cannot be resumed as its version is not known; begin it again"
	case event.ReasonVersionGone:
		return "the stream cannot be resumed as no endpoint of its version is left; begin it again"
	default:
		return ""
	}
}
