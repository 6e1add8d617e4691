// Package relay sends single HTTP/1.1 requests to upstreams over a small pool of
// connections. Unlike net/http's transport it never resends a request by itself, it
// reports how far a failed request got, it can skip an answer that belongs to another
// request, and it distinguishes a connection's reset from its end.
package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/internal/netopt"
)

const (
	// dialTimeout bounds the TCP handshake; data centres of a region are a few milliseconds
	// apart.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout when the upstream announces none.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the upstream's keep-alive timeout, so that a request
	// does not race with the upstream closing the connection.
	idleMargin = 1500 * time.Millisecond
	// maxIdleUnrepeatable is the longest time since a connection's last answer for it to carry a
	// call that may not be repeated.
	maxIdleUnrepeatable = 3 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 24
	// maxInlineBodyBytes is the size in bytes up to which a body is written before the answer is
	// read; it fits any socket buffer.
	maxInlineBodyBytes = 16 << 10
	readBufferBytes    = 4 << 10
	// headBufferBytes is the size in bytes of the head of most calls.
	headBufferBytes = 1 << 10
)

// Upstream is the destination of a request.
type Upstream struct {
	// Key identifies the incarnation; connections are pooled by it.
	Key string
	// Address is IP:port.
	Address string
}

// Call is one request.
type Call struct {
	// Method and Target are those of the request line, unchanged.
	Method, Target string
	// Host header.
	Host string
	// Header holds the other headers, sent as they are.
	Header http.Header
	// Body is sent with a Content-Length.
	Body []byte
	// Repeatable calls may use connections that have been idle for longer.
	Repeatable bool
	// ReserveHead is called with the bytes of the answer's head beyond the first read; an error refuses the
	// answer. It may be nil.
	ReserveHead func(bytes int) error
}

// Step is the step at which a call failed.
type Step string

// Steps of a call.
const (
	// StepConnect means that nothing was sent.
	StepConnect Step = "connect"
	// StepWrite means that a part of the request may have arrived.
	StepWrite Step = "write"
	// StepRead means that the answer was missing or incomplete.
	StepRead Step = "read"
)

// Error is a failed call.
type Error struct {
	// Step that failed.
	Step Step
	// Peer is the upstream's address.
	Peer string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s upstream %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Unsent reports whether no byte of the request can have reached the upstream.
func (e *Error) Unsent() bool { return e.Step == StepConnect }

// Stats counts connections.
type Stats struct {
	// Dialled and Reused connections.
	Dialled, Reused uint64
}

// Pool holds idle connections by upstream. It is safe for concurrent use.
type Pool struct {
	dial netopt.DialFunc

	mu    sync.Mutex
	idle  map[string][]*conn
	stats Stats
}

// conn is one connection; a call owns it until it is finished.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	head      *headLimiter
	key       string
	lastUsed  time.Time
	expiresAt time.Time
	// reused is set once the connection has carried an earlier call, refused once an answer on it said
	// that its call has not run.
	reused, refused bool
}

// reset closes the connection with a TCP reset, so that bytes which a broken link holds back are
// discarded: the upstream must not get a request that was given up.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{dial: netopt.ReportResets(netopt.Dialer(dialTimeout).DialContext), idle: map[string][]*conn{}}
}

// Stats returns the current counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Send sends a call and reads the head of the answer. When ctx is done, the connection
// is closed, which signals the upstream to stop. The caller must Finish or Abort the
// answer. An error is an *Error.
func (p *Pool) Send(ctx context.Context, to Upstream, call *Call) (*Answer, error) {
	c, err := p.acquire(ctx, to, call.Repeatable)
	if err != nil {
		return nil, &Error{Step: StepConnect, Peer: to.Address, Err: err}
	}
	answer := &Answer{pool: p, conn: c, method: call.Method, written: make(chan error, 1)}
	c.head.reserve = call.ReserveHead
	answer.stopContextWatch = context.AfterFunc(ctx, c.reset)
	head := call.head()
	if len(call.Body) <= maxInlineBodyBytes {
		if _, err := c.Write(append(head, call.Body...)); err != nil {
			answer.Abort()
			return nil, &Error{Step: StepWrite, Peer: to.Address, Err: firstErr(ctx.Err(), err)}
		}
		answer.written <- nil
	} else {
		go func() {
			buffers := net.Buffers{head, call.Body}
			_, err := buffers.WriteTo(c.Conn)
			answer.written <- err
		}()
	}
	if err := answer.Next(); err != nil {
		answer.Abort()
		return nil, &Error{Step: StepRead, Peer: to.Address, Err: firstErr(ctx.Err(), err)}
	}
	return answer, nil
}

// firstErr returns the first non-nil error.
func firstErr(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// head returns the request line and the headers.
func (c *Call) head() []byte {
	var b bytes.Buffer
	b.Grow(headBufferBytes)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Target, c.Host)
	for name, values := range c.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(c.Body) > 0 || c.Method == http.MethodPost || c.Method == http.MethodPut || c.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(c.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// acquire returns an idle connection that is still open, or dials a new one.
func (p *Pool) acquire(ctx context.Context, to Upstream, repeatable bool) (*conn, error) {
	for {
		c := p.popIdle(to.Key, repeatable)
		if c == nil {
			break
		}
		if netopt.IsIdle(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.connect(ctx, to)
}

// Connect establishes a connection for a later call. It returns an error that is syscall.ECONNREFUSED if
// nothing listens at the upstream's address.
func (p *Pool) Connect(ctx context.Context, to Upstream) error {
	c, err := p.connect(ctx, to)
	if err != nil {
		return &Error{Step: StepConnect, Peer: to.Address, Err: err}
	}
	c.lastUsed = time.Now()
	c.expiresAt = c.lastUsed.Add(defaultIdleTimeout)
	p.putIdle(c)
	return nil
}

func (p *Pool) connect(ctx context.Context, to Upstream) (*conn, error) {
	dialled, err := p.dial(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.stats.Dialled++
	p.mu.Unlock()
	head := &headLimiter{reader: dialled, remaining: unlimited}
	return &conn{Conn: dialled, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), key: to.Key}, nil
}

// popIdle removes and returns the most recently used idle connection that may carry the call; nil when
// there is none. A call that may not be repeated uses none with an earlier refusal: if the upstream wrote
// that once more, the call would count as not run.
func (p *Pool) popIdle(key string, repeatable bool) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[key]
	for i := len(idle) - 1; i >= 0; i-- {
		c := idle[i]
		if now.After(c.expiresAt) || (!repeatable && (c.refused || now.Sub(c.lastUsed) > maxIdleUnrepeatable)) {
			continue
		}
		p.idle[key] = slices.Delete(idle, i, i+1)
		p.stats.Reused++
		c.reused = true
		return c
	}
	return nil
}

// putIdle returns a connection to the pool.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.key]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// Sweep closes expired idle connections, and all those to upstreams for which keep returns
// false.
func (p *Pool) Sweep(keep func(key string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, idle := range p.idle {
		retained := idle[:0]
		for _, c := range idle {
			if now.Before(c.expiresAt) && keep(key) {
				retained = append(retained, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[key] = retained
		if len(retained) == 0 {
			delete(p.idle, key)
		}
	}
}

// CloseIdle closes all idle connections to an upstream, for instance after one of them
// became unresponsive.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[key] {
		_ = c.Close()
	}
	delete(p.idle, key)
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(func(string) bool { return false }) }

// Answer is an upstream's answer whose head has been read.
type Answer struct {
	// Response is the head; its body ends with io.EOF only if the answer is complete.
	Response *http.Response

	pool             *Pool
	conn             *conn
	method           string
	written          chan error
	stopContextWatch func() bool
	ended            bool
}

// errTooManyInterim means that more than maxInterim interim answers preceded the final one.
var errTooManyInterim = errors.New("too many interim answers")

// maxInterim bounds the 1xx answers to one request.
const maxInterim = 8

// Next reads the head of the next answer on the connection; the body of the previous one
// must have been read to its end.
func (a *Answer) Next() error {
	request := &http.Request{Method: a.method}
	a.conn.head.remaining = maxHeadBytes
	defer func() { a.conn.head.remaining = unlimited }()
	for range maxInterim {
		if err := a.conn.beginHead(); err != nil {
			return err
		}
		response, err := http.ReadResponse(a.conn.reader, request) //nolint:bodyclose // Finish and Abort end the connection.
		if err != nil {
			return err
		}
		if err := netopt.CheckHead(response); err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			a.Response = response
			return nil
		}
	}
	return errTooManyInterim
}

// Framed reports whether the answer has a length or is chunked. One that is not framed ends
// with its connection.
func (a *Answer) Framed() bool { return netopt.Framed(a.Response) }

// Reused reports whether the connection has carried an earlier call, of which the answer may be.
func (a *Answer) Reused() bool { return a.conn.reused }

// MarkRefusal records that the answer says that its call has not run.
func (a *Answer) MarkRefusal() { a.conn.refused = true }

// Body returns the answer's body, which the caller reads to its end.
func (a *Answer) Body() io.Reader { return a.Response.Body }

// Finish ends the exchange. The connection returns to the pool if the answer was read to
// its end (its body returned io.EOF), no bytes follow it and the upstream keeps it open.
func (a *Answer) Finish() {
	if a.ended {
		return
	}
	a.ended = true
	if !a.stopContextWatch() || !a.reusable() {
		_ = a.conn.Close()
		return
	}
	now := time.Now()
	idle := keepAliveTimeout(a.Response.Header.Get("Keep-Alive"))
	if idle <= 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.lastUsed, a.conn.expiresAt = now, now.Add(idle)
	a.conn.head.reserve = nil
	a.pool.putIdle(a.conn)
}

func (a *Answer) reusable() bool {
	if a.Response == nil || a.Response.Close || !a.Framed() || a.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// Abort resets the connection.
func (a *Answer) Abort() {
	if a.ended {
		return
	}
	a.ended = true
	a.stopContextWatch()
	a.conn.reset()
}

// keepAliveTimeout returns how long a connection may stay idle, from the upstream's Keep-Alive
// header.
func keepAliveTimeout(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - min(idleMargin, time.Duration(seconds)*time.Second/2)
		}
	}
	return defaultIdleTimeout
}
