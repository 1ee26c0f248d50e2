// SPDX-License-Identifier: MIT

package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Problem is a fault in a file and its position.
type Problem struct {
	File    string
	Line    int    // from 1; 0 for the file as a whole
	Path    string // of YAML keys, such as teams[2].tier; "." for the whole document
	Message string
}

// String returns the problem as FILE:LINE: PATH: MESSAGE.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Message)
}

// Problems is a list of problems; as an error it has one per line.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// asError returns p as an error, nil if p is empty.
func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// decoder fills Go values from YAML nodes and collects all problems instead of stopping at the
// first.
type decoder struct {
	file     string
	problems Problems
	lines    map[string]int // line of each path that is in the file
}

// rootPath is the path of the whole document.
const rootPath = "."

// nullTag is the tag of a key without a value, which leaves the zero value.
const nullTag = "!!null"

// decode fills v, a pointer to a struct, from a YAML document.
func (d *decoder) decode(data []byte, v any) {
	d.lines = make(map[string]int)
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		d.add(1, rootPath, "invalid YAML: %v", err)
		return
	}
	if len(document.Content) == 0 {
		d.add(1, rootPath, "the file is empty")
		return
	}
	d.decodeValue(document.Content[0], "", reflect.ValueOf(v).Elem())
}

func (d *decoder) add(line int, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: d.file, Line: line, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

// addAt adds a problem at a path, with the line of the nearest enclosing path that
// is in the file.
func (d *decoder) addAt(path, format string, args ...any) {
	nearest := path
	for {
		if line, ok := d.lines[nearest]; ok || nearest == "" {
			d.add(max(line, 1), path, format, args...)
			return
		}
		nearest = nearest[:max(0, strings.LastIndexAny(nearest, ".["))]
	}
}

func (d *decoder) decodeValue(n *yaml.Node, path string, v reflect.Value) {
	d.lines[path] = n.Line
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Tag == nullTag {
		return
	}
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeScalar(n, path, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, path, v)
	case reflect.Slice:
		d.decodeList(n, path, v)
	default:
		d.decodeScalar(n, path, v)
	}
}

func (d *decoder) decodeStruct(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.add(n.Line, orRoot(path), "expected a mapping")
		return
	}
	fields := fieldsByKey(v.Type())
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		inner := strings.TrimPrefix(path+"."+key.Value, ".")
		field, ok := fields[key.Value]
		switch {
		case !ok:
			d.add(key.Line, inner, "unknown key")
		case seen[key.Value]:
			d.add(key.Line, inner, "duplicate key")
		default:
			d.decodeValue(n.Content[i+1], inner, v.Field(field))
		}
		seen[key.Value] = true
	}
}

func fieldsByKey(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if key := t.Field(i).Tag.Get("yaml"); key != "" {
			fields[key] = i
		}
	}
	return fields
}

func (d *decoder) decodeList(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.add(n.Line, orRoot(path), "expected a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		d.decodeValue(item, itemPath(path, i), v.Index(i))
	}
}

// itemPath returns the path of a list item.
func itemPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

func (d *decoder) decodeScalar(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.add(n.Line, orRoot(path), "expected a single value")
		return
	}
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := text.UnmarshalText([]byte(n.Value)); err != nil {
			d.add(n.Line, path, "%v", err)
		}
		return
	}
	if v.Kind() == reflect.String && n.Tag != "!!str" {
		d.add(n.Line, path, "%q is not a string; put it in quotes", n.Value)
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		d.add(n.Line, path, "%q is not a %s", n.Value, typeName(v))
	}
}

func typeName(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Bool:
		return "boolean (true or false)"
	case reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

func orRoot(path string) string {
	if path == "" {
		return rootPath
	}
	return path
}
