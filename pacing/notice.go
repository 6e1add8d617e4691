// Package pacing limits the requests to an upstream according to the notices in its answers:
// a rate limit over all nodes, a pause, or that it is leaving. It has no side effects; a Gate
// is safe for concurrent use.
package pacing

import "time"

// Notice is the state that an upstream reports about itself in an answer.
type Notice struct {
	// Limited is set when the upstream accepts Rate requests per second from all nodes
	// together, until an answer reports otherwise.
	Limited bool
	Rate    float64
	// Unparsable is set when the answer has a limit that can't be parsed; the previous limit
	// stays in force.
	Unparsable bool
	// Leaving is set when the upstream accepts no more work.
	Leaving bool
	// Pause is how long the upstream wants no requests from this node; 0 for no pause.
	Pause time.Duration
}

// Limit is the last known limit of an upstream.
type Limit struct {
	// Limited is set when the upstream has a limit, of Rate requests per second over all nodes.
	Limited bool
	Rate    float64
	// At is when an answer last reported it; zero if none ever did.
	At time.Time
}

func (l Limit) same(other Limit) bool { return l.Limited == other.Limited && l.Rate == other.Rate }
