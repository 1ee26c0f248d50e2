// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"maps"
	"slices"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
)

// This file reports endpoints that terminated while they ran requests. The owner must learn of them even
// if the connection or the owner changes.

const (
	// maxUnsavedEnds limits the ends kept until the owner's log has them: 18 kB in one message.
	maxUnsavedEnds = 120
	// maxSuccesses limits the requests kept that succeeded without an owner, for a report to the next
	// one: 9 kB.
	maxSuccesses = 512
)

// errCallerWrite marks an error of writing the response to the caller.
var errCallerWrite = errors.New("cannot write the response to the caller")

// endsConnection reports whether an error says that the peer closed the connection or became unreachable:
// its process may have terminated.
func endsConnection(err error) bool {
	if errors.Is(err, errCallerWrite) {
		return false
	}
	for _, target := range []error{
		io.EOF, io.ErrUnexpectedEOF, errBrokenEvent, syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ETIMEDOUT,
	} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// unsavedEnd is an end and the time at which it was observed.
type unsavedEnd struct {
	end poison.End
	at  event.Time
}

// RecordEnd records that an endpoint terminated while it ran a request.
func (a *OwnerClient) RecordEnd(now event.Time, e poison.End) {
	a.recordEnd(now, e)
	a.deliverDecisions(now)
}

func (a *OwnerClient) recordEnd(now event.Time, e poison.End) {
	a.lastEndNumber++
	e.Number = a.lastEndNumber
	if len(a.unsavedEnds) >= maxUnsavedEnds {
		a.log.Warn("too many unsaved endpoint terminations, dropping the oldest", zap.Stringer("print", a.unsavedEnds[0].end.Print), zap.String("endpoint", string(a.unsavedEnds[0].end.Endpoint)))
		a.unsavedEnds = a.unsavedEnds[1:]
	}
	a.unsavedEnds = append(a.unsavedEnds, unsavedEnd{e, now})
	if a.hasOwner {
		a.batch.Ends = append(a.batch.Ends, e)
	}
	if a.degraded != nil {
		a.degraded.RecordEnds(now, []poison.End{e}, &a.effects)
	}
}

// recordSuccess records a successful run of a request without an owner. The next owner may know of ends
// during this request, and needs the successes to judge it.
func (a *OwnerClient) recordSuccess(f *message.Finish) {
	if f.Ran != message.OutcomeSuccess || f.Print == "" || len(a.succeeded) >= maxSuccesses {
		return
	}
	if a.succeeded == nil {
		a.succeeded = make(map[poison.Fingerprint]bool)
	}
	a.succeeded[f.Print] = true
}

// reportEnds reports to a new owner all ends that the log may lack and all successes.
func (a *OwnerClient) reportEnds(now event.Time) {
	a.batch.Well = slices.Sorted(maps.Keys(a.succeeded))
	a.succeeded = nil
	for _, u := range a.unsavedEnds {
		e := u.end
		e.Ago = now.Sub(u.at)
		a.batch.Ends = append(a.batch.Ends, e)
	}
}

// dropSavedEnds drops the ends that the owner's log has, up to a number.
func (a *OwnerClient) dropSavedEnds(number uint64) {
	for len(a.unsavedEnds) > 0 && a.unsavedEnds[0].end.Number <= number {
		a.unsavedEnds = a.unsavedEnds[1:]
	}
}

// logSuspicions logs the changes in what is known of requests that terminate endpoints, while degraded.
func (a *OwnerClient) logSuspicions() {
	for _, c := range a.degradedPoison.TakeChanges() {
		a.log.Info("request under which endpoints ended", zap.Stringer("what", c.Kind), zap.Stringer("print", c.Fingerprint),
			zap.Int("ends", c.Ends), zap.Bool("alone", true))
	}
}
