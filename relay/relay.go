// Package relay exchanges single HTTP/1.1 requests with upstreams over a small pool of
// connections. Unlike net/http's transport it never sends a request again by itself,
// it tells how far a failed request got, it can read past an answer that belongs to
// another request, and it tells a connection's reset from its end.
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
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/internal/netopt"
)

const (
	// dialTimeout bounds the handshake; data centres of a region are a few milliseconds apart.
	dialTimeout = 500 * time.Millisecond
	// defaultIdle is how long an idle connection is kept when the upstream names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is kept from the time that the upstream names, so that a request
	// does not cross its close.
	idleMargin = 1500 * time.Millisecond
	// provenWithin is how lately a connection must have carried an answer to take a call
	// that may not be repeated.
	provenWithin = 3 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 24
	// inlineBody is the size up to which a body is written before the answer is read;
	// it fits any socket buffer.
	inlineBody = 16 << 10
	readBuffer = 4 << 10
)

// Upstream names where a request goes.
type Upstream struct {
	// Key names the incarnation; connections are kept by it.
	Key string
	// Address is IP:port.
	Address string
}

// Call is one request.
type Call struct {
	// Method and Target are the request line's, unchanged.
	Method, Target string
	// Host header.
	Host string
	// Header that is sent.
	Header http.Header
	// Body that is sent with its length.
	Body []byte
	// Repeatable calls may use connections that were idle for long.
	Repeatable bool
}

// Step is how far a failed call got.
type Step string

// Steps of a call.
const (
	// StepConnect failed: nothing was sent.
	StepConnect Step = "connect"
	// StepWrite failed: a part of the request may have arrived.
	StepWrite Step = "write"
	// StepRead failed: there was no answer, or not all of it.
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

// Unsent says whether no byte of the request can have reached the upstream.
func (e *Error) Unsent() bool { return e.Step == StepConnect }

// Stats counts connections.
type Stats struct {
	// Dialled and Reused connections.
	Dialled, Reused uint64
}

// Pool keeps idle connections by upstream. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer

	mu    sync.Mutex
	idle  map[string][]*conn
	stats Stats
}

// conn is one connection; a call owns it until it is finished.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	head    *headLimit
	key     string
	usedAt  time.Time
	expires time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{dialer: netopt.Dialer(dialTimeout), idle: map[string][]*conn{}}
}

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Send sends a call and reads the head of the answer. When ctx ends, the connection
// is closed, which tells the upstream to stop. The caller must Finish or Abort the answer.
// An error is an *Error.
func (p *Pool) Send(ctx context.Context, to Upstream, call *Call) (*Answer, error) {
	c, err := p.take(ctx, to, call.Repeatable)
	if err != nil {
		return nil, &Error{Step: StepConnect, Peer: to.Address, Err: err}
	}
	answer := &Answer{pool: p, conn: c, method: call.Method, written: make(chan error, 1)}
	answer.stopWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	head := call.head()
	if len(call.Body) <= inlineBody {
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

// firstErr returns the first error that is not nil.
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
	b.Grow(1024 + len(c.Body))
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

// take returns an idle connection that is known to be open, or a new one.
func (p *Pool) take(ctx context.Context, to Upstream, repeatable bool) (*conn, error) {
	for {
		c := p.pop(to.Key, repeatable)
		if c == nil {
			break
		}
		if netopt.IsIdle(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	dialled, err := p.dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.stats.Dialled++
	p.mu.Unlock()
	head := &headLimit{reader: dialled, left: unlimited}
	return &conn{Conn: dialled, head: head, reader: bufio.NewReaderSize(head, readBuffer), key: to.Key}, nil
}

// pop takes the idle connection that was used last.
func (p *Pool) pop(key string, repeatable bool) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[key]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	if now.After(c.expires) || (!repeatable && now.Sub(c.usedAt) > provenWithin) {
		return nil
	}
	p.idle[key] = idle[:len(idle)-1]
	p.stats.Reused++
	return c
}

// put keeps a connection for the next call.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.key]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// Sweep closes idle connections that are too old, and all of upstreams for which keep
// returns false.
func (p *Pool) Sweep(keep func(key string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.expires) && keep(key) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// CloseIdle closes all idle connections to an upstream, for instance because one of them
// fell silent.
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

// Answer is an upstream's answer, whose head has been read.
type Answer struct {
	// Response is the head; its body ends with io.EOF only if the answer is whole.
	Response *http.Response

	pool      *Pool
	conn      *conn
	method    string
	written   chan error
	stopWatch func() bool
	ended     bool
}

// errInformational bounds the interim answers before the final one.
var errInformational = errors.New("too many interim answers")

// maxInterim bounds the 1xx answers to one request.
const maxInterim = 8

// Next reads the head of the next answer on the connection; the body of the one before
// must have been read to its end.
func (a *Answer) Next() error {
	request := &http.Request{Method: a.method}
	a.conn.head.left = maxHeadBytes
	defer func() { a.conn.head.left = unlimited }()
	for range maxInterim {
		response, err := http.ReadResponse(a.conn.reader, request) //nolint:bodyclose // Finish and Abort end the connection.
		if err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			a.Response = response
			return nil
		}
	}
	return errInformational
}

const (
	// maxHeadBytes bounds the heads of an answer and of the interim ones before it.
	maxHeadBytes = 64 << 10
	// unlimited stands for no bound.
	unlimited = -1
)

// errHead means that the upstream sends a head without end.
var errHead = fmt.Errorf("the head of the answer is over %d bytes", maxHeadBytes)

// headLimit bounds what is read of a connection while a head is read. One goroutine uses it.
type headLimit struct {
	reader io.Reader
	left   int
}

func (l *headLimit) Read(p []byte) (int, error) {
	if l.left == unlimited {
		return l.reader.Read(p)
	}
	if l.left == 0 {
		return 0, errHead
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// Framed says whether the answer's end is marked, by a length or by chunks. One that is
// not ends with its connection.
func (a *Answer) Framed() bool {
	return a.Response.ContentLength >= 0 || len(a.Response.TransferEncoding) > 0
}

// Body returns the answer's body, which the caller reads to its end.
func (a *Answer) Body() io.Reader { return a.Response.Body }

// Finish ends the exchange. The connection is kept if the answer was read whole (its
// body returned io.EOF), nothing came after it and the upstream keeps it open.
func (a *Answer) Finish() {
	if a.ended {
		return
	}
	a.ended = true
	if !a.stopWatch() || !a.reusable() {
		_ = a.conn.Close()
		return
	}
	now := time.Now()
	idle := idleTime(a.Response.Header.Get("Keep-Alive"))
	if idle <= 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.usedAt, a.conn.expires = now, now.Add(idle)
	a.pool.put(a.conn)
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

// Abort closes the connection.
func (a *Answer) Abort() {
	if a.ended {
		return
	}
	a.ended = true
	a.stopWatch()
	_ = a.conn.Close()
}

// idleTime returns how long a connection may be kept, by the upstream's Keep-Alive header.
func idleTime(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if whole, err := strconv.Atoi(value); err == nil {
			return time.Duration(whole)*time.Second - min(idleMargin, time.Duration(whole)*time.Second/2)
		}
	}
	return defaultIdle
}
