// Package grhttp serves callers and operators over HTTP. It validates requests and
// passes them to the service that it is given.
//
//	server := &grhttp.Server{Address: "127.0.0.1:7100", Handler: grhttp.CallerHandler(service)}
//	err := server.Run(ctx)
package grhttp

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grlisten"
)

// Limits of a listener.
const (
	// maxHeaderBytes is the limit of net/http, beyond which none in force has an effect.
	maxHeaderBytes         = 1 << 20
	defaultShutdownTimeout = 30 * grclock.Second
)

// Server serves a handler on an address until its context is cancelled, and then lets
// requests in progress finish. Set the exported fields before Run.
type Server struct {
	Address grident.Address
	Handler http.Handler
	TLS     *tls.Config // nil for plain TCP
	// Bounds limits connections and request heads; nil selects the defaults. The limits on
	// heads apply to plain TCP only; with TLS, the defaults apply.
	Bounds   *grlisten.Bounds
	Name     string // label of the listener in metrics
	MaxConns int    // connections at a time; 0 selects the default
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
	return s.Serve(ctx, listener)
}

// Serve serves on an open listener until ctx is cancelled.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	bounds := s.Bounds
	if bounds == nil {
		bounds = &grlisten.Bounds{}
	}
	listener = bounds.Listen(listener, s.Name, s.MaxConns)
	server := &http.Server{Handler: limitBodyTime{closeAfterChunked{s.Handler}, bounds}, MaxHeaderBytes: maxHeaderBytes, ConnState: noteState}
	if s.TLS != nil {
		limits := (&grlisten.Bounds{}).InForce()
		server.MaxHeaderBytes = limits.HeaderBytes
		server.ReadHeaderTimeout, server.IdleTimeout = limits.HeaderTimeout.Duration(), limits.IdleTimeout.Duration()
		listener = tls.NewListener(listener, s.TLS)
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

// noteState tells a connection which phase of a request it is in.
func noteState(conn net.Conn, state http.ConnState) {
	secure, isTLS := conn.(*tls.Conn)
	if isTLS {
		conn = secure.NetConn()
	}
	c, ok := conn.(*grlisten.Conn)
	switch {
	case !ok:
	case state == http.StateNew && !isTLS:
		c.InspectHeads()
	case state == http.StateActive:
		c.Serving()
	case state == http.StateIdle:
		c.Idle()
	}
}

// limitBodyTime limits the time for the body of a request to the idle timeout in force,
// unless the handler sets a deadline of its own. net/http reads the rest of a body after the
// response, which would wait for a client that never sends it.
type limitBodyTime struct {
	http.Handler
	bounds *grlisten.Bounds
}

// ServeHTTP implements http.Handler.
func (l limitBodyTime) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	if r.ContentLength != 0 && controller.SetReadDeadline(grclock.DeadlineIn(l.bounds.InForce().IdleTimeout)) == nil {
		// net/http looks at the body of its own request to decide whether to read the rest of it
		// before the response, so that one keeps its body.
		r = r.WithContext(r.Context())
		r.Body = &timedBody{r.Body, controller}
	}
	l.Handler.ServeHTTP(w, r)
}

// timedBody is a body with a deadline, which is removed at the end of the body: net/http
// reads on meanwhile to notice that the client has left.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err == io.EOF {
		_ = b.controller.SetReadDeadline(time.Time{}) // It fails only if the connection has ended.
	}
	return n, err
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
