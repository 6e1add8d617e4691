// Package pacing holds what upstreams say of themselves in their answers: how many requests
// they take, that they leave, that they want none for a while. It is pure but for a lock:
// traffic goroutines share a Gate.
package pacing

import "time"

// Notice is what an answer says of the upstream that gave it.
type Notice struct {
	// Limited says that the upstream takes Rate requests a second of all nodes together, for
	// as long as it says so.
	Limited bool
	Rate    float64
	// Unparsable says that the answer names a limit that can't be read: what was known holds.
	Unparsable bool
	// Leaving says that the upstream takes no new work any more.
	Leaving bool
	// Pause is how long the upstream wants no request of this node; 0 if it does not say.
	Pause time.Duration
}

// Limit is what is known of an upstream's limit.
type Limit struct {
	// Limited says whether the upstream names a limit, Rate its requests a second of all nodes.
	Limited bool
	Rate    float64
	// At is when an answer said so last; zero if none ever did.
	At time.Time
}

func (l Limit) same(other Limit) bool { return l.Limited == other.Limited && l.Rate == other.Rate }
