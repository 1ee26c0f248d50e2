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
	HeaderDeadline    = "Lynxramp-Deadline-Ms" // time left, in milliseconds
	HeaderMethod      = "Lynxramp-Method"      // of the call to the endpoint
	HeaderPath        = "Lynxramp-Path"        // with its query
	HeaderNoRepeat    = "Lynxramp-No-Repeat"
	HeaderKeep        = "Lynxramp-Keep" // others may come for the same answer
	HeaderPriority    = "Lynxramp-Priority"
	// HeaderStatus has the endpoint's status; a response without it is the
	// slot's own.
	HeaderStatus = "Lynxramp-Status"
	// HeaderDenial has the reason of a denied offer.
	HeaderDenial = "Lynxramp-Denial"
	// TrailerEnd is EndWhole when the answer is whole.
	TrailerEnd = "Lynxramp-End"
	// EndWhole is the value of TrailerEnd after the last byte.
	EndWhole = "whole"
	// PassPrefix stands before each header that is passed through.
	PassPrefix = "Lynxramp-Pass-"
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = map[string]bool{
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

// Wrap copies the headers that may travel from h into to, under PassPrefix.
func Wrap(to, h http.Header) {
	for name, values := range h {
		if !hopHeaders[name] && !namedByConnection(h, name) {
			to[PassPrefix+name] = values
		}
	}
}

// namedByConnection reports whether the Connection header ends name's journey.
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

// Unwrap copies the headers under PassPrefix in h into to, by their own names.
func Unwrap(to, h http.Header) {
	for name, values := range h {
		if own, ok := strings.CutPrefix(name, PassPrefix); ok {
			to[own] = values
		}
	}
}
