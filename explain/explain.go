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

// maxLine is the longest line of a log, in bytes.
const maxLine = 1 << 20

// Line is a parsed line of a log.
type Line struct {
	At      time.Time
	Box     string
	Message string
	Request string // the caller's request id; empty if there is none
	ID      string // the system's request id
	Fields  map[string]any
}

// lineKeys are the keys of a log line that are left out of Line.Fields.
var lineKeys = []string{"time", "at", "box", "msg", "request", "id", "level", "after"}

// Read returns the lines of a log. Text before the first brace of a line, which some
// tools add, and lines that are not JSON are skipped.
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

// parse parses a line; false if it is not JSON or has no valid time.
func parse(text []byte) (Line, bool) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, false
	}
	stringField := func(key string) string {
		s, _ := fields[key].(string)
		return s
	}
	line := Line{Box: stringField("box"), Message: stringField("msg"), Request: stringField("request"), ID: stringField("id"), Fields: fields}
	timestamp := stringField("at")
	if timestamp == "" {
		timestamp = stringField("time")
	}
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return Line{}, false
	}
	line.At = at
	for _, key := range lineKeys {
		delete(fields, key)
	}
	return line, true
}

// stateMessages maps log messages that report a change of a box's state to the subject
// of that state.
var stateMessages = map[string]string{
	"configuration in force":   "configuration",
	"owner found":              "owner",
	"owner lost":               "owner",
	"decides without an owner": "owner",
	"stops":                    "stopping",
}

// Explain writes the log lines of a request, given by the caller's id or the system's,
// and the cause of its outcome.
func Explain(w io.Writer, id string, lines []Line) error {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	states := make(map[string]Line) // the last state line, by box and subject
	restricted := make(restrictions)
	var history []Line // the lines of the request
	for _, line := range lines {
		if subject, ok := stateMessages[line.Message]; ok {
			states[line.Box+" "+subject] = line
		}
		restricted.observe(line)
		if line.Request != id && line.ID != id {
			continue
		}
		if len(history) == 0 || history[len(history)-1].ID != line.ID {
			writeState(w, line, states)
			restricted.write(w, line)
		}
		history = append(history, line)
		fmt.Fprintf(w, "%s  %-18s %-16s %s\n", line.At.Format("15:04:05.000"), line.Box, line.Message, formatFields(line))
	}
	if len(history) == 0 {
		return errors.Errorf("no log line has the request %q; successful requests may not be logged", id)
	}
	fmt.Fprintf(w, "cause: %s\n", Cause(history))
	return nil
}

// writeState writes the last reported state of a line's box.
func writeState(w io.Writer, line Line, states map[string]Line) {
	for _, subject := range []string{"configuration", "owner", "stopping"} {
		if state, ok := states[line.Box+" "+subject]; ok {
			fmt.Fprintf(w, "  %s: state since %s (%.1f s): %s %s\n", state.Box, state.At.Format("15:04:05.000"),
				line.At.Sub(state.At).Seconds(), state.Message, formatFields(state))
		}
	}
}

// formatFields returns the fields as key=value, sorted by key.
func formatFields(line Line) string {
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

// Cause describes why a request ended as its log lines show.
func Cause(history []Line) string {
	last := history[len(history)-1]
	failed := lastWith(history, "attempt failed")
	refused := lastWith(history, "refused")
	switch {
	case last.Message == "cancelled":
		return "the caller disconnected" + failedAttempt(failed)
	case last.Message == "stream cut":
		return fmt.Sprintf("the stream was cut after event %v: %v%s", last.Fields["last_event"], last.Fields["why"], failedAttempt(failed)+refusal(refused))
	case last.Message == "ended" && refused != nil && failed == nil:
		return "refused before dispatch to an endpoint" + refusal(refused)
	case last.Message == "ended" && isSuccess(last):
		return "served" + failedAttempt(failed)
	case last.Message == "ended":
		return fmt.Sprintf("%v (status %v)%s", last.Fields["why"], last.Fields["status"], failedAttempt(failed)+refusal(refused))
	default:
		return "the logs do not show its end; the last step was " + last.Message + failedAttempt(failed)
	}
}

func isSuccess(line Line) bool {
	status, _ := line.Fields["status"].(float64)
	return status >= 200 && status < 300
}

// lastWith returns the last line with a message; nil if there is none.
func lastWith(history []Line, message string) *Line {
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].Message == message {
			return &history[i]
		}
	}
	return nil
}

// failedAttempt describes a failed attempt; empty for nil.
func failedAttempt(failed *Line) string {
	if failed == nil {
		return ""
	}
	return fmt.Sprintf("; at endpoint %v: %v (%v)", failed.Fields["endpoint"], failed.Fields["outcome"], failed.Fields["cause"])
}

// refusal describes a refusal and the limit or queue behind it; empty for nil.
func refusal(refused *Line) string {
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
