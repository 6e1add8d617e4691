package edge

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/platform"
)

const (
	// defaultMaxHeaderBytes is the limit on a request's head if the configuration names none, and that of
	// messages between nodes.
	defaultMaxHeaderBytes = 16 << 10
	// headSlack is added to twice the limit on heads, within which the exact size decides: a head is measured
	// with its separators, and the first bytes of the body may have been read with it.
	headSlack = 4 << 10
	// freeHeadBytes is the size in bytes up to which a head is part of what a connection costs.
	freeHeadBytes = 4 << 10
	// parsedHeadFactor is the memory of a parsed head of many short fields, as a multiple of its size.
	parsedHeadFactor = 16
	// headReservationStep is the number of head bytes that are reserved at once.
	headReservationStep = 2 << 10
	// connectionBytes is the memory of an open connection: stacks and buffers.
	connectionBytes = 32 << 10
	// connectionMemoryDivisor gives the part of the memory for callers' connections.
	connectionMemoryDivisor = 4
	// endingDivisor gives the part of the limit for connections that were told to end and are still open.
	endingDivisor = 4
	// minConnections is the least number of connections to one of the servers that callers don't use.
	minConnections = 16
)

// errHeadRefused ends the read of a head; net/http answers no error of a read.
var errHeadRefused = &net.OpError{Op: "read", Err: errors.New("head refused")}

// phase is what a connection waits for.
type phase int

const (
	// phaseNew: no request has been read yet.
	phaseNew phase = iota
	phaseIdle
	phaseActive
)

// connections bounds the open connections of a server and what it reads of heads. The load that it answers is
// a crowd of connections that begin no request: if there is no place, the one that has waited longest for a
// request gives way, and among them one that has never sent any.
type connections struct {
	net.Listener
	limit   int
	account *memory.Account
	// headLimit returns the limit on a request's head in bytes.
	headLimit func() int

	mu   sync.Mutex
	open map[*guardedConn]struct{}
	// ended is the number of open connections that were told to end.
	ended int
	stats connectionStats
}

// connectionStats counts what was refused.
type connectionStats struct {
	evicted, refused, headsRefused uint64
}

// guardedConn is a connection of a server; the server's connections guard its phase and ended.
type guardedConn struct {
	net.Conn
	owner *connections
	phase phase
	since time.Time
	ended bool
	// The head's bytes are counted by the goroutine that reads it.
	headBytes   int
	headBegan   time.Time
	reservation *memory.Reservation
}

// callerConnectionLimit returns the number of callers' connections that the memory and the descriptors of a
// process allow; a request needs a descriptor for its upstream as well.
func callerConnectionLimit(settings *platform.Settings) int {
	limit := 1 << 20
	if settings.MaxFDs > 0 {
		limit = max(1, 3*settings.MaxFDs/8)
	}
	if settings.MemoryBytes > 0 {
		limit = min(limit, max(1, int(settings.MemoryBytes/connectionMemoryDivisor/connectionBytes)))
	}
	return limit
}

// internalConnectionLimit returns the number of connections to a server for other nodes or the platform.
func internalConnectionLimit(settings *platform.Settings, divisor int) int {
	if settings.MaxFDs <= 0 {
		return 1 << 20
	}
	return max(minConnections, settings.MaxFDs/divisor)
}

func newConnections(limit int, account *memory.Account, headLimit func() int) *connections {
	return &connections{limit: limit, account: account, headLimit: headLimit, open: map[*guardedConn]struct{}{}}
}

// Accept implements net.Listener.
func (c *connections) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := c.admit(conn, time.Now()); guarded != nil {
			return guarded, nil
		}
		_ = conn.Close() // Its caller is told nothing.
	}
}

// admit returns nil if all places are taken by requests under way, or by connections that end.
func (c *connections) admit(conn net.Conn, now time.Time) *guardedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	full := len(c.open) >= c.limit+c.limit/endingDivisor
	if full || (len(c.open)-c.ended >= c.limit && !c.evict()) {
		c.stats.refused++
		return nil
	}
	guarded := &guardedConn{Conn: conn, owner: c, since: now, reservation: c.account.OpenShared("heads")}
	c.open[guarded] = struct{}{}
	return guarded
}

// evict ends the connection that has waited longest for a request.
func (c *connections) evict() bool {
	var oldest *guardedConn
	for conn := range c.open {
		if conn.ended || conn.phase == phaseActive {
			continue
		}
		if oldest == nil || conn.phase < oldest.phase || (conn.phase == oldest.phase && conn.since.Before(oldest.since)) {
			oldest = conn
		}
	}
	if oldest == nil {
		return false
	}
	c.stats.evicted++
	c.end(oldest)
	return true
}

// end ends the read of a connection that waits for a request, and the server then closes it. Closing it here
// would abort a request that has just been read.
func (c *connections) end(conn *guardedConn) {
	conn.ended = true
	c.ended++
	_ = conn.SetReadDeadline(time.Unix(1, 0)) // Fails only on a closed connection.
}

// endSlowHeads ends connections on which a head is not complete within limit.
func (c *connections) endSlowHeads(limit time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		slow := conn.phase == phaseNew && now.Sub(conn.since) > limit
		slow = slow || (conn.phase == phaseIdle && !conn.headBegan.IsZero() && now.Sub(conn.headBegan) > limit)
		if slow && !conn.ended {
			c.stats.evicted++
			c.end(conn)
		}
	}
}

// endIdle ends connections that have waited for a request for longer than limit since the last one.
func (c *connections) endIdle(limit time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if conn.phase == phaseIdle && now.Sub(conn.since) > limit && !conn.ended {
			c.end(conn)
		}
	}
}

// stateChanged is the server's ConnState hook. It runs before a request is handled, and undoes the effect
// of end on a connection whose request was just being read.
func (c *connections) stateChanged(conn net.Conn, state http.ConnState) {
	guarded, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		guarded.phase = phaseActive
		guarded.reservation.Release()
		if guarded.ended {
			guarded.ended = false
			c.ended--
			_ = conn.SetReadDeadline(time.Time{}) // Fails only on a closed connection.
		}
	case http.StateIdle:
		guarded.phase, guarded.since = phaseIdle, time.Now()
		guarded.headBytes, guarded.headBegan = 0, time.Time{}
	case http.StateClosed, http.StateHijacked:
		c.remove(guarded)
	}
}

func (c *connections) remove(conn *guardedConn) {
	if _, open := c.open[conn]; !open {
		return
	}
	delete(c.open, conn)
	if conn.ended {
		c.ended--
	}
	conn.reservation.Release()
}

// Read implements net.Conn. While a head is read, it counts and reserves what comes.
func (g *guardedConn) Read(p []byte) (int, error) {
	if g.isEnded() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := g.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if status := g.countHead(n); status != "" {
		g.refuseHead(status)
		return 0, errHeadRefused
	}
	return n, err
}

func (g *guardedConn) isEnded() bool {
	g.owner.mu.Lock()
	defer g.owner.mu.Unlock()
	return g.ended
}

// countHead counts bytes of a head; it returns the status of the refusal if they are too many.
func (g *guardedConn) countHead(n int) (status string) {
	g.owner.mu.Lock()
	defer g.owner.mu.Unlock()
	if g.phase == phaseActive {
		return ""
	}
	if g.headBytes == 0 {
		g.headBegan = time.Now()
	}
	g.headBytes += n
	if g.headBytes <= freeHeadBytes {
		return ""
	}
	if g.headBytes > 2*g.owner.headLimit()+headSlack {
		g.owner.stats.headsRefused++
		return "431 Request Header Fields Too Large"
	}
	for g.reservation.Bytes() < int64(g.headBytes-freeHeadBytes)*parsedHeadFactor {
		if _, err := g.reservation.TryGrow(headReservationStep*parsedHeadFactor, time.Now()); err != nil {
			g.owner.stats.headsRefused++
			return "503 Service Unavailable"
		}
	}
	return ""
}

// refuseHead answers a request whose head is not read to its end.
func (g *guardedConn) refuseHead(status string) {
	_ = g.SetWriteDeadline(time.Now().Add(time.Second)) // Fails only on a closed connection.
	_, _ = fmt.Fprintf(g.Conn, "HTTP/1.1 %s\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", status)
	_ = g.CloseWrite()
}

// CloseWrite lets the server end its side before it closes the connection.
func (g *guardedConn) CloseWrite() error {
	if tcp, ok := g.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// counts returns the open connections and what was refused.
func (c *connections) counts() (open int, stats connectionStats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), c.stats
}
