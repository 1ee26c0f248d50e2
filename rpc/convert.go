// SPDX-License-Identifier: MIT

package rpc

import (
	"time"

	"lynxramp.org/event"
)

// TicketMessage returns t as a message.
func TicketMessage(t event.Ticket) *Ticket {
	return &Ticket{
		Id:           string(t.ID),
		Team:         t.Team,
		Rank:         int32(t.Rank),
		Service:      t.Service,
		Pool:         t.Pool,
		PromptTokens: uint32(t.PromptTokens),
		OutputTokens: uint32(t.OutputTokens),
		Prefix:       t.Prefix,
		DeadlineMs:   uint32(max(0, t.Deadline.Milliseconds())),
		NoRepeat:     t.NoRepeat,
		WaitedMs:     uint32(max(0, t.Waited.Milliseconds())),
		Key:          t.Key,
		Digest:       t.Digest,
		Attempt:      uint32(t.Attempt),
	}
}

// Event returns the ticket as an event of an entry.
func (t *Ticket) Event(entry event.BoxID) *event.Submitted {
	return &event.Submitted{Entry: entry, Ticket: event.Ticket{
		ID:           event.RequestID(t.Id),
		Team:         t.Team,
		Rank:         int(t.Rank),
		Service:      t.Service,
		Pool:         t.Pool,
		PromptTokens: int(t.PromptTokens),
		OutputTokens: int(t.OutputTokens),
		Prefix:       t.Prefix,
		Deadline:     millis(t.DeadlineMs),
		NoRepeat:     t.NoRepeat,
		Waited:       millis(t.WaitedMs),
		Key:          t.Key,
		Digest:       t.Digest,
		Attempt:      int(t.Attempt),
	}}
}

// Events returns the events that an exchange reports, in the order in which they
// must be applied.
func (r *ExchangeRequest) Events() []event.Event {
	entry := event.BoxID(r.Entry)
	events := make([]event.Event, 0, 1+len(r.Tickets)+len(r.Withdrawn)+len(r.Finished))
	events = append(events, &event.EntryHeartbeat{Entry: entry, Version: r.Version})
	for _, f := range r.Finished {
		events = append(events, &event.Finished{ID: event.RequestID(f.Id), Pool: f.Pool, Tokens: int(f.Tokens), Failed: f.Failed, Void: f.Void})
	}
	for _, w := range r.Withdrawn {
		events = append(events, &event.Withdrawn{Entry: entry, ID: event.RequestID(w.Id), Pool: w.Pool})
	}
	for _, t := range r.Tickets {
		events = append(events, t.Event(entry))
	}
	return events
}

// ReportMessage returns r as a message.
func ReportMessage(r event.Report) *ReportRequest {
	m := &ReportRequest{
		Endpoint:    string(r.Endpoint),
		Pool:        r.Pool,
		Address:     r.Address,
		Incarnation: uint64(r.Incarnation),
		Leaving:     r.Draining,
		Down:        r.Down,
		Waiting:     uint32(r.QueueLength),
		LoadAgeMs:   uint32(r.LoadAge.Milliseconds()),
		TokenGapUs:  uint64(r.TokenGap.Microseconds()),
	}
	for _, id := range r.Running {
		m.Running = append(m.Running, string(id))
	}
	return m
}

// Event returns the report as an event.
func (r *ReportRequest) Event() *event.SlotReported {
	e := &event.SlotReported{Report: event.Report{
		Endpoint:    event.EndpointID(r.Endpoint),
		Pool:        r.Pool,
		Address:     r.Address,
		Incarnation: event.Incarnation(r.Incarnation),
		Draining:    r.Leaving,
		Down:        r.Down,
		QueueLength: int(r.Waiting),
		LoadAge:     millis(r.LoadAgeMs),
		TokenGap:    time.Duration(r.TokenGapUs) * time.Microsecond,
	}}
	for _, id := range r.Running {
		e.Report.Running = append(e.Report.Running, event.DispatchID(id))
	}
	return e
}

// GrantDecision returns g as a message with the number of the decision.
func GrantDecision(number uint64, g event.Granted) *Decision {
	return &Decision{Number: number, Id: string(g.ID), Grant: &Grant{
		Endpoint:    string(g.Endpoint),
		Address:     g.Address,
		Incarnation: uint64(g.Incarnation),
		Attach:      string(g.Attach),
	}}
}

// RefusalDecision returns r as a message with the number of the decision.
func RefusalDecision(number uint64, r event.Refused) *Decision {
	return &Decision{Number: number, Id: string(r.ID), Refusal: &Refusal{
		Reason:       int32(r.Reason),
		RetryAfterMs: uint32(r.RetryAfter.Milliseconds()),
	}}
}

func millis(n uint32) event.Duration { return time.Duration(n) * time.Millisecond }
