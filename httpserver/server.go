// Package httpserver runs one HTTP listener of a node: go-zero's rest routes and
// middlewares on a net/http server whose start and stop are controlled by the node.
//
// go-zero's own listener closes as soon as the process gets a signal and kills the
// process some seconds later. A planned stop may take as long as the drain timeout,
// so rest.Serverless is mounted on a separate net/http server.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"github.com/persimmonline/persimmonline/refusal"
)

const (
	// readHeaderTimeout bounds the time in which a client must send the request headers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
)

// Middleware wraps a handler.
type Middleware = rest.Middleware

// Server is one HTTP listener.
type Server struct {
	name     string
	address  string
	logger   zerolog.Logger
	http     *http.Server
	listener net.Listener
	done     chan struct{}
}

// New builds a server for the routes. The first middleware is the outermost.
// An empty method in a route means any method.
func New(name, address string, logger zerolog.Logger, routes []rest.Route, middlewares ...Middleware) (*Server, error) {
	restServer, err := rest.NewServer(restConfig(name), rest.WithRouter(newMuxRouter()))
	if err != nil {
		return nil, fmt.Errorf("build %s server: %w", name, err)
	}
	restServer.Use(recoverPanic(logger))
	for _, middleware := range middlewares {
		restServer.Use(middleware)
	}
	restServer.AddRoutes(routes)
	handler, err := rest.NewServerless(restServer)
	if err != nil {
		return nil, fmt.Errorf("bind routes of %s server: %w", name, err)
	}
	return &Server{
		name:    name,
		address: address,
		logger:  logger,
		done:    make(chan struct{}),
		http: &http.Server{
			Handler:           http.HandlerFunc(handler.Serve),
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
		},
	}, nil
}

// restConfig enables only go-zero's tracing. Its timeout, circuit breaker, load shedding
// and connection limit abort streams or refuse requests without reporting whether the
// request ran; the gateway has its own limits.
func restConfig(name string) rest.RestConf {
	conf := rest.RestConf{}
	conf.ServiceConf = service.ServiceConf{Name: name, Mode: service.ProMode}
	conf.Log.Mode = "console"
	conf.Log.Encoding = "json"
	conf.Log.Level = "info"
	conf.Middlewares.Trace = true
	// go-zero's tracer provider would replace the process's own.
	conf.Telemetry.Disabled = true
	return conf
}

// recoverPanic answers a panic with a refusal of unknown effect.
func recoverPanic(logger zerolog.Logger) Middleware {
	return func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				cause := recover()
				if cause == nil {
					return
				}
				if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
					panic(cause)
				}
				logger.Error().Interface("panic", cause).Bytes("stack", debug.Stack()).
					Str("path", r.URL.Path).Msg("handler panicked")
				refusal.New(http.StatusInternalServerError, refusal.CodeInternal, "internal error").
					WithUnknownOutcome().Write(w, "")
			}()
			next(w, r)
		}
	}
}

// Start listens and serves until Shutdown.
func (s *Server) Start() error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen for %s on %s: %w", s.name, s.address, err)
	}
	s.listener = listener
	go func() {
		defer close(s.done)
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error().Err(err).Str("server", s.name).Msg("server failed")
		}
	}()
	return nil
}

// Address returns the IP:port on which the server listens.
func (s *Server) Address() string {
	if s.listener == nil {
		return s.address
	}
	return s.listener.Addr().String()
}

// Shutdown stops accepting connections, waits for requests in flight until ctx ends, then
// closes the remaining connections.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.listener == nil {
		return nil
	}
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
		err = fmt.Errorf("shut down %s server: %w", s.name, err)
	}
	<-s.done
	return err
}

// Close stops the server at once, as a crash would.
func (s *Server) Close() {
	if s.listener == nil {
		return
	}
	_ = s.http.Close()
	<-s.done
}
