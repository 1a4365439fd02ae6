// Package grhttp serves callers and operators over HTTP. It validates requests and
// passes them to the service that it is given.
//
//	server := &grhttp.Server{Address: "127.0.0.1:7100", Handler: grhttp.CallerHandler(service)}
//	err := server.Run(ctx)
package grhttp

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grgroup"
)

// Limits of a listener.
const (
	headerTimeout          = 5 * grclock.Second
	maxHeaderBytes         = 64 << 10
	idleTimeout            = 5 * grclock.Minute // longer than callers keep idle connections
	defaultShutdownTimeout = 30 * grclock.Second
)

// Server serves a handler on an address until its context is cancelled, and then lets
// requests in progress finish. Set the exported fields before Run.
type Server struct {
	Address grident.Address
	Handler http.Handler
	TLS     *tls.Config // nil for plain TCP
	// ShutdownTimeout limits how long a shutdown waits for connections to end; 0 means
	// 30 s. Connections that are open after that, such as those that callers opened
	// and never used, are closed.
	ShutdownTimeout grclock.Millis
}

// Run listens on Address and serves until ctx is cancelled.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", string(s.Address))
	if err != nil {
		return err
	}
	if s.TLS != nil {
		listener = tls.NewListener(listener, s.TLS)
	}
	return s.Serve(ctx, listener)
}

// Serve serves on an open listener until ctx is cancelled.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: closeAfterChunked{s.Handler}, ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout: idleTimeout.Duration(), MaxHeaderBytes: maxHeaderBytes,
	}
	group := grgroup.New(ctx)
	group.Start(func(ctx context.Context) error {
		<-ctx.Done()
		timeout := s.ShutdownTimeout
		if timeout == 0 {
			timeout = defaultShutdownTimeout
		}
		shutdownCtx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			return server.Close()
		}
		return nil
	})
	group.Start(func(context.Context) error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return group.Wait()
}

// closeAfterChunked closes the connection after a request with a chunked body. net/http
// does not report whether such a request also had a Content-Length, in which case the
// bytes that follow might belong to its body (request smuggling).
type closeAfterChunked struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (c closeAfterChunked) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	c.Handler.ServeHTTP(w, r)
}

// WriteJSON writes a message as JSON with the HTTP status.
func WriteJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(grwire.Encode(message)) // This fails only if the client has disconnected.
}

// WriteError writes the response to a request that was rejected before any of it ran.
func WriteError(w http.ResponseWriter, fault *grerror.Error) {
	WriteJSON(w, grwire.HTTPStatus(fault.Code), grwire.RejectionFor(fault))
}
