// SPDX-License-Identifier: MIT

package rpc

import (
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	"lynxramp.org/event"
)

// BenchmarkMessageBytes reports how many bytes a request's ticket, grant and
// finish take, for prompts of two lengths.
func BenchmarkMessageBytes(b *testing.B) {
	for _, hashes := range [...]int{2, 20} {
		t := event.Ticket{
			ID: "AAAAAAAAAAAAAAAAAAAAAAAAAA", Team: "blogs-tagine", Rank: 2, Service: "lynx-chef", Pool: "chef",
			PromptTokens: 128 * hashes, OutputTokens: 600, Prefix: make([]uint64, hashes), Deadline: 40 * event.Second,
		}
		g := event.Granted{ID: t.ID, Endpoint: "chef-0001", Address: "10.20.0.101:9001", Incarnation: 1 << 60}
		total := proto.Size(TicketMessage(t)) + proto.Size(GrantDecision(1<<20, g)) +
			proto.Size(&Finish{Id: string(t.ID), Pool: t.Pool, Tokens: 600})
		b.Run("hashes="+strconv.Itoa(hashes), func(b *testing.B) {
			for range b.N {
				_ = TicketMessage(t)
			}
			b.ReportMetric(float64(total), "bytes/request")
		})
	}
}
