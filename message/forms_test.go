// SPDX-License-Identifier: MIT

package message

import (
	"bytes"
	"encoding/gob"
	"net"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/link"
	"lynxramp.org/registry"
)

// recordedVersions has the level of each build recorded in testdata, by commit. A file has the bytes that a
// control box or an entry of that build sends after dialling, or an owner to an entry: one message.
var recordedVersions = map[string]level.Level{
	"d61e540": level.Listed, "50d3523": level.Compressed, "e994de1": level.Chunked, "53e223b": level.Chunked, "de049ca": level.Suspects,
	"9c63b0b": level.Negotiated, "a229638": level.Instances,
}

// replay serves a connection on which a peer sends recorded bytes, and returns the messages received.
func replay(t *testing.T, file string, encodings link.Encodings[Envelope]) []*Envelope {
	t.Helper()
	data, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	var list []*Envelope
	serveBytes(t, data, encodings, func(m *Envelope) { list = append(list, m) })
	return list
}

func serveBytes(t testing.TB, data []byte, encodings link.Encodings[Envelope], receive func(*Envelope)) {
	t.Helper()
	served := make(chan struct{})
	l, err := link.Listen("127.0.0.1:0", func(c *link.Conn[Envelope]) {
		c.SetEncodings(encodings)
		_ = c.Serve(receive) // returns at the end of the bytes
		close(served)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := raw.Write(data); err != nil {
		t.Fatal(err)
	}
	_ = raw.(*net.TCPConn).CloseWrite()
	select {
	case <-served:
	case <-time.After(5 * time.Second):
		t.Error("the connection was not closed")
	}
	_ = raw.Close()
}

// TestReadsMessagesOfEarlierBuilds: messages of earlier builds must be decoded, also where a field's type has changed
// since, and must reveal the format version that the sender reads.
func TestReadsMessagesOfEarlierBuilds(t *testing.T) {
	for commit, want := range recordedVersions {
		var peer Peer
		list := replay(t, commit+"-control.bytes", peer.ServerEncodings())
		if len(list) != 1 || list[0].Consensus == nil || string(list[0].Consensus.Entries[0].Data) != "data" || peer.FormatVersion() != want {
			t.Errorf("%s: a control box reads level %d, want %d; received %+v", commit, peer.FormatVersion(), want, list)
		}
		peer = Peer{}
		list = replay(t, commit+"-entry.bytes", peer.ServerEncodings())
		if len(list) != 1 || list[0].Hello == nil || list[0].Hello.Entry != "entry-1" || peer.FormatVersion() != want {
			t.Errorf("%s: an entry reads level %d, want %d; received %+v", commit, peer.FormatVersion(), want, list)
		}
		peer = Peer{}
		list = replay(t, commit+"-owner.bytes", peer.ClientEncodings())
		if len(list) != 1 || list[0].View == nil {
			t.Errorf("%s: received %+v from an owner", commit, list)
			continue
		}
		checkView(t, commit, list[0].View, want)
	}
}

func checkView(t *testing.T, commit string, v *View, reads level.Level) {
	t.Helper()
	endpoints, err := v.DecodeEndpoints()
	if err != nil || len(endpoints) != 1 || endpoints[0].Address != "127.0.0.9:80" || !v.Whole || v.Version != 4 {
		t.Errorf("%s: %+v, %v: %+v", commit, v, err, endpoints)
	}
	if whole := string(v.Document) == `{"version":4}`; whole != (reads < level.Chunked) {
		t.Errorf("%s: received the whole configuration: %v", commit, whole)
	}
}

// frameOfListed and frameOfPacked are the types into which builds of those versions decode views.
type (
	frameOfListed struct {
		Message *struct {
			Consensus *consensus.Message
			View      *struct {
				Document  []byte
				Endpoints []Endpoint
			}
		}
	}
	frameOfPacked struct {
		Message *struct {
			Consensus *consensus.Message
			View      *struct {
				Document  []byte
				Endpoints Packed
				Revision  uint64
			}
		}
	}
)

// encodeFrames returns a decoder of frames encoded as on a connection.
func encodeFrames(t *testing.T, frames ...any) *gob.Decoder {
	t.Helper()
	var wire bytes.Buffer
	out := gob.NewEncoder(&wire)
	for _, f := range frames {
		if err := out.Encode(f); err != nil {
			t.Fatal(err)
		}
	}
	return gob.NewDecoder(&wire)
}

// TestEarlierBuildsReadOurMessages: boxes of earlier builds must be able to decode what they are sent, also before
// their format version is known.
func TestEarlierBuildsReadOurMessages(t *testing.T) {
	list := []Endpoint{{Endpoint: registry.Endpoint{ID: "i-1", Address: "a"}, Down: true}}
	view := &Envelope{View: &View{Version: 4, Document: []byte("{}"), Endpoints: Pack(list), Revision: 5, Silent: []event.EndpointID{"i-1"}}}
	hello := (&Envelope{Consensus: &consensus.Message{From: "a", To: "b"}}).WithFormatVersion()

	listedPeer := &Peer{}
	first := listedPeer.frameReply(nil)
	listedPeer.formatVersion.Store(uint32(level.Listed))
	in := encodeFrames(t, first, frameToControl(hello), listedPeer.frameReply(nil), listedPeer.frameReply(view))
	var f frameOfListed
	for range 4 {
		f = frameOfListed{}
		if err := in.Decode(&f); err != nil {
			t.Fatalf("level %d: %v", level.Listed, err)
		}
	}
	if diff := cmp.Diff(list, f.Message.View.Endpoints); diff != "" || string(f.Message.View.Document) != "{}" {
		t.Errorf("endpoints (-want +got):\n%s", diff)
	}

	packedPeer := &Peer{}
	first = packedPeer.frameReply(nil)
	packedPeer.formatVersion.Store(uint32(level.Compressed))
	in = encodeFrames(t, first, frameToControl(hello), packedPeer.frameReply(view))
	var p frameOfPacked
	for range 3 {
		p = frameOfPacked{}
		if err := in.Decode(&p); err != nil {
			t.Fatalf("level %d: %v", level.Compressed, err)
		}
	}
	if got, err := p.Message.View.Endpoints.Unpack(); err != nil || len(got) != 1 || p.Message.View.Revision != 5 {
		t.Errorf("%v, %v, revision %d", err, got, p.Message.View.Revision)
	}
}

// TestFirstMessageCarriesFormatVersion: the first message of a box must have its level and build, in few bytes.
func TestFirstMessageCarriesFormatVersion(t *testing.T) {
	var wire bytes.Buffer
	out := gob.NewEncoder(&wire)
	hello := &Envelope{Hello: &Hello{Entry: "e", Life: 1}}
	if err := out.Encode(frameToControl(hello.WithFormatVersion())); err != nil {
		t.Fatal(err)
	}
	var peer Peer
	received := 0
	serveBytes(t, bytes.Clone(wire.Bytes()), peer.ServerEncodings(), func(m *Envelope) {
		received++
		if m.Hello == nil || m.Level != level.Newest || m.Build != level.Build() {
			t.Errorf("%+v", m)
		}
	})
	if received != 1 || peer.FormatVersion() != level.Newest {
		t.Errorf("%d messages, level %d", received, peer.FormatVersion())
	}
	var without bytes.Buffer
	if err := gob.NewEncoder(&without).Encode(frameToControl(hello)); err != nil {
		t.Fatal(err)
	}
	// Not counted: the names, types and lengths of the two fields in the type definition.
	const definition = len("Level") + len("Build") + 2*5
	if limit, got := 64, wire.Len()-without.Len()+definition; got > limit {
		t.Errorf("format version and build take %d bytes, want at most %d", got, limit)
	}
}

// FuzzPeer: no bytes of a peer may cause a panic or keep the connection open.
func FuzzPeer(f *testing.F) {
	for commit := range recordedVersions {
		for _, who := range []string{"control", "entry", "owner"} {
			data, err := os.ReadFile("testdata/" + commit + "-" + who + ".bytes")
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Add([]byte{0xfc, 0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, encodings := range []link.Encodings[Envelope]{(&Peer{}).ServerEncodings(), (&Peer{}).ClientEncodings()} {
			serveBytes(t, data, encodings, func(m *Envelope) {
				if m.Consensus != nil {
					m.Consensus.Valid()
				}
			})
		}
	})
}
