package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleSweep is the pace at which idle connections of callers are looked at.
	idleSweep = time.Second
	// idleSlack is kept beyond the configured time, so that a request which a caller
	// sends within it does not cross the close.
	idleSlack = time.Second
)

// idleConnections knows since when connections of callers are idle. The server's own
// timeout can't follow the configuration on connections that are open.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
	// expired are connections whose read was told to give up.
	expired map[net.Conn]bool
}

func newIdleConnections() *idleConnections {
	return &idleConnections{since: map[net.Conn]time.Time{}, expired: map[net.Conn]bool{}}
}

// changed is the server's hook. It runs before a request is handed on, and takes back what
// expire has done to a connection whose next request was being read at that moment.
func (i *idleConnections) changed(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[conn] = time.Now()
		return
	}
	delete(i.since, conn)
	if i.expired[conn] {
		delete(i.expired, conn)
		if state == http.StateActive {
			_ = conn.SetReadDeadline(time.Time{}) // It fails only on a connection that is closed.
		}
	}
}

// expire ends the reads of connections that are idle for longer than a time, upon which the
// server closes them. To close them here would cut a request that has just been read.
func (i *idleConnections) expire(most time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, since := range i.since {
		if time.Since(since) > most && !i.expired[conn] {
			i.expired[conn] = true
			_ = conn.SetReadDeadline(time.Unix(1, 0)) // It fails only on a connection that is closed.
		}
	}
}

// closeIdle holds callers' connections to the time in force.
func (e *Edge) closeIdle(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, idleSweep)
		if table := e.view.Load().Table; table != nil && table.Config.Limits.IdleTimeout > 0 {
			e.idle.expire(table.Config.Limits.IdleTimeout + idleSlack)
		}
	}
}
