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

// Finding is something wrong at a place of a file.
type Finding struct {
	File    string
	Line    int // from 1; 0 for the file as a whole
	Path    string
	Message string
}

// String returns the finding as FILE:LINE: PATH: MESSAGE.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Message)
}

// Findings is all that is wrong; as an error it lists them a line each.
type Findings []Finding

// Error implements error.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// orNil returns f as an error that is nil when nothing was found.
func (f Findings) orNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// decoder fills Go values from YAML nodes and goes on after each fault.
type decoder struct {
	file     string
	findings Findings
	lines    map[string]int // line of each path
}

// rootPath names the whole document.
const rootPath = "."

// nullTag marks a key without a value; it leaves the zero value.
const nullTag = "!!null"

// decode fills v, a pointer to a struct, from a document.
func (d *decoder) decode(data []byte, v any) {
	d.lines = make(map[string]int)
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		d.add(1, rootPath, "this is not YAML: %v", err)
		return
	}
	if len(document.Content) == 0 {
		d.add(1, rootPath, "the file is empty")
		return
	}
	d.value(document.Content[0], "", reflect.ValueOf(v).Elem())
}

func (d *decoder) add(line int, path, format string, args ...any) {
	d.findings = append(d.findings, Finding{
		File: d.file, Line: line, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

// addAt adds a finding at a path, with the line of the nearest part that is in
// the file.
func (d *decoder) addAt(path, format string, args ...any) {
	near := path
	for {
		if line, ok := d.lines[near]; ok || near == "" {
			d.add(max(line, 1), path, format, args...)
			return
		}
		near = near[:max(0, strings.LastIndexAny(near, ".["))]
	}
}

func (d *decoder) value(n *yaml.Node, path string, v reflect.Value) {
	d.lines[path] = n.Line
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Tag == nullTag {
		return
	}
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.scalar(n, path, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structure(n, path, v)
	case reflect.Slice:
		d.list(n, path, v)
	default:
		d.scalar(n, path, v)
	}
}

func (d *decoder) structure(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.add(n.Line, orRoot(path), "keys and values are expected here")
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
			d.add(key.Line, inner, "the key is there twice")
		default:
			d.value(n.Content[i+1], inner, v.Field(field))
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

func (d *decoder) list(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.add(n.Line, orRoot(path), "a list is expected here")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		d.value(item, at(path, i), v.Index(i))
	}
}

// at returns the path of a list's item.
func at(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

func (d *decoder) scalar(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.add(n.Line, orRoot(path), "a single value is expected here")
		return
	}
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := text.UnmarshalText([]byte(n.Value)); err != nil {
			d.add(n.Line, path, "%v", err)
		}
		return
	}
	if v.Kind() == reflect.String && n.Tag != "!!str" {
		d.add(n.Line, path, "%q is not text; write it in quotes", n.Value)
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
