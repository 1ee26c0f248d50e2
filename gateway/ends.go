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
	// maxUntold bounds the ends that are kept until they are in the log: 18 kB in one message.
	maxUntold = 120
	// maxWell bounds the requests that ended well without an owner, of which the next one is
	// told: 9 kB.
	maxWell = 512
)

// errWriting says that an answer could not be passed on.
var errWriting = errors.New("the caller does not take its answer")

// endsConnection reports whether an error says that the other side of a connection ended it, or
// is silent for good: its process may have ended.
func endsConnection(err error) bool {
	if errors.Is(err, errWriting) {
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

// untoldEnd is an end and when it came to be known.
type untoldEnd struct {
	end poison.End
	at  event.Time
}

// Ended says that an endpoint ended under a run of a request.
func (a *OwnerClient) Ended(now event.Time, e poison.End) {
	a.ended(now, e)
	a.settle(now)
}

func (a *OwnerClient) ended(now event.Time, e poison.End) {
	a.lastEnd++
	e.Number = a.lastEnd
	if len(a.ends) >= maxUntold {
		a.log.Warn("an end is not told", zap.Stringer("print", a.ends[0].end.Print), zap.String("endpoint", string(a.ends[0].end.Endpoint)))
		a.ends = a.ends[1:]
	}
	a.ends = append(a.ends, untoldEnd{e, now})
	if a.owned {
		a.batch.Ends = append(a.batch.Ends, e)
	}
	if a.alone != nil {
		a.alone.RecordEnds(now, []poison.End{e}, &a.effects)
	}
}

// noteWell takes note that a run ended well of which no owner is told. The next owner may know
// that endpoints ended under the request, and nothing that speaks for it.
func (a *OwnerClient) noteWell(f *message.Finish) {
	if f.Ran != message.OutcomeSuccess || f.Print == "" || len(a.well) >= maxWell {
		return
	}
	if a.well == nil {
		a.well = make(map[poison.Fingerprint]bool)
	}
	a.well[f.Print] = true
}

// tellEnds tells a new owner all that the log may not have.
func (a *OwnerClient) tellEnds(now event.Time) {
	a.batch.Well = slices.Sorted(maps.Keys(a.well))
	a.well = nil
	for _, one := range a.ends {
		e := one.end
		e.Ago = now.Sub(one.at)
		a.batch.Ends = append(a.batch.Ends, e)
	}
}

// endsSaved takes an owner's word that the log has the ends up to a number.
func (a *OwnerClient) endsSaved(number uint64) {
	for len(a.ends) > 0 && a.ends[0].end.Number <= number {
		a.ends = a.ends[1:]
	}
}

// logSuspicions writes what came to be believed of requests without an owner.
func (a *OwnerClient) logSuspicions() {
	for _, c := range a.alonePoison.TakeChanges() {
		a.log.Info("request under which endpoints ended", zap.Stringer("what", c.Kind), zap.Stringer("print", c.Fingerprint),
			zap.Int("ends", c.Ends), zap.Bool("alone", true))
	}
}
