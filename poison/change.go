// SPDX-License-Identifier: MIT

package poison

import "lynxramp.org/event"

// Change is a change in the state of a request, for the operator's log.
type Change struct {
	Kind         ChangeKind
	Fingerprint  Fingerprint
	Terminations int // terminations since a run last succeeded
	Trials       int
	Request      event.RequestID // of the trial; empty for other changes
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of changes.
const (
	Suspected ChangeKind = iota // it gets trials only from now on
	TrialStarted
	TrialInconclusive       // its outcome is unclear
	TrialTerminatedEndpoint // its endpoint terminated
	TrialOutcomeUnknown     // nobody will report it
	Cleared                 // a run of the request succeeded
	Untracked               // the Tracker is full
)

// String returns the kind as written in logs.
func (k ChangeKind) String() string {
	return [...]string{"suspected", "trial began", "trial ended", "trial ended its endpoint", "trial's end is not known", "cleared", "left uncounted"}[k]
}

func (b *Tracker) addChange(kind ChangeKind, c *requestCase, request event.RequestID) {
	if len(b.changes) >= maxChanges {
		return
	}
	b.changes = append(b.changes, Change{Kind: kind, Fingerprint: c.fingerprint, Terminations: len(c.terminations), Trials: c.trials, Request: request})
}

// TakeChanges returns the changes since the last call.
func (b *Tracker) TakeChanges() []Change {
	list := append(b.changes, b.parts.changes...)
	b.changes, b.parts.changes = nil, nil
	return list
}
