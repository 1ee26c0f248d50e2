// SPDX-License-Identifier: MIT

package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	At      time.Time
	Box     string
	Message string
	Request string // the caller's id of a request; empty for none
	ID      string // ours
	Fields  map[string]any
}

// notFields are keys that a Line has in other places.
var notFields = []string{"time", "at", "box", "msg", "request", "id", "level", "after"}

// Read returns the lines of a log. What stands before a line's first brace, as
// tools put there, and lines that are no JSON are passed over.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		brace := slices.Index(text, '{')
		if brace < 0 {
			continue
		}
		if line, ok := parse(text[brace:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "log")
}

func parse(text []byte) (Line, bool) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, false
	}
	word := func(key string) string {
		s, _ := fields[key].(string)
		return s
	}
	line := Line{Box: word("box"), Message: word("msg"), Request: word("request"), ID: word("id"), Fields: fields}
	when := word("at")
	if when == "" {
		when = word("time")
	}
	at, err := time.Parse(time.RFC3339Nano, when)
	if err != nil {
		return Line{}, false
	}
	line.At = at
	for _, key := range notFields {
		delete(fields, key)
	}
	return line, true
}

// beliefs are messages that say what a box believes from then on, by what they
// are about.
var beliefs = map[string]string{
	"configuration in force":   "configuration",
	"owner found":              "owner",
	"owner lost":               "owner",
	"decides without an owner": "owner",
	"stops":                    "stopping",
}

// Explain writes the life of a request, by the caller's id or ours, and its cause.
func Explain(w io.Writer, id string, lines []Line) error {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	believed := make(map[string]Line) // by box and subject
	var life []Line
	for _, line := range lines {
		if subject, ok := beliefs[line.Message]; ok {
			believed[line.Box+" "+subject] = line
		}
		if line.Request != id && line.ID != id {
			continue
		}
		if len(life) == 0 || life[len(life)-1].ID != line.ID {
			tellBeliefs(w, line, believed)
		}
		life = append(life, line)
		fmt.Fprintf(w, "%s  %-18s %-16s %s\n", line.At.Format("15:04:05.000"), line.Box, line.Message, fieldsOf(line))
	}
	if len(life) == 0 {
		return errors.Errorf("no line speaks of %q; a request that did well may have been left out", id)
	}
	fmt.Fprintf(w, "cause: %s\n", Cause(life))
	return nil
}

// tellBeliefs writes what a box believed before a line.
func tellBeliefs(w io.Writer, line Line, believed map[string]Line) {
	for _, subject := range []string{"configuration", "owner", "stopping"} {
		if b, ok := believed[line.Box+" "+subject]; ok {
			fmt.Fprintf(w, "  %s believes since %s (%.1f s): %s %s\n", b.Box, b.At.Format("15:04:05.000"),
				line.At.Sub(b.At).Seconds(), b.Message, fieldsOf(b))
		}
	}
}

func fieldsOf(line Line) string {
	keys := make([]string, 0, len(line.Fields))
	for key := range line.Fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	parts := make([]string, len(keys))
	for i, key := range keys {
		parts[i] = fmt.Sprintf("%s=%v", key, line.Fields[key])
	}
	return strings.Join(parts, " ")
}

// Cause says in a sentence why a request ended as its last lines tell.
func Cause(life []Line) string {
	last := life[len(life)-1]
	failed := lastOf(life, "attempt failed")
	refused := lastOf(life, "refused")
	switch {
	case last.Message == "cancelled":
		return "the caller left" + since(failed)
	case last.Message == "stream cut":
		return fmt.Sprintf("the stream was cut after event %v: %v%s", last.Fields["last_event"], last.Fields["why"], since(failed)+because(refused))
	case last.Message == "ended" && refused != nil && failed == nil:
		return "refused before any endpoint had it" + because(refused)
	case last.Message == "ended" && isSuccess(last):
		return "served" + since(failed)
	case last.Message == "ended":
		return fmt.Sprintf("%v (status %v)%s", last.Fields["why"], last.Fields["status"], since(failed)+because(refused))
	default:
		return "its end is not in these files; the last step was " + last.Message + since(failed)
	}
}

func isSuccess(line Line) bool {
	status, _ := line.Fields["status"].(float64)
	return status >= 200 && status < 300
}

func lastOf(life []Line, message string) *Line {
	for i := len(life) - 1; i >= 0; i-- {
		if life[i].Message == message {
			return &life[i]
		}
	}
	return nil
}

// since tells of an attempt that failed.
func since(failed *Line) string {
	if failed == nil {
		return ""
	}
	return fmt.Sprintf("; at endpoint %v: %v (%v)", failed.Fields["endpoint"], failed.Fields["outcome"], failed.Fields["cause"])
}

// because tells of a refusal and what decided it.
func because(refused *Line) string {
	if refused == nil {
		return ""
	}
	text := fmt.Sprintf("; refused for %v", refused.Fields["reason"])
	if limit, ok := refused.Fields["limit"].(float64); ok && limit > 0 {
		return text + fmt.Sprintf(": %v of %v spent", refused.Fields["spent"], refused.Fields["limit"])
	}
	if ahead, ok := refused.Fields["ahead"].(float64); ok && ahead > 0 {
		return text + fmt.Sprintf(": %v ahead, %v s expected", refused.Fields["ahead"], refused.Fields["expected_wait"])
	}
	return text
}
