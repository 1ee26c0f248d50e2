// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Timeouts of the servers.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// server is a listening HTTP server.
type server struct {
	http     *http.Server
	listener net.Listener
}

// listen opens an address. Nothing is served before serve.
func listen(address string, h http.Handler, log *zap.Logger) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	errorLog, err := zap.NewStdLogAt(log, zap.DebugLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log of the server")
	}
	return &server{listener: l, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog,
	}}, nil
}

// serve answers calls until the server is stopped.
func (s *server) serve() error {
	if err := s.http.Serve(s.listener); err != http.ErrServerClosed {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// drain takes no new connections and waits for the calls in flight until ctx
// ends; then it cuts them.
func (s *server) drain(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close() // the first error says it
	}
	return errors.Wrap(err, "drain")
}
