// SPDX-License-Identifier: MIT

package sched

import (
	"math"

	"lynxramp.org/event"
)

// This file keeps large requests from being refused too often: with the order by expected
// work they are the first to be refused under overload.

// Quantiles that bound the groups, and the step by which a quantile of the logarithm follows
// the requests.
const (
	largeQuantile   = 0.7
	largestQuantile = 0.9
	quantileStep    = 0.05
)

// minServedRatio is the least ratio of the served fraction of a group to that of its class;
// below it, the group's requests are not ordered behind shorter ones. The aim for groups by
// actual size is 0.75, and the bound half; groups by expected size reach less because hints
// are inexact.
const minServedRatio = 0.75

// workSizes has the statistics of a class by expected run time. The zero value is ready to use.
type workSizes struct {
	bounds  [2]quantile // lower bounds of event.WorkLarge and event.WorkLargest
	granted [event.WorkGroups]decayingCounter
	refused [event.WorkGroups]decayingCounter
}

// observe adds a request and returns its group.
func (w *workSizes) observe(runTime float64) event.WorkGroup {
	logarithm := math.Log(max(runTime, math.SmallestNonzeroFloat64))
	isLarge := w.bounds[0].observe(logarithm, largeQuantile)
	isLargest := w.bounds[1].observe(logarithm, largestQuantile)
	switch {
	case isLargest:
		return event.WorkLargest
	case isLarge:
		return event.WorkLarge
	}
	return event.WorkUsual
}

// isUnderserved reports whether too few requests of a group are served, compared with their class.
func (w *workSizes) isUnderserved(now event.Time, group event.WorkGroup) bool {
	if group == event.WorkUsual {
		return false
	}
	granted, refused := 0.0, 0.0
	for g := range w.granted {
		granted += w.granted[g].get(now)
		refused += w.refused[g].get(now)
	}
	ownGranted, ownRefused := w.granted[group].get(now), w.refused[group].get(now)
	if ownGranted+ownRefused < 1 {
		return false
	}
	return ownGranted*(granted+refused) < minServedRatio*granted*(ownGranted+ownRefused)
}

// quantile estimates a quantile of a stream of values.
type quantile struct {
	value float64
	isSet bool
}

// observe adds a value and reports whether it is above the quantile p.
func (q *quantile) observe(value, p float64) bool {
	if !q.isSet {
		q.value, q.isSet = value, true
		return false
	}
	isAbove := value > q.value
	if isAbove {
		q.value += quantileStep * p
	} else {
		q.value -= quantileStep * (1 - p)
	}
	return isAbove
}
