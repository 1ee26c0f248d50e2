// SPDX-License-Identifier: MIT

package lang

import (
	"cmp"
	"slices"
	"strings"
)

// Row is a group of requests with equal fields, and their number.
type Row struct {
	Team     string `json:"team,omitempty"`
	Tier     string `json:"tier,omitempty"`
	Pool     string `json:"pool,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Count    int    `json:"count"`
}

// Field returns a field by its name in the language.
func (r Row) Field(name string) string {
	switch name {
	case "team":
		return r.Team
	case "tier":
		return r.Tier
	case "pool":
		return r.Pool
	case "endpoint":
		return r.Endpoint
	case "reason":
		return r.Reason
	}
	return ""
}

// set sets a field by its name in the language.
func (r *Row) set(name, value string) {
	switch name {
	case "team":
		r.Team = value
	case "tier":
		r.Tier = value
	case "pool":
		r.Pool = value
	case "endpoint":
		r.Endpoint = value
	case "reason":
		r.Reason = value
	}
}

// Run returns the groups of the rows that match the query, sorted and limited. It does
// not modify rows.
func (q *Query) Run(rows []Row) []Row {
	groups := make(map[Row]int)
	for _, r := range rows {
		if !q.matches(r) {
			continue
		}
		var key Row
		for _, f := range q.By {
			key.set(f, r.Field(f))
		}
		groups[key] += r.Count
	}
	result := make([]Row, 0, len(groups))
	for key, count := range groups {
		key.Count = count
		result = append(result, key)
	}
	slices.SortFunc(result, q.compare)
	if q.Limit != nil && len(result) > *q.Limit {
		result = result[:*q.Limit]
	}
	return result
}

func (q *Query) matches(r Row) bool {
	for _, c := range q.Where {
		if (r.Field(c.Field) == c.Value) == c.Negated {
			return false
		}
	}
	return true
}

// compare orders rows by the query's order, then by the grouping fields.
func (q *Query) compare(a, b Row) int {
	if q.Order != nil {
		n := strings.Compare(a.Field(q.Order.By), b.Field(q.Order.By))
		if q.Order.By == "count" {
			n = cmp.Compare(a.Count, b.Count)
		}
		if q.Order.Desc {
			n = -n
		}
		if n != 0 {
			return n
		}
	}
	for _, f := range q.By {
		if n := strings.Compare(a.Field(f), b.Field(f)); n != 0 {
			return n
		}
	}
	return 0
}
