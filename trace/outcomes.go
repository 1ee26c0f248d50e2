// SPDX-License-Identifier: MIT

package trace

// objectives are what a replay must reach, by deployment and scenario. They are for recorded
// traces whose seed differs from that of the traces on which the scheduler was tuned.
var objectives = map[string]Objectives{
	"casablanca-burst":     {Goodput: map[int]float64{3: 0.98, 2: 0.74, 1: 0.28}, WastedPrefill: 0.63},
	"casablanca-leaving":   {Goodput: map[int]float64{3: 0.99, 2: 0.99, 1: 0.99}, WastedPrefill: 0.55},
	"casablanca-mix":       {Goodput: map[int]float64{3: 0.97, 2: 0.58, 1: 0.28}, WastedPrefill: 0.7},
	"casablanca-new-owner": {Goodput: map[int]float64{3: 0.99, 2: 0.99, 1: 0.99}, WastedPrefill: 0.59},
	"casablanca-slowdown":  {Goodput: map[int]float64{3: 0.98, 2: 0.98, 1: 0.98}, WastedPrefill: 0.59},
	"casablanca-steady":    {Goodput: map[int]float64{3: 0.99, 2: 0.99, 1: 0.99}, WastedPrefill: 0.54},
	"tbilisi-burst":        {Goodput: map[int]float64{3: 0.99, 2: 0.86, 1: 0.3}, WastedPrefill: 0.92},
	"tbilisi-leaving":      {Goodput: map[int]float64{3: 0.99, 2: 0.99, 1: 0.99}, WastedPrefill: 0.81},
	"tbilisi-mix":          {Goodput: map[int]float64{3: 0.96, 2: 0.68, 1: 0.28}, WastedPrefill: 0.98},
	"tbilisi-new-owner":    {Goodput: map[int]float64{3: 0.99, 2: 0.99, 1: 0.99}, WastedPrefill: 0.78},
	"tbilisi-slowdown":     {Goodput: map[int]float64{3: 0.99, 2: 0.99, 1: 0.99}, WastedPrefill: 0.8},
	"tbilisi-steady":       {Goodput: map[int]float64{3: 0.99, 2: 0.99, 1: 0.99}, WastedPrefill: 0.77},
}
