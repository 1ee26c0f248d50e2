// SPDX-License-Identifier: MIT

package poison

import "lynxramp.org/event"

// Change is a change in the state of a request, for the operator's log.
type Change struct {
	What    ChangeKind
	Print   Print
	Ends    int // terminations since a run last succeeded
	Trials  int
	Request event.RequestID // of the trial; empty for other changes
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of changes.
const (
	Suspected ChangeKind = iota // it gets trials only from now on
	TrialBegan
	TrialInconclusive   // its outcome is unclear
	TrialEndedEndpoint  // its endpoint terminated
	TrialOutcomeUnknown // nobody will report it
	Cleared             // a run of the request succeeded
	Untracked           // the Tracker is full
)

// String returns the kind as written in logs.
func (k ChangeKind) String() string {
	return [...]string{"suspected", "trial began", "trial ended", "trial ended its endpoint", "trial's end is not known", "cleared", "left uncounted"}[k]
}

func (b *Book) addChange(kind ChangeKind, c *requestCase, request event.RequestID) {
	if len(b.changes) >= maxChanges {
		return
	}
	b.changes = append(b.changes, Change{What: kind, Print: c.fingerprint, Ends: len(c.ends), Trials: c.trials, Request: request})
}

// TakeChanges returns the changes since the last call.
func (b *Book) TakeChanges() []Change {
	list := b.changes
	b.changes = nil
	return list
}
