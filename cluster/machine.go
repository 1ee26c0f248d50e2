// SPDX-License-Identifier: MIT

package cluster

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"lynxramp.org/budget"
	"lynxramp.org/consensus"
	"lynxramp.org/level"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
)

// stateMachine is the replicated state: what the log's commands make.
type stateMachine struct {
	// formatVersion is what the log says of which forms all members read: from formatVersion.Told on by a command
	// of its own, before by the forms that it has; 0 where it has none that tells.
	formatVersion    level.Level
	document Document
	upload   upload
	registry registry.State
	// spending is what the records of the budgets say.
	spending budget.Ledger
	// poison is what the records of requests that end endpoints say.
	poison poison.Ledger
}

// The first byte of a command says what it is.
const (
	commandDocument byte = iota + 1
	commandEndpoint
	commandRemoveEndpoint
	commandSpending
	commandPoison
	commandFormatVersion
	commandEndpointInstance // an endpoint's word that tells when it started
	lastCommand  = commandEndpointInstance
)

// encodeFormatVersion returns the command that raises the group's level. It is a form of level.Told, so that
// builds before it must not be sent it.
func encodeFormatVersion(l level.Level) []byte { return []byte{commandFormatVersion, byte(l)} }

// formatOf returns the level of a command's form: who reads that reads the command. Where it isn't
// known, because the kind of command is not, it is false.
func formatOf(command []byte) (level.Level, bool) {
	switch {
	case len(command) == 0 || command[0] == 0:
		return level.Listed, true // it does nothing, on every box alike
	case command[0] > lastCommand:
		return 0, false
	case command[0] == commandDocument && !isWholeDocument(command[1:]):
		return level.Parts, true
	case command[0] == commandPoison:
		return level.Suspects, true
	case command[0] == commandEndpointInstance || command[0] == commandRemoveEndpoint && registry.Name(string(command[1:])) != string(command[1:]):
		return level.Starts, true
	case command[0] == commandFormatVersion && len(command) == 2:
		return max(level.Told, level.Level(command[1])), true
	}
	return level.Listed, true
}

// checkReadable reports whether a box that reads a level reads a command: an error names what it does not
// read.
func checkReadable(command []byte, reads level.Level) error {
	l, known := formatOf(command)
	switch {
	case !known:
		return &level.Above{
			What: "the log", Found: fmt.Sprintf("a command of kind %d", command[0]),
			Reads: fmt.Sprintf("kinds up to %d (level %d)", lastCommand, reads),
		}
	case l > reads:
		return level.TooNew("the log", l, reads)
	}
	return nil
}

// observeFormat takes note that the log has a form of a level, which all members read then.
func (m *stateMachine) observeFormat(l level.Level) { m.formatVersion = max(m.formatVersion, l) }

// encodeEndpoint returns the command that takes an endpoint's word on itself.
func encodeEndpoint(e registry.Endpoint) []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	kind := commandEndpoint
	if e.Born > 0 {
		kind = commandEndpointInstance
	}
	return append([]byte{kind}, data...)
}

func encodeSpending(r budget.Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return append([]byte{commandSpending}, data...)
}

func encodePoison(r poison.Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return append([]byte{commandPoison}, data...)
}

// encodeRemove returns the command that takes an endpoint's word that it ends. Its id is its name alone where it
// does not tell when it started, or not all members read that.
func encodeRemove(id string) []byte { return append([]byte{commandRemoveEndpoint}, id...) }

// change is what a command changed.
type change struct {
	document bool
	formatVersion    bool
	spending *budget.Record
	poison   *poison.Record
	updated     []registry.Endpoint
	removed     []string
}

// apply carries out the command of an entry of the log.
func (m *stateMachine) apply(index consensus.Index, command []byte) (change, error) {
	if len(command) == 0 {
		return change{}, errors.New("empty command")
	}
	body := command[1:]
	switch command[0] {
	case commandDocument:
		return m.applyDocument(body)
	case commandEndpoint, commandEndpointInstance:
		var e registry.Endpoint
		if err := json.Unmarshal(body, &e); err != nil {
			return change{}, errors.Wrap(err, "endpoint")
		}
		if command[0] == commandEndpoint {
			e.Born = 0 // builds that read no starts pass it over
		}
		return m.putEndpoint(index, e), nil
	case commandRemoveEndpoint:
		id := m.registry.Ending(registry.ParseID(string(body)))
		m.registry.Remove(id, uint64(index))
		return change{removed: []string{id}}, nil
	case commandSpending:
		var r budget.Record
		if err := json.Unmarshal(body, &r); err != nil {
			return change{}, errors.Wrap(err, "record of budgets")
		}
		if r.Part {
			m.observeFormat(level.Parts)
		}
		m.spending.Apply(r)
		return change{spending: &r}, nil
	case commandPoison:
		var r poison.Record
		if err := json.Unmarshal(body, &r); err != nil {
			return change{}, errors.Wrap(err, "record of requests that end endpoints")
		}
		m.observeFormat(level.Suspects)
		m.poison.Apply(r)
		return change{poison: &r}, nil
	case commandFormatVersion:
		if len(body) != 1 {
			return change{}, errors.New("level of another length")
		}
		raised := level.Level(body[0]) > m.formatVersion
		m.observeFormat(level.Level(body[0]))
		return change{formatVersion: raised}, nil
	default:
		return change{}, errors.Errorf("command of kind %d", command[0])
	}
}

// putEndpoint takes an endpoint's word on itself.
func (m *stateMachine) putEndpoint(index consensus.Index, told registry.Endpoint) change {
	e, counts := m.registry.Start(told)
	if !counts || !m.registry.Accepts(e) {
		return change{}
	}
	return change{removed: m.registry.Put(e, uint64(index)), updated: []registry.Endpoint{e}}
}
