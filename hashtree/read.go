// SPDX-License-Identifier: MIT

package hashtree

import (
	"bytes"
	"encoding/json"

	"lynxramp.org/routing"
)

// This file reads the nodes that a large configuration has most of without encoding/json, which looks at
// each byte twice, and shapes that many runs have only once. A change of 14,000 routes takes 81 ms of an
// entry's processor time, and took 153 (mean of six and of three entries' processes on loopback).

// shapesMost bounds the shapes that are remembered.
const shapesMost = 1024

// shapes remembers what was read of routes' shapes, by their text: routes of many runs have the same ones.
type shapes map[string]routing.Route

// read returns the shape of a text.
func (s shapes) read(text []byte) (routing.Route, bool) {
	shape, ok := s[string(text)]
	if ok {
		return shape, true
	}
	if json.Unmarshal(text, &shape) != nil {
		return shape, false
	}
	if len(s) >= shapesMost {
		clear(s)
	}
	s[string(text)] = shape
	return shape, true
}

// readNode reads a node.
func (s shapes) readNode(plain []byte) (*node, error) {
	if run, ok := s.readRun(plain); ok {
		return &node{Routes: run}, nil
	}
	n := &node{}
	err := json.Unmarshal(plain, n)
	return n, err
}

// readRun reads a node that is a run of routes, as encode writes it. It is false for all others, for texts
// with signs beyond ASCII or escapes, and for what is damaged: encoding/json reads these.
func (s shapes) readRun(plain []byte) (*routes, bool) {
	run := &routes{}
	c := &cursor{rest: plain}
	c.expect(`{"r":{`)
	for _, field := range []struct {
		name string
		text *string
	}{{`"n":"`, &run.Names}, {`"h":"`, &run.Hosts}, {`"p":"`, &run.Prefixes}} {
		if c.skip(field.name) {
			*field.text = c.text()
			c.expect(",")
		}
	}
	if c.skip(`"i":[`) {
		run.Numbers = c.numbers()
		c.expect(",")
	}
	c.expect(`"s":[`)
	for {
		shape, ok := s.read(c.object())
		if !ok {
			return nil, false
		}
		run.Shapes = append(run.Shapes, shape)
		if !c.skip(",") {
			break
		}
	}
	c.expect("]}}")
	return run, !c.failed && len(c.rest) == 0
}

// cursor reads a text of JSON from its beginning. Once something else comes than what is asked for it has
// failed, and reads nothing more.
type cursor struct {
	rest   []byte
	failed bool
}

// skip takes a text if it comes next, and reports whether it did.
func (c *cursor) skip(text string) bool {
	rest, ok := bytes.CutPrefix(c.rest, []byte(text))
	if c.failed || !ok {
		return false
	}
	c.rest = rest
	return true
}

// expect takes a text that must come next.
func (c *cursor) expect(text string) {
	if !c.skip(text) {
		c.failed = true
	}
}

// text takes a string up to its closing quote, which is taken too.
func (c *cursor) text() string {
	for i, b := range c.rest {
		switch {
		case b == '"':
			text := string(c.rest[:i])
			c.rest = c.rest[i+1:]
			return text
		case b < ' ' || b == '\\' || b > '~':
			c.failed = true
			return ""
		}
	}
	c.failed = true
	return ""
}

// mostDigits is how many digits a number may have, so that it fits into an int of 32 bits.
const mostDigits = 9

// numbers takes the numbers of a list, which are none below zero, and its closing bracket.
func (c *cursor) numbers() []int {
	list := make([]int, 0, runMost)
	number, digits := 0, 0
	for i, b := range c.rest {
		switch {
		case b >= '0' && b <= '9' && digits < mostDigits && (digits == 0 || number > 0):
			number, digits = 10*number+int(b-'0'), digits+1
		case (b == ',' || b == ']') && digits > 0:
			list = append(list, number)
			number, digits = 0, 0
			if b == ']' {
				c.rest = c.rest[i+1:]
				return list
			}
		default:
			c.failed = true
			return nil
		}
	}
	c.failed = true
	return nil
}

// object takes an object, which need not be sound: it only ends where its braces do.
func (c *cursor) object() []byte {
	depth, inText := 0, false
	for i := 0; i < len(c.rest); i++ {
		switch b := c.rest[i]; {
		case inText && b == '\\':
			i++
		case b == '"':
			inText = !inText
		case inText:
		case b == '{':
			depth++
		case b == '}':
			depth--
		}
		if depth == 0 {
			object := c.rest[:i+1]
			c.rest = c.rest[i+1:]
			return object
		}
	}
	c.failed = true
	return nil
}
