// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"
	"strings"
)

// Problem is a fault in a table.
type Problem struct {
	Path    string // such as routes[3].timeout
	Message string
}

// Problems has all problems of a table; its error text has one line each.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.Path + ": " + one.Message
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Check returns all problems of a table.
func Check(t *Table) Problems {
	var found Problems
	services := checkServices(t, &found)
	seen := make(map[routeKey]string)
	for i := range t.Routes {
		checkRoute(fmt.Sprintf("routes[%d]", i), &t.Routes[i], services, seen, &found)
	}
	checkTeams(t, &found)
	return found
}

func checkServices(t *Table, found *Problems) map[string]bool {
	names := make(map[string]bool, len(t.Services))
	for i, s := range t.Services {
		path := fmt.Sprintf("services[%d].name", i)
		switch {
		case s.Name == "":
			found.add(path, "name is empty")
		case names[s.Name]:
			found.add(path, "duplicate service %q", s.Name)
		}
		names[s.Name] = true
	}
	return names
}

func checkRoute(path string, r *Route, services map[string]bool, seen map[routeKey]string, found *Problems) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		found.add(path+".prefix", "%q must begin and end with a slash", r.Prefix)
	}
	key := routeKey{strings.ToLower(r.Host), r.Prefix}
	if other, ok := seen[key]; ok {
		found.add(path, "same host and prefix as %s", other)
	}
	seen[key] = path
	if r.Timeout <= 0 {
		found.add(path+".timeout", "timeout must be greater than 0")
	}
	total := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			found.add(path+".split", "unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			found.add(path+".split", "weight must not be negative")
		}
		total += s.Weight
	}
	if total <= 0 {
		found.add(path+".split", "sum of weights must be greater than 0")
	}
}

func checkTeams(t *Table, found *Problems) {
	names := make(map[string]bool)
	keys := make(map[string]string)
	for i, team := range t.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		if team.Name == "" || names[team.Name] {
			found.add(path+".name", "empty or duplicate team name %q", team.Name)
		}
		names[team.Name] = true
		for _, key := range team.Keys {
			if other, ok := keys[key]; ok && other != team.Name {
				found.add(path+".keys", "key already belongs to team %s", other)
			}
			keys[key] = team.Name
		}
	}
}
