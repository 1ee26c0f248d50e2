// SPDX-License-Identifier: MIT

package gateway

import (
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

// boundBuffers bounds the buffers of a connection to an endpoint before it is made. Without a bound, the kernel keeps up
// to 4 MB of a request body that the endpoint does not read.
func boundBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// With another size, only the count is wrong.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, endpointReceiveBuffer)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, endpointSendBuffer)
	})
}
