package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// MaxHeartbeatPeers bounds the nodes that a node sends heartbeats to.
	MaxHeartbeatPeers = 4
	// remotePeers is the number of these in other data centres, so that updates
	// cross cells.
	remotePeers = 2
	// watchAllLimit is the number of upstreams up to which every node watches all; it
	// leaves room for the replacements of a data centre's hosts while those still drain.
	watchAllLimit = 48
)

// HeartbeatPeers returns the nodes that a node sends heartbeats to. In a small fleet
// these are all others. In a large one they are the successor by id in its own data
// centre, so that updates travel the ring of all its nodes, and the highest by rendezvous
// hash there and elsewhere.
func HeartbeatPeers(nodes []Member, id, dataCentre string) []Member {
	sameDataCentre := ranking{key: id}
	otherDataCentres := ranking{key: id}
	for _, node := range nodes {
		switch {
		case node.ID == id:
		case node.DataCentre == dataCentre:
			sameDataCentre.add(node)
		default:
			otherDataCentres.add(node)
		}
	}
	if sameDataCentre.count+otherDataCentres.count <= MaxHeartbeatPeers {
		return append(sameDataCentre.best, otherDataCentres.best...)
	}
	remote := min(otherDataCentres.count, max(remotePeers, MaxHeartbeatPeers-sameDataCentre.count))
	local := sameDataCentre.withSuccessor(MaxHeartbeatPeers - remote)
	return append(local, otherDataCentres.best[:remote]...)
}

// ranking collects the nodes with the highest rendezvous weight for a key, the highest
// first, and the successor by id.
type ranking struct {
	key       string
	count     int
	best      []Member
	weights   []uint64
	lowest    Member
	successor Member
}

func (r *ranking) add(node Member) {
	r.count++
	nodeWeight := weight(node.ID, r.key)
	rank := len(r.weights)
	for rank > 0 && r.weights[rank-1] < nodeWeight {
		rank--
	}
	if rank < MaxHeartbeatPeers {
		r.best = slices.Insert(r.best, rank, node)
		r.weights = slices.Insert(r.weights, rank, nodeWeight)
		r.best = r.best[:min(len(r.best), MaxHeartbeatPeers)]
		r.weights = r.weights[:len(r.best)]
	}
	if r.lowest.ID == "" || node.ID < r.lowest.ID {
		r.lowest = node
	}
	if node.ID > r.key && (r.successor.ID == "" || node.ID < r.successor.ID) {
		r.successor = node
	}
}

// withSuccessor returns up to limit nodes: the successor by id, which wraps around to
// the lowest, then those with the highest weight.
func (r *ranking) withSuccessor(limit int) []Member {
	next := r.successor
	if next.ID == "" {
		next = r.lowest
	}
	if limit == 0 || next.ID == "" {
		return nil
	}
	chosen := []Member{next}
	for _, node := range r.best {
		if len(chosen) < limit && node.ID != next.ID {
			chosen = append(chosen, node)
		}
	}
	return chosen
}

// WatchedUpstreams returns the upstreams whose load and health a node polls itself: all of a
// small fleet, else those that it owns by rendezvous hash among the live nodes of the
// upstream's data centre, or among all live nodes when that has none.
func WatchedUpstreams(view *View, id string) []Member {
	if len(view.Upstreams) <= watchAllLimit {
		return view.Upstreams
	}
	byDataCentre := map[string][]Member{}
	var live []Member
	for _, node := range view.Nodes {
		if node.Health != StateLive {
			continue
		}
		live = append(live, node)
		byDataCentre[node.DataCentre] = append(byDataCentre[node.DataCentre], node)
	}
	var watched []Member
	for _, upstream := range view.Upstreams {
		candidates := byDataCentre[upstream.DataCentre]
		if len(candidates) == 0 {
			candidates = live
		}
		if owner(candidates, upstream.ID) == id {
			watched = append(watched, upstream)
		}
	}
	return watched
}

// owner returns the id of the node with the highest weight for a key; "" when there is
// none.
func owner(nodes []Member, key string) string {
	var best string
	var bestWeight uint64
	for _, node := range nodes {
		if w := weight(node.ID, key); best == "" || w > bestWeight {
			best, bestWeight = node.ID, w
		}
	}
	return best
}

// weight is the rendezvous weight of a node for a key.
func weight(node, key string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(node)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// IsEngine reports whether the member is a model engine, which reports its load.
func (m Member) IsEngine() bool { return m.Role == api.HostRoleEngine }
