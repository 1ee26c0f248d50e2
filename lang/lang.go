// SPDX-License-Identifier: MIT

package lang

import (
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"
)

// Statement is a parsed line; exactly one field is set.
type Statement struct {
	Query   *Query   `parser:"(  @@"`
	Command *Command `parser:" | @@ )"`
}

// Query counts requests in a state, grouped by fields.
type Query struct {
	// State is the state of the requests to count.
	State string      `parser:"'show' @('waiting'|'running'|'refused')"`
	By    []string    `parser:"('by' @('team'|'tier'|'pool'|'endpoint'|'reason') (',' @('team'|'tier'|'pool'|'endpoint'|'reason'))*)?"`
	Where []Condition `parser:"('where' @@ ('and' @@)*)?"`
	Order *Order      `parser:"@@?"`
	Limit *int        `parser:"('limit' @Number)?"`
}

// Condition compares a field with a value.
type Condition struct {
	Field   string `parser:"@('team'|'tier'|'pool'|'endpoint'|'reason')"`
	Negated bool   `parser:"(@'!=' | '=')"`
	Value   string `parser:"@(Word|Number|String)"`
}

// Order is the sort order of a result.
type Order struct {
	By   string `parser:"'order' 'by' @('count'|'team'|'tier'|'pool'|'endpoint'|'reason')"`
	Desc bool   `parser:"@'desc'?"`
}

// Command is a change of the catalog; one field besides CatalogVersion is set.
type Command struct {
	Drain  *string  `parser:"(  'drain' 'endpoint' @Word"`
	Return *string  `parser:" | 'return' 'endpoint' @Word"`
	Set    *Setting `parser:" | 'set' @@"`
	Delete *Target  `parser:" | 'delete' @@ )"`
	// CatalogVersion is the version to which the command applies; nil for the current one.
	CatalogVersion *uint64 `parser:"('at' @Number)?"`
}

// Setting sets one property of an item.
type Setting struct {
	Tier *TierSetting `parser:"(  'tier' @@"`
	Pool *PoolSetting `parser:" | 'pool' @@"`
	Team *TeamSetting `parser:" | 'team' @@"`
	Rule *RuleSetting `parser:" | 'rule' @@ )"`
}

// TierSetting sets a tier's rank.
type TierSetting struct {
	Name string `parser:"@Word"`
	Rank int    `parser:"'rank' @Number"`
}

// PoolSetting sets one property of a pool.
type PoolSetting struct {
	Name          string   `parser:"@Word"`
	MaxWaiting    *int     `parser:"(  'max_waiting' @Number"`
	PrefillWeight *float64 `parser:" | 'prefill_weight' @Number )"`
}

// TeamSetting sets one property of a team.
type TeamSetting struct {
	Name       string  `parser:"@Word"`
	Tier       *string `parser:"(  'tier' @Word"`
	MaxWaiting *int    `parser:" | 'max_waiting' @Number )"`
}

// RuleSetting sets the tier of a team's requests to a service; * is any.
type RuleSetting struct {
	Team    string `parser:"@(Word|'*')"`
	Service string `parser:"@(Word|'*')"`
	Tier    string `parser:"'tier' @Word"`
}

// Target is an item to delete.
type Target struct {
	Kind string `parser:"@('tier'|'team'|'service'|'pool')"`
	Name string `parser:"@Word"`
}

var parser = participle.MustBuild[Statement](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?\b`},
		{Name: "Word", Pattern: `[a-z0-9][a-z0-9._-]*`},
		{Name: "String", Pattern: `"[^"]*"`},
		{Name: "Sign", Pattern: `!=|=|,|\*`},
		{Name: "space", Pattern: `\s+`},
	})),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// SyntaxError is a syntax error in a line.
type SyntaxError struct {
	Column  int // from 1
	Message string
}

// Error implements error.
func (e *SyntaxError) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.Message) }

// Parse parses one line. A syntax error is a *SyntaxError.
func Parse(line string) (*Statement, error) {
	s, err := parser.ParseString("", line)
	if err == nil {
		return s, nil
	}
	var at participle.Error
	if errors.As(err, &at) {
		return nil, &SyntaxError{Column: at.Position().Column, Message: at.Message()}
	}
	return nil, err
}
