// SPDX-License-Identifier: MIT

package cluster

import (
	"encoding/binary"
	"encoding/json"

	"github.com/pkg/errors"

	"lynxramp.org/budget"
	"lynxramp.org/consensus"
	"lynxramp.org/registry"
)

// Document is a configuration as its operator sent it.
type Document struct {
	Version uint64
	Data    []byte
}

// machine is the replicated state: what the log's commands make.
type machine struct {
	document Document
	registry registry.State
	// spending is what the records of the budgets say.
	spending budget.Ledger
}

// The first byte of a command says what it is.
const (
	commandDocument byte = iota + 1
	commandEndpoint
	commandRemove
	commandSpending
)

// versionBytes is the length of a version before a document.
const versionBytes = 8

func encodeDocument(d Document) []byte {
	data := make([]byte, 0, 1+versionBytes+len(d.Data))
	data = append(data, commandDocument)
	data = binary.BigEndian.AppendUint64(data, d.Version)
	return append(data, d.Data...)
}

func encodeEndpoint(e registry.Endpoint) []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return append([]byte{commandEndpoint}, data...)
}

func encodeSpending(r budget.Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return append([]byte{commandSpending}, data...)
}

func encodeRemove(id string) []byte { return append([]byte{commandRemove}, id...) }

// change is what a command changed.
type change struct {
	document bool
	spending *budget.Record
	seen     []registry.Endpoint
	gone     []string
}

// apply carries out the command of an entry of the log.
func (m *machine) apply(index consensus.Index, command []byte) (change, error) {
	if len(command) == 0 {
		return change{}, errors.New("empty command")
	}
	body := command[1:]
	switch command[0] {
	case commandDocument:
		return m.applyDocument(body)
	case commandEndpoint:
		var e registry.Endpoint
		if err := json.Unmarshal(body, &e); err != nil {
			return change{}, errors.Wrap(err, "endpoint")
		}
		return m.put(index, e), nil
	case commandRemove:
		m.registry.Remove(string(body), uint64(index))
		return change{gone: []string{string(body)}}, nil
	case commandSpending:
		var r budget.Record
		if err := json.Unmarshal(body, &r); err != nil {
			return change{}, errors.Wrap(err, "record of budgets")
		}
		m.spending.Apply(r)
		return change{spending: &r}, nil
	default:
		return change{}, errors.Errorf("command of kind %d", command[0])
	}
}

func (m *machine) applyDocument(body []byte) (change, error) {
	if len(body) < versionBytes {
		return change{}, errors.New("document without a version")
	}
	version := binary.BigEndian.Uint64(body)
	if version <= m.document.Version {
		return change{}, nil
	}
	m.document = Document{Version: version, Data: body[versionBytes:]}
	return change{document: true}, nil
}

func (m *machine) put(index consensus.Index, e registry.Endpoint) change {
	if !m.registry.Accepts(e) {
		return change{}
	}
	c := change{seen: []registry.Endpoint{e}}
	if followed := m.registry.Put(e, uint64(index)); followed != "" {
		c.gone = append(c.gone, followed)
	}
	return c
}

// saved is the machine as a snapshot has it.
type saved struct {
	Version  uint64         `json:"version"`
	Data     []byte         `json:"data"`
	Registry registry.State `json:"registry"`
	Spending budget.Record  `json:"spending"`
}

func (m *machine) snapshot() []byte {
	data, err := json.Marshal(saved{Version: m.document.Version, Data: m.document.Data, Registry: m.registry, Spending: m.spending.Record()})
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return data
}

func (m *machine) restore(data []byte) error {
	*m = machine{}
	if len(data) == 0 {
		return nil
	}
	var s saved
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "snapshot")
	}
	m.document = Document{Version: s.Version, Data: s.Data}
	m.registry = s.Registry
	m.spending.Apply(s.Spending)
	return nil
}
