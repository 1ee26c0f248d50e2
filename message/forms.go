// SPDX-License-Identifier: MIT

package message

import (
	"bytes"
	"encoding/gob"
	"sync/atomic"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/link"
)

// This file has how messages look for boxes of other builds, and how it is known what those read.

// Introduced returns a message that tells, besides, what this box reads and is: the first one of a
// connection.
func (e *Envelope) Introduced() *Envelope {
	m := *e
	m.Level, m.Build = level.Newest, level.Build()
	return &m
}

// Peer is the other side of a connection: what it reads. The zero Peer is one that has said nothing
// yet. It may be used by several goroutines.
type Peer struct{ reads atomic.Uint32 }

// Reads returns the level that the peer reads; 0 until its first bytes have come.
func (p *Peer) Reads() level.Level { return level.Level(p.reads.Load()) }

// marks are names of fields that a level's messages have and earlier ones' have not, with their
// lengths, as they stand in definitions of types. The newest level comes first.
var marks = []struct {
	level level.Level
	field string
}{
	{level.Feedback, "\x05Asked"},
	{level.Negotiated, "\x05Level"},
	{level.Suspects, "\x05Print"},
	{level.Chunked, "\x04Want"},
	{level.Compressed, "\x08Revision"},
}

// begins takes a peer's first bytes, which define the types of all its messages. From Told on the
// first message tells the level.
func (p *Peer) begins(begun []byte) {
	for _, m := range marks {
		if bytes.Contains(begun, []byte(m.field)) {
			p.reads.Store(uint32(m.level))
			return
		}
	}
	p.reads.Store(uint32(level.Listed))
}

func (p *Peer) hears(m *Envelope) {
	if m != nil && m.Level > 0 {
		p.reads.Store(uint32(m.Level))
	}
}

// Asking returns the forms of a connection to a control box.
func (p *Peer) Asking() link.Forms[Envelope] {
	return link.Forms[Envelope]{Frame: frameToControl, Reader: p.readerOf(readListed)}
}

// Answering returns the forms of a connection that another box made to this one, a control box.
func (p *Peer) Answering() link.Forms[Envelope] {
	return link.Forms[Envelope]{Frame: p.frameAnswer, Reader: p.readerOf(readToControl)}
}

// readerOf returns a link.Forms.Reader, with the way to read what a peer sends whose type of a View
// is another than ours.
func (p *Peer) readerOf(older link.Reader[Envelope]) func([]byte) link.Reader[Envelope] {
	return func(begun []byte) link.Reader[Envelope] {
		p.begins(begun)
		read := readUsual
		if p.Reads() < level.Compressed {
			read = older
		}
		return func(in *gob.Decoder) (*Envelope, error) {
			m, err := read(in)
			p.hears(m)
			return m, err
		}
	}
}

type usualFrame struct{ Message *Envelope }

func readUsual(in *gob.Decoder) (*Envelope, error) {
	var f usualFrame
	err := in.Decode(&f)
	return f.Message, err
}

// toControl is what control boxes are sent. It has no type that differs between levels: boxes of
// Listed could read no message at all of a connection whose View is not theirs.
type toControl struct {
	Hello     *Hello
	Redirect  *Redirect
	Consensus *consensus.Message
	Heard     *Heard
	Join      *consensus.Member
	Ping      *Ping
	Batch     *Batch
	Want      *Want
	Level     level.Level
	Build     string
}

type toControlFrame struct{ Message *toControl }

func frameToControl(m *Envelope) any {
	if m == nil {
		return toControlFrame{}
	}
	return toControlFrame{&toControl{
		Hello: m.Hello, Redirect: m.Redirect, Consensus: m.Consensus, Heard: m.Heard, Join: m.Join,
		Ping: m.Ping, Batch: m.Batch, Want: m.Want, Level: m.Level, Build: m.Build,
	}}
}

func readToControl(in *gob.Decoder) (*Envelope, error) {
	var f toControlFrame
	if err := in.Decode(&f); err != nil || f.Message == nil {
		return nil, err
	}
	m := f.Message
	return &Envelope{
		Hello: m.Hello, Redirect: m.Redirect, Consensus: m.Consensus, Heard: m.Heard, Join: m.Join,
		Ping: m.Ping, Batch: m.Batch, Want: m.Want, Level: m.Level, Build: m.Build,
	}, nil
}

// frameAnswer returns a message for a box that connected. Until it is known what that reads nothing
// but empty messages are sent to it.
func (p *Peer) frameAnswer(m *Envelope) any {
	switch reads := p.Reads(); {
	case reads == 0:
		return frameToControl(m)
	case reads < level.Compressed:
		return frameListed(m)
	default:
		return usualFrame{m}
	}
}

// listed is what entries of level Listed are sent.
type listed struct {
	Redirect  *Redirect
	Pong      *Pong
	View      *listedView
	Decisions *Decisions
}

type listedView struct {
	Document  []byte
	Version   uint64
	Whole     bool
	Endpoints []Endpoint
	Gone      []event.EndpointID
	Members   []string
}

type listedFrame struct{ Message *listed }

func frameListed(m *Envelope) any {
	if m == nil {
		return listedFrame{}
	}
	f := listedFrame{&listed{Redirect: m.Redirect, Pong: m.Pong, Decisions: m.Decisions}}
	if v := m.View; v != nil {
		list, err := v.Endpoints.Unpack()
		if err != nil {
			panic(err) // this process packed it
		}
		f.Message.View = &listedView{
			Document: v.Document, Version: v.Version, Whole: v.Whole, Endpoints: list, Gone: v.Gone, Members: v.Members,
		}
	}
	return f
}

func readListed(in *gob.Decoder) (*Envelope, error) {
	var f listedFrame
	if err := in.Decode(&f); err != nil || f.Message == nil {
		return nil, err
	}
	m := &Envelope{Redirect: f.Message.Redirect, Pong: f.Message.Pong, Decisions: f.Message.Decisions}
	if v := f.Message.View; v != nil {
		m.View = &View{Document: v.Document, Version: v.Version, Whole: v.Whole, Gone: v.Gone, Members: v.Members}
		if len(v.Endpoints) > 0 {
			m.View.Endpoints = Pack(v.Endpoints)
		}
	}
	return m, nil
}
