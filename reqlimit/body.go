// SPDX-License-Identifier: MIT

package reqlimit

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lynxramp.org/heldmem"
	"lynxramp.org/internal/progress"
)

const (
	// freeBody is the size of a body that each request may have without the account, in bytes.
	freeBody = 4 << 10
	// firstBody is the buffer allocated before any byte arrives, in bytes.
	firstBody = 1 << 10
)

// Errors of ReadBody.
var (
	ErrBodyTooLong = errors.New("the body is too long")
	ErrBodyMemory  = errors.New("the bodies in memory exceed the limit")
)

// ReadBody reads the body of a request of at most limit bytes. Memory is held as bytes arrive, until release is called. It
// fails if no byte arrives for idleTimeout, so that a stalled sender doesn't keep a partial body in memory.
func (l *Limiter) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, idleTimeout time.Duration) (data []byte, release func(), err error) {
	body := progress.Reader{Body: r.Body, Control: http.NewResponseController(w), IdleTimeout: idleTimeout}
	defer body.ClearDeadline()
	held := int64(0)
	release = func() {
		if held > 0 {
			l.Account().Release(heldmem.KindBody, held)
			held = 0
		}
	}
	data = make([]byte, 0, firstBody)
	for err == nil {
		if len(data) == cap(data) {
			// One byte more than the limit shows that the body exceeds it.
			size := min(2*int64(cap(data)), limit+1)
			if size > freeBody && !l.hold(heldmem.KindBody, size-held) {
				err = ErrBodyMemory
				l.Refused(r.RemoteAddr, BodyMemory, len(data), int(l.Account().Limit()))
				break
			}
			if size > freeBody {
				held = size
			}
			data = append(make([]byte, 0, size), data...)
		}
		var n int
		n, err = body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			err = ErrBodyTooLong
			l.Refused(r.RemoteAddr, BodyBytes, len(data), int(limit))
		}
	}
	if err == io.EOF {
		return data, release, nil
	}
	release()
	return nil, func() {}, err
}
