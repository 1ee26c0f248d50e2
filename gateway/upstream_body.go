// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// bodyChunk is the part of a request body that an endpoint must take within endpointBodyTimeout, in bytes. An
	// endpoint that takes none for this long is stalled, as it has socket buffers of its own.
	bodyChunk           = 64 << 10
	endpointBodyTimeout = 5 * time.Second
)

// errBodyNotTaken is returned if an endpoint takes a request body too slowly.
var errBodyNotTaken = errors.New("the endpoint does not take the request body")

// writeBody writes a long body to the endpoint. With a limit on progress, an endpoint that takes it too slowly has its
// connection closed, which also ends the wait for its response.
func (x *exchange) writeBody(body []byte) error {
	if x.bodyTimeout == 0 {
		_, err := x.conn.Write(body)
		return err
	}
	for len(body) > 0 {
		stalled := time.AfterFunc(x.bodyTimeout, x.closeStalled)
		n, err := x.conn.Write(body[:min(len(body), bodyChunk)])
		if !stalled.Stop() {
			return errBodyNotTaken
		}
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

func (x *exchange) closeStalled() {
	x.bodyStalled.Store(true)
	_ = x.conn.Close()
}

// resetNotice is how long the writer of a request body may take to report that the connection was reset, after the
// reader has seen its end.
const resetNotice = 100 * time.Millisecond

// closeDelimitedBody is the body of a response that ends with its connection, while the request body is still written. The
// kernel reports a reset once: if it tells the writer, the reader sees an end as of a connection that was closed.
type closeDelimitedBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader. The end of a connection that was reset is io.ErrUnexpectedEOF.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.exchange.wasReset() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// wasReset reports whether the connection was reset before the endpoint closed it. If it is reset later, the error of
// the writer is EPIPE.
func (x *exchange) wasReset() bool {
	select {
	case <-x.bodyWritten:
		return errors.Is(x.bodyError, syscall.ECONNRESET)
	case <-time.After(resetNotice):
		return false
	}
}

// boundBuffers bounds the buffers of a connection to an endpoint before it is made. Without a bound, the kernel keeps up
// to 4 MB of a request body that the endpoint does not read.
func boundBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// With another size, only the count is wrong.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, endpointReceiveBuffer)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, endpointSendBuffer)
	})
}
