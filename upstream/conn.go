// Package upstream manages the connections to model engines and plain services. It
// distinguishes a request that was never sent from one that may have run.
package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/retry"
)

const (
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 64
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 60 * time.Second
	// connectTimeout bounds the dialling of a connection.
	connectTimeout = time.Second
)

// Error is a failed attempt at an upstream.
type Error struct {
	// Step is the operation that failed.
	Step string
	// Peer is the address of the upstream.
	Peer string
	// Sent is whether the upstream may have received the request.
	Sent retry.SendState
	// Status is the HTTP status of an error answer; 0 when there was none.
	Status int
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at upstream %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool holds the connections to all upstreams by address.
type Pool struct {
	owner string
	dial  netopt.DialFunc
	mu    sync.Mutex
	conns map[string]*Conn
}

// NewPool returns a pool for a node; owner separates the circuit breakers of several
// nodes in one process.
func NewPool(owner string) *Pool {
	return &Pool{owner: owner, conns: map[string]*Conn{}}
}

// NewControlPool returns a pool for control traffic, with connections and circuit breakers
// separate from those of requests; dial counts its bytes.
func NewControlPool(owner string, dial netopt.DialFunc) *Pool {
	return &Pool{owner: owner + " control", dial: dial, conns: map[string]*Conn{}}
}

// Get returns the connections to an address.
func (p *Pool) Get(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := p.conns[address]
	if !ok {
		conn = newConn(p.owner, address, p.dial)
		p.conns[address] = conn
	}
	return conn
}

// Retire makes further requests to an address use new connections. Requests in flight
// stay on theirs.
func (p *Pool) Retire(address string) {
	p.mu.Lock()
	old, ok := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if ok {
		old.transport.CloseIdleConnections()
	}
}

// Close closes idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.transport.CloseIdleConnections()
	}
}

// Conn is the set of connections to one address.
type Conn struct {
	address   string
	transport *http.Transport
	service   httpc.Service
}

func newConn(owner, address string, dial netopt.DialFunc) *Conn {
	transport := netopt.Transport()
	transport.DialContext = netopt.ReportResets((&net.Dialer{Timeout: connectTimeout}).DialContext)
	if dial != nil {
		transport.DialContext = dial
	}
	transport.DisableCompression = true
	transport.MaxIdleConnsPerHost = maxIdlePerUpstream
	transport.IdleConnTimeout = idleTimeout
	client := &http.Client{
		Transport:     netopt.Checked(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Conn{
		address:   address,
		transport: transport,
		service:   httpc.NewServiceWithClient(owner+" to "+address, client),
	}
}

// Do sends a request. The error is an *Error that reports whether it may have run.
func (c *Conn) Do(step string, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := c.service.DoRequest(request)
	if err == nil {
		return response, nil
	}
	sent := retry.NotSent
	if connected.Load() && !errors.Is(err, breaker.ErrServiceUnavailable) {
		sent = retry.MaybeSent
	}
	return nil, &Error{Step: step, Peer: c.address, Sent: sent, Err: err}
}
