package edge

import (
	"context"
	"time"
)

const (
	// idleSweepInterval is the interval at which idle connections of callers are checked.
	idleSweepInterval = time.Second
	// idleSlack is added to the configured idle timeout, so that a request which a caller
	// sends within the timeout does not race with the close.
	idleSlack = time.Second
)

// closeIdle enforces the configured timeouts of callers' connections: how long they may be idle, and how
// long a head may take. The server's own timeouts can't follow configuration changes on open connections.
func (e *Edge) closeIdle(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, idleSweepInterval)
		header, now := headerTimeout, time.Now()
		if table := e.view.Load().Table; table != nil {
			if table.Config.Limits.IdleTimeout > 0 {
				e.callers.endIdle(table.Config.Limits.IdleTimeout+idleSlack, now)
			}
			if table.Config.Limits.HeaderTimeout > 0 {
				header = table.Config.Limits.HeaderTimeout
			}
		}
		e.callers.endSlowHeads(header+idleSlack, now)
	}
}

// maxHeaderBytes returns the limit on a request's head in bytes.
func (e *Edge) maxHeaderBytes() int {
	if table := e.view.Load().Table; table != nil && table.Config.Limits.MaxHeaderBytes > 0 {
		return min(maxHeaderBytes, table.Config.Limits.MaxHeaderBytes)
	}
	return defaultMaxHeaderBytes
}
