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

// Timeouts and header limit of the HTTP servers.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// server is an HTTP server with its open listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

// listen opens a listener. No request is served before serve.
func listen(address string, h http.Handler, log *zap.Logger) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	errorLog, err := zap.NewStdLogAt(log, zap.DebugLevel)
	if err != nil {
		return nil, errors.Wrap(err, "error log of the HTTP server")
	}
	return &server{listener: l, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog,
	}}, nil
}

// serve accepts and serves requests until the server is shut down.
func (s *server) serve() error {
	if err := s.http.Serve(s.listener); err != http.ErrServerClosed {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// drain stops accepting connections and waits for the requests in flight. When
// ctx ends it closes the remaining connections.
func (s *server) drain(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close() // the error of Shutdown is returned
	}
	return errors.Wrap(err, "drain")
}
