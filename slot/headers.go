// SPDX-License-Identifier: MIT

package slot

import (
	"net/http"
	"strings"
)

// Headers between entry and slot.
const (
	HeaderDispatch    = "Lynxramp-Dispatch-Id"
	HeaderIncarnation = "Lynxramp-Incarnation"
	HeaderEpoch       = "Lynxramp-Epoch"
	HeaderDeadline    = "Lynxramp-Deadline-Ms" // time remaining, in milliseconds
	HeaderMethod      = "Lynxramp-Method"      // of the call to the endpoint
	HeaderPath        = "Lynxramp-Path"        // including the query
	HeaderNoRepeat    = "Lynxramp-No-Repeat"
	HeaderKeep        = "Lynxramp-Keep" // other requests may fetch the same response
	HeaderPriority    = "Lynxramp-Priority"
	// HeaderStatus is the endpoint's status. A response without it comes from the slot
	// itself.
	HeaderStatus = "Lynxramp-Status"
	// HeaderDenial is the reason of a denied offer.
	HeaderDenial = "Lynxramp-Denial"
	// TrailerEnd is EndComplete if the response is complete.
	TrailerEnd = "Lynxramp-End"
	// EndComplete is the value of TrailerEnd after a complete response.
	EndComplete = "whole"
	// PassPrefix is the prefix of headers that are forwarded.
	PassPrefix = "Lynxramp-Pass-"
)

// hopByHopHeaders concern one connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Date":                true,
}

// WrapHeaders copies the headers in h that may be forwarded to to, with PassPrefix.
func WrapHeaders(to, h http.Header) {
	for name, values := range h {
		if !hopByHopHeaders[name] && !namedByConnection(h, name) {
			to[PassPrefix+name] = values
		}
	}
}

// namedByConnection reports whether the Connection header makes name hop-by-hop.
func namedByConnection(h http.Header, name string) bool {
	for _, list := range h["Connection"] {
		for one := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(one), name) {
				return true
			}
		}
	}
	return false
}

// UnwrapHeaders copies the headers with PassPrefix in h to to, without the prefix.
func UnwrapHeaders(to, h http.Header) {
	for name, values := range h {
		if original, ok := strings.CutPrefix(name, PassPrefix); ok {
			to[original] = values
		}
	}
}
