// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"maps"
	"net"
	"os"
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
	// maxUnsavedTerminations limits the terminations kept until the owner's log has them: 18 kB in one message.
	maxUnsavedTerminations = 120
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

// isCancelled reports whether an error means that this side stopped waiting: the deadline passed, or the
// connection was closed because the caller disconnected.
func isCancelled(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// unsavedTermination is a termination and the time at which it was observed.
type unsavedTermination struct {
	termination poison.Termination
	at          event.Time
}

// RecordTermination records that an endpoint terminated while it ran a request.
func (a *OwnerClient) RecordTermination(now event.Time, t poison.Termination) {
	a.recordTermination(now, t)
	a.deliverDecisions(now)
}

func (a *OwnerClient) recordTermination(now event.Time, t poison.Termination) {
	a.lastTerminationNumber++
	t.Number = a.lastTerminationNumber
	if len(a.unsavedTerminations) >= maxUnsavedTerminations {
		a.log.Warn("too many unsaved endpoint terminations; dropping the oldest", zap.Stringer("print", a.unsavedTerminations[0].termination.Print), zap.String("endpoint", string(a.unsavedTerminations[0].termination.Endpoint)))
		a.unsavedTerminations = a.unsavedTerminations[1:]
	}
	a.unsavedTerminations = append(a.unsavedTerminations, unsavedTermination{t, now})
	if a.hasOwner {
		a.batch.Ends = append(a.batch.Ends, t)
	}
	if a.degraded != nil {
		a.degraded.RecordTerminations(now, []poison.Termination{t}, &a.effects)
	}
}

// recordSuccess records a successful run of a request without an owner. The next owner may know of terminations
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

// reportTerminations reports to a new owner all terminations that the log may lack and all successes.
func (a *OwnerClient) reportTerminations(now event.Time) {
	a.batch.Well = slices.Sorted(maps.Keys(a.succeeded))
	a.succeeded = nil
	for _, u := range a.unsavedTerminations {
		t := u.termination
		t.Ago = now.Sub(u.at)
		a.batch.Ends = append(a.batch.Ends, t)
	}
}

// dropSavedTerminations drops the terminations that the owner's log has, up to a number.
func (a *OwnerClient) dropSavedTerminations(number uint64) {
	for len(a.unsavedTerminations) > 0 && a.unsavedTerminations[0].termination.Number <= number {
		a.unsavedTerminations = a.unsavedTerminations[1:]
	}
}

// logPoisonChanges logs the changes in what is known of requests that terminate endpoints, while degraded.
func (a *OwnerClient) logPoisonChanges() {
	for _, c := range a.degradedPoison.TakeChanges() {
		a.log.Info("suspected poison request changed state", zap.Stringer("what", c.Kind), zap.Stringer("print", c.Fingerprint),
			zap.Int("ends", c.Terminations), zap.Bool("alone", true))
	}
}
