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

// This file is how an entry tells what ended under requests: whoever owns the pools must know,
// whatever becomes of the connection or of the owner meanwhile.

const (
	// maxUnsavedEnds bounds the ends that are kept until they are in the log: 18 kB in one message.
	maxUnsavedEnds = 120
	// maxSuccesses bounds the requests that ended well without an owner, of which the next one is
	// told: 9 kB.
	maxSuccesses = 512
)

// errCallerWrite says that an answer could not be passed on.
var errCallerWrite = errors.New("the caller does not take its answer")

// endsConnection reports whether an error says that the other side of a connection ended it, or
// is silent for good: its process may have ended.
func endsConnection(err error) bool {
	if errors.Is(err, errCallerWrite) {
		return false
	}
	for _, one := range []error{
		io.EOF, io.ErrUnexpectedEOF, errBrokenEvent, syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ETIMEDOUT,
	} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

// unsavedEnd is an end and when it came to be known.
type unsavedEnd struct {
	end poison.End
	at  event.Time
}

// Ended says that an endpoint ended under a run of a request.
func (a *OwnerClient) Ended(now event.Time, e poison.End) {
	a.recordEnd(now, e)
	a.deliverDecisions(now)
}

func (a *OwnerClient) recordEnd(now event.Time, e poison.End) {
	a.lastEndNumber++
	e.Number = a.lastEndNumber
	if len(a.unsavedEnds) >= maxUnsavedEnds {
		a.log.Warn("an end is not told", zap.Stringer("print", a.unsavedEnds[0].end.Print), zap.String("endpoint", string(a.unsavedEnds[0].end.Endpoint)))
		a.unsavedEnds = a.unsavedEnds[1:]
	}
	a.unsavedEnds = append(a.unsavedEnds, unsavedEnd{e, now})
	if a.hasOwner {
		a.batch.Ends = append(a.batch.Ends, e)
	}
	if a.degraded != nil {
		a.degraded.Ended(now, []poison.End{e}, &a.effects)
	}
}

// recordSuccess takes note that a run ended well of which no owner is told. The next owner may know
// that endpoints ended under the request, and nothing that speaks for it.
func (a *OwnerClient) recordSuccess(f *message.Finish) {
	if f.Ran != message.RanWell || f.Print == "" || len(a.succeeded) >= maxSuccesses {
		return
	}
	if a.succeeded == nil {
		a.succeeded = make(map[poison.Print]bool)
	}
	a.succeeded[f.Print] = true
}

// reportEnds tells a new owner all that the log may not have.
func (a *OwnerClient) reportEnds(now event.Time) {
	a.batch.Well = slices.Sorted(maps.Keys(a.succeeded))
	a.succeeded = nil
	for _, one := range a.unsavedEnds {
		e := one.end
		e.Ago = now.Sub(one.at)
		a.batch.Ends = append(a.batch.Ends, e)
	}
}

// dropSavedEnds takes an owner's word that the log has the ends up to a number.
func (a *OwnerClient) dropSavedEnds(number uint64) {
	for len(a.unsavedEnds) > 0 && a.unsavedEnds[0].end.Number <= number {
		a.unsavedEnds = a.unsavedEnds[1:]
	}
}

// logSuspicions writes what came to be believed of requests without an owner.
func (a *OwnerClient) logSuspicions() {
	for _, c := range a.degradedPoison.TakeChanges() {
		a.log.Info("request under which endpoints ended", zap.Stringer("what", c.What), zap.Stringer("print", c.Print),
			zap.Int("ends", c.Ends), zap.Bool("alone", true))
	}
}
