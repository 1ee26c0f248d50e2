// SPDX-License-Identifier: MIT

package cluster

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"lynxramp.org/affinity"
	"lynxramp.org/budget"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
	"lynxramp.org/rollout"
)

// stateMachine is the replicated state, which the commands of the log change.
type stateMachine struct {
	// formatVersion is the format version that all members support according to the log. A command sets it;
	// in logs of older builds it is inferred from the formats in use. 0 if unknown.
	formatVersion level.Level
	document      Document
	upload        upload
	registry      registry.State
	// budgets holds the budget records of the log.
	budgets budget.Ledger
	// poison holds the records of poison requests in the log.
	poison poison.Ledger
	// rollouts holds the roll-outs of each service.
	rollouts rollout.Ledger
	// versions has the software versions that the streams of each service may have.
	versions affinity.Ledger
	// now is when the commands being applied were committed, by the clock of this box. Only the ages of
	// roll-outs depend on it; they are not part of the replicated state.
	now event.Time
}

// The first byte of a command is its kind.
const (
	commandDocument byte = iota + 1
	commandEndpoint
	commandRemoveEndpoint
	commandBudgets
	commandPoison
	commandFormatVersion
	commandEndpointInstance // commandEndpoint with the endpoint's start time
	commandEndpointVersion  // commandEndpointInstance with the endpoint's version; the start time may be unknown
	commandRollout
	commandVersions
	lastCommand = commandVersions
)

// encodeFormatVersion returns the command that raises the group's format version. It must not
// be sent to builds without format versions, which can't read it.
func encodeFormatVersion(l level.Level) []byte { return []byte{commandFormatVersion, byte(l)} }

// formatOf returns the format version needed to read a command; false if the kind of command is
// unknown.
func formatOf(command []byte) (level.Level, bool) {
	switch {
	case len(command) == 0 || command[0] == 0:
		return level.Listed, true // skipped on all boxes
	case command[0] > lastCommand:
		return 0, false
	case command[0] == commandDocument && !isWholeDocument(command[1:]):
		return level.Chunked, true
	case command[0] == commandPoison:
		return level.Suspects, true
	case command[0] == commandEndpointInstance || command[0] == commandRemoveEndpoint && registry.Name(string(command[1:])) != string(command[1:]):
		return level.Instances, true
	case command[0] == commandEndpointVersion, command[0] == commandRollout:
		return level.Rollouts, true
	case command[0] == commandVersions:
		return level.Versions, true
	case command[0] == commandFormatVersion && len(command) == 2:
		return max(level.Negotiated, level.Level(command[1])), true
	}
	return level.Listed, true
}

// checkReadable returns an error if a box that supports a format version can't read a command. The
// error names what was found and what is supported.
func checkReadable(command []byte, supported level.Level) error {
	l, known := formatOf(command)
	switch {
	case !known:
		return &level.UnsupportedError{
			Source: "the log", Found: fmt.Sprintf("a command of kind %d", command[0]),
			Supported: fmt.Sprintf("kinds up to %d (level %d)", lastCommand, supported),
		}
	case l > supported:
		return level.Unsupported("the log", l, supported)
	}
	return nil
}

// observeFormat records that the log contains a format version, so that all members support it.
func (m *stateMachine) observeFormat(l level.Level) {
	m.formatVersion = max(m.formatVersion, l)
	m.keepPastOrders()
}

// keepPastOrders keeps the past orders of roll-outs in the state once all members do.
func (m *stateMachine) keepPastOrders() {
	if m.formatVersion >= level.PastOrders {
		m.rollouts.KeepPastOrders()
	}
}

// encodeEndpoint returns the command that stores the state reported by an endpoint.
func encodeEndpoint(e registry.Endpoint) []byte {
	kind := commandEndpoint
	switch {
	case e.Version != "":
		kind = commandEndpointVersion
	case e.Born > 0:
		kind = commandEndpointInstance
	}
	return encodeCommand(kind, e)
}

// encodeCommand returns a command of a kind with its content in JSON.
func encodeCommand(kind byte, content any) []byte {
	data, err := json.Marshal(content)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return append([]byte{kind}, data...)
}

func encodeBudgets(r budget.Record) []byte { return encodeCommand(commandBudgets, r) }

func encodePoison(r poison.Record) []byte { return encodeCommand(commandPoison, r) }

func encodeRollout(r rollout.Record) []byte { return encodeCommand(commandRollout, r) }

func encodeVersions(r affinity.Record) []byte { return encodeCommand(commandVersions, r) }

// encodeRemove returns the command that removes an endpoint instance. The id is the endpoint's name alone
// if its start time is unknown or not all members support instances.
func encodeRemove(id string) []byte { return append([]byte{commandRemoveEndpoint}, id...) }

// change is what a command changed.
type change struct {
	document      bool
	formatVersion bool
	budgets       *budget.Record
	poison        *poison.Record
	rollout       *rolloutChange
	versions      *affinity.Record
	updated       []registry.Endpoint
	removed       []string
}

// rolloutChange is a record of a roll-out and the one that it replaced; Number is 0 if there was none.
type rolloutChange struct{ record, before rollout.Record }

// apply applies the command of a log entry.
func (m *stateMachine) apply(index consensus.Index, command []byte) (change, error) {
	if len(command) == 0 {
		return change{}, errors.New("empty command")
	}
	body := command[1:]
	switch command[0] {
	case commandDocument:
		return m.applyDocument(body)
	case commandEndpoint, commandEndpointInstance, commandEndpointVersion:
		var e registry.Endpoint
		if err := json.Unmarshal(body, &e); err != nil {
			return change{}, errors.Wrap(err, "decode endpoint")
		}
		if command[0] == commandEndpoint {
			e.Born = 0 // builds that don't support instances ignore it
		}
		if command[0] == commandEndpointVersion {
			m.observeFormat(level.Rollouts)
		} else {
			e.Version = "" // builds that don't support versions ignore it
		}
		return m.putEndpoint(index, e), nil
	case commandRemoveEndpoint:
		id := m.registry.ResolveTermination(registry.ParseID(string(body)))
		m.registry.Remove(id, uint64(index))
		return change{removed: []string{id}}, nil
	case commandBudgets:
		var r budget.Record
		if err := json.Unmarshal(body, &r); err != nil {
			return change{}, errors.Wrap(err, "decode budget record")
		}
		if r.Partial {
			m.observeFormat(level.Chunked)
		}
		m.budgets.Apply(r)
		return change{budgets: &r}, nil
	case commandPoison:
		var r poison.Record
		if err := json.Unmarshal(body, &r); err != nil {
			return change{}, errors.Wrap(err, "decode poison record")
		}
		m.observeFormat(level.Suspects)
		m.poison.Apply(r)
		return change{poison: &r}, nil
	case commandRollout:
		var r rollout.Record
		if err := json.Unmarshal(body, &r); err != nil {
			return change{}, errors.Wrap(err, "decode roll-out record")
		}
		m.observeFormat(level.Rollouts)
		before, _ := m.rollouts.Get(r.Service)
		m.rollouts.Apply(m.now, r)
		return change{rollout: &rolloutChange{record: r, before: before}}, nil
	case commandVersions:
		var r affinity.Record
		if err := json.Unmarshal(body, &r); err != nil {
			return change{}, errors.Wrap(err, "decode versions record")
		}
		if !m.versions.Apply(r, uint64(index)) {
			return change{}, nil
		}
		return change{versions: &r}, nil
	case commandFormatVersion:
		if len(body) != 1 {
			return change{}, errors.New("format version command has the wrong length")
		}
		before := m.formatVersion
		m.observeFormat(level.Level(body[0]))
		if before < level.Versions && m.formatVersion >= level.Versions {
			m.startVersions(index)
		}
		return change{formatVersion: m.formatVersion > before}, nil
	default:
		return change{}, errors.Errorf("unknown command kind %d", command[0])
	}
}

// putEndpoint stores the state reported by an endpoint, unless it is outdated.
func (m *stateMachine) putEndpoint(index consensus.Index, reported registry.Endpoint) change {
	e, valid := m.registry.ResolveInstance(reported)
	if !valid || !m.registry.Accepts(e) {
		return change{}
	}
	if m.formatVersion >= level.Versions {
		m.versions.Endpoint(e.Service, e.Version, uint64(index))
	}
	return change{removed: m.registry.Put(e, uint64(index)), updated: []registry.Endpoint{e}}
}

// startVersions begins to record the versions of services. Endpoints that earlier builds registered may have had others.
func (m *stateMachine) startVersions(index consensus.Index) {
	for _, e := range m.registry.List() {
		m.versions.Start(e.Service, uint64(index))
		if e.Version != "" {
			m.versions.Endpoint(e.Service, e.Version, uint64(index))
		}
	}
}
