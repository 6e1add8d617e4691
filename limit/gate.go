package limit

import "math"

// The load that this file answers: engines are full, and many nodes with requests that wait learn of
// the same free place within one exchange. If each node took it, the engines' own queues would decide
// who waits; if none did, it would stay empty.

const (
	// releaseDivisor divides the places that a node has beyond its fair part to give those that it
	// returns at a time.
	releaseDivisor = 4
	// queuedShare is the part of its slots that an engine may hold in its own queue, so that a slot
	// that becomes free is not empty until a node learns of it.
	queuedShare = 0.25
)

// Room is a node's newest knowledge of the places at a service's engines.
type Room struct {
	// Places of all engines, Running the requests that all nodes have there, and Free the sum of the
	// engines' free places.
	Places, Running, Free int
	// WaitingElsewhere is the number of requests that wait at other nodes.
	WaitingElsewhere int
	// Nodes that may send requests, this one included.
	Nodes int
	// Alone is set while other nodes exist and none of them has recently reported its load.
	Alone bool
}

// AddEngine adds an engine with a number of slots that runs or holds some requests.
func (r *Room) AddEngine(slots, running int) {
	places := slots + int(queuedShare*float64(slots))
	r.Places += places
	r.Running += running
	r.Free += max(0, places-running)
}

// Gate deals the free places of a service's engines to the nodes by what waits at each. Its zero value
// is ready for use.
type Gate struct {
	// credit is the fraction of a place that this node was dealt and has not taken yet.
	credit float64
}

// Slots returns how many requests a node with some running and waiting requests may run at once. Every
// node is dealt a little for the requests that it will get until the others hear of them.
func (g *Gate) Slots(room Room, running, waiting int) int {
	switch {
	case room.Places == 0:
		// There is nothing to wait for.
		return math.MaxInt32
	case room.Alone:
		return max(1, room.Places/max(1, room.Nodes))
	case room.WaitingElsewhere == 0:
		return running + room.Free
	}
	need := float64(waiting + 1)
	all := float64(room.WaitingElsewhere + waiting + max(1, room.Nodes))
	dealt := float64(room.Free)*need/all + g.credit
	whole := math.Floor(dealt)
	g.credit = dealt - whole
	return max(1, running+int(whole)-g.excess(room, running, waiting))
}

// excess returns how many of its places a node returns to others that wait.
func (g *Gate) excess(room Room, running, waiting int) int {
	if room.Free > 0 {
		return 0
	}
	fair := float64(room.Places) * float64(running+waiting) / float64(max(1, room.Running+room.WaitingElsewhere+waiting))
	return int(math.Ceil(max(0, float64(running)-fair) / releaseDivisor))
}
