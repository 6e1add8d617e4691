package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleSweepInterval is the interval at which idle connections of callers are checked.
	idleSweepInterval = time.Second
	// idleSlack is added to the configured idle timeout, so that a request which a caller
	// sends within the timeout does not race with the close.
	idleSlack = time.Second
)

// idleConnections tracks since when connections of callers have been idle. The server's own
// timeout can't follow configuration changes on open connections.
type idleConnections struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	// expired holds the connections whose read deadline was set to end a read.
	expired map[net.Conn]bool
}

func newIdleConnections() *idleConnections {
	return &idleConnections{idleSince: map[net.Conn]time.Time{}, expired: map[net.Conn]bool{}}
}

// connStateChanged is the server's ConnState hook. It runs before a request is handled, and undoes
// the effect of expire on a connection whose next request was just being read.
func (i *idleConnections) connStateChanged(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.idleSince[conn] = time.Now()
		return
	}
	delete(i.idleSince, conn)
	if i.expired[conn] {
		delete(i.expired, conn)
		if state == http.StateActive {
			_ = conn.SetReadDeadline(time.Time{}) // Fails only on a closed connection.
		}
	}
}

// expire ends the reads of connections that have been idle for longer than limit, and the server
// then closes them. Closing them here would abort a request that has just been read.
func (i *idleConnections) expire(limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, since := range i.idleSince {
		if time.Since(since) > limit && !i.expired[conn] {
			i.expired[conn] = true
			_ = conn.SetReadDeadline(time.Unix(1, 0)) // Fails only on a closed connection.
		}
	}
}

// closeIdle enforces the configured timeouts of callers' connections: how long they may be idle, and how
// long a head may take.
func (e *Edge) closeIdle(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, idleSweepInterval)
		header := headerTimeout
		if table := e.view.Load().Table; table != nil {
			if table.Config.Limits.IdleTimeout > 0 {
				e.idle.expire(table.Config.Limits.IdleTimeout + idleSlack)
			}
			if table.Config.Limits.HeaderTimeout > 0 {
				header = table.Config.Limits.HeaderTimeout
			}
		}
		e.callers.endSlowHeads(header+idleSlack, time.Now())
	}
}

// maxHeaderBytes returns the limit on a request's head in bytes.
func (e *Edge) maxHeaderBytes() int {
	if table := e.view.Load().Table; table != nil && table.Config.Limits.MaxHeaderBytes > 0 {
		return min(maxHeaderBytes, table.Config.Limits.MaxHeaderBytes)
	}
	return defaultMaxHeaderBytes
}
