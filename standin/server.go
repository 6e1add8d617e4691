// Package standin provides stand-ins for the external systems: the log, cloud API, host list
// and weight store of the platform, model engines and plain services. Each implements its
// published protocol over HTTP and supports fault injection.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readHeaderTimeout bounds the time a client has to send its headers.
const readHeaderTimeout = 10 * time.Second

// Server serves a stand-in on a loopback port.
type Server struct {
	listener *faultListener
	http     *http.Server
	done     chan struct{}
}

// Serve starts a server for a handler on address, an IP:port; port 0 selects a free one.
func Serve(address string, handler http.Handler) (*Server, error) {
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for stand-in on %s: %w", address, err)
	}
	s := &Server{
		listener: &faultListener{Listener: inner, conns: map[*faultConn]bool{}},
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		done:     make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.listener)
	}()
	return s, nil
}

// Address returns the IP:port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address() }

// BlackholeConnections makes all open connections permanently unresponsive; new connections
// work.
func (s *Server) BlackholeConnections() { s.listener.blackhole() }

// Close stops the server and closes its connections immediately.
func (s *Server) Close() {
	_ = s.http.Close()
	s.listener.closeAll()
	<-s.done
}

// faultListener wraps connections so that they can be blackholed.
type faultListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*faultConn]bool
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &faultConn{Conn: inner, listener: l, blackholed: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[conn] = true
	l.mu.Unlock()
	return conn, nil
}

func (l *faultListener) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.blackholeOnce.Do(func() { close(conn.blackholed) })
	}
}

func (l *faultListener) closeAll() {
	l.mu.Lock()
	conns := make([]*faultConn, 0, len(l.conns))
	for conn := range l.conns {
		conns = append(conns, conn)
	}
	l.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// errConnClosed is returned by reads of a blackholed connection after it is closed.
var errConnClosed = errors.New("connection closed")

// faultConn discards all bytes once it is blackholed.
type faultConn struct {
	net.Conn
	listener      *faultListener
	blackholed    chan struct{}
	closed        chan struct{}
	blackholeOnce sync.Once
	closeOnce     sync.Once
}

// Read implements net.Conn.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isBlackholed() && err == nil {
		<-c.closed
		return 0, errConnClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.isBlackholed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (c *faultConn) isBlackholed() bool {
	select {
	case <-c.blackholed:
		return true
	default:
		return false
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// writeWithETag writes the value with an entity tag derived from the subject, or 304 Not
// Modified if the client has it already.
func writeWithETag(w http.ResponseWriter, r *http.Request, subject, value any) {
	encoded, err := json.Marshal(subject)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(encoded)))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, value)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
