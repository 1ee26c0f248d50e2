// SPDX-License-Identifier: MIT

package fleet

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/reqlimit"
)

// operatorServer serves operators and endpoints at a control box.
type operatorServer struct {
	server     *http.Server
	listener   net.Listener
	conns      *callerConns
	isDraining atomic.Bool
	log        *zap.Logger
}

// serveOperators listens at an address and serves until the server is drained or closed.
func serveOperators(address string, h http.Handler, limiter *reqlimit.Limiter, log *zap.Logger) (*operatorServer, error) {
	s := &operatorServer{conns: newCallerConns(func() time.Duration { return idleTimeout }, 0), log: log}
	s.server = newServer(s.closeConnections(h), idleTimeout)
	s.server.ConnState = s.conns.observe
	var err error
	s.listener, err = serve(address, s.server, limiter)
	return s, err
}

// closeConnections has connections closed by their responses while the server drains.
func (s *operatorServer) closeConnections(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDraining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// drain refuses connections and waits until the calls that have arrived have their responses, for at most a given time.
func (s *operatorServer) drain(timeout time.Duration) {
	began := time.Now()
	s.isDraining.Store(true)
	_ = s.listener.Close() // callers find another box at once
	open := s.conns.closeUnused()
	for ; open > 0 && time.Since(began) < timeout; open = s.conns.closeUnused() {
		time.Sleep(drainPoll)
	}
	s.log.Info("operators' server drained", zap.Int("connections", open), zap.Duration("after", time.Since(began)))
}

// Close closes all connections.
func (s *operatorServer) Close() error { return s.server.Close() }
