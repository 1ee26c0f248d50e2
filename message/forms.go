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

// This file encodes messages for boxes of other builds, and detects the format version that a peer reads.

// WithFormatVersion returns a copy of the message with the format version and build of this box, as sent first
// on a connection.
func (e *Envelope) WithFormatVersion() *Envelope {
	m := *e
	m.Level, m.Build = level.Newest, level.Build()
	return &m
}

// Peer is the other side of a connection and the format version that it reads. The zero Peer has sent
// nothing yet. It is safe for concurrent use.
type Peer struct{ formatVersion atomic.Uint32 }

// FormatVersion returns the format version that the peer reads; 0 before its first bytes.
func (p *Peer) FormatVersion() level.Level { return level.Level(p.formatVersion.Load()) }

// formatVersionFields are names of fields that messages have from a format version on, each with its length as
// in gob's type definitions. The newest version comes first.
var formatVersionFields = []struct {
	level level.Level
	field string
}{
	{level.Feedback, "\x05Asked"},
	{level.Negotiated, "\x05Level"},
	{level.Suspects, "\x05Print"},
	{level.Chunked, "\x04Want"},
	{level.Compressed, "\x08Revision"},
}

// detectFormatVersion sets the format version by a peer's first bytes, which hold the gob type definitions of
// its messages. From level.Negotiated on the first message has the exact version (updateFormatVersion).
func (p *Peer) detectFormatVersion(definitions []byte) {
	for _, m := range formatVersionFields {
		if bytes.Contains(definitions, []byte(m.field)) {
			p.formatVersion.Store(uint32(m.level))
			return
		}
	}
	p.formatVersion.Store(uint32(level.Listed))
}

func (p *Peer) updateFormatVersion(m *Envelope) {
	if m != nil && m.Level > 0 {
		p.formatVersion.Store(uint32(m.Level))
	}
}

// ClientEncodings returns the encodings of a connection that this box opened to a control box.
func (p *Peer) ClientEncodings() link.Encodings[Envelope] {
	return link.Encodings[Envelope]{Frame: frameToControl, Reader: p.readerOf(readListed)}
}

// ServerEncodings returns the encodings of a connection that another box opened to this control box.
func (p *Peer) ServerEncodings() link.Encodings[Envelope] {
	return link.Encodings[Envelope]{Frame: p.frameReply, Reader: p.readerOf(readToControl)}
}

// readerOf returns a link.Encodings.Reader. It reads with older what a peer below level.Compressed sends, whose
// View has other types.
func (p *Peer) readerOf(older link.Reader[Envelope]) func([]byte) link.Reader[Envelope] {
	return func(definitions []byte) link.Reader[Envelope] {
		p.detectFormatVersion(definitions)
		read := readCurrent
		if p.FormatVersion() < level.Compressed {
			read = older
		}
		return func(in *gob.Decoder) (*Envelope, error) {
			m, err := read(in)
			p.updateFormatVersion(m)
			return m, err
		}
	}
}

type currentFrame struct{ Message *Envelope }

func readCurrent(in *gob.Decoder) (*Envelope, error) {
	var f currentFrame
	err := in.Decode(&f)
	return f.Message, err
}

// toControl has the messages to control boxes. It has no type that differs between format versions: a box of
// level.Listed can read no message of a connection on which the type of View isn't its own.
type toControl struct {
	Hello     *Hello
	Redirect  *Redirect
	Consensus *consensus.Message
	Heard     *Heartbeats
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

// frameReply returns the frame of a message to a box that connected to this one. Until the peer's format version is
// known only empty messages are sent.
func (p *Peer) frameReply(m *Envelope) any {
	switch formatVersion := p.FormatVersion(); {
	case formatVersion == 0:
		return frameToControl(m)
	case formatVersion < level.Compressed:
		return frameListed(m)
	default:
		return currentFrame{m}
	}
}

// listed has the messages to entries of level.Listed.
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
			panic(err) // can't fail: packed by this process
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
