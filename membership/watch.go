package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// MaxHeartbeatPeers bounds the nodes that a node exchanges heartbeats with.
	MaxHeartbeatPeers = 4
	// remotePartners of them are in other data centres, so that news crosses cells.
	remotePartners = 2
	// maxWatched is the number of upstreams up to which every node watches all; it has
	// room for the hosts that replace a data centre's while those still leave.
	maxWatched = 48
)

// HeartbeatPeers returns the nodes that a node sends heartbeats to: all others of a small
// fleet. In a large one these are the next by id in its own data centre, so that news
// goes round the whole of it, and the first by rendezvous hash there and elsewhere.
func HeartbeatPeers(nodes []Member, id, dataCentre string) []Member {
	near := ranking{key: id}
	far := ranking{key: id}
	for _, node := range nodes {
		switch {
		case node.ID == id:
		case node.DataCentre == dataCentre:
			near.add(node)
		default:
			far.add(node)
		}
	}
	if near.count+far.count <= MaxHeartbeatPeers {
		return append(near.best, far.best...)
	}
	remote := min(far.count, max(remotePartners, MaxHeartbeatPeers-near.count))
	local := near.withSuccessor(MaxHeartbeatPeers - remote)
	return append(local, far.best[:remote]...)
}

// ranking keeps the nodes with the highest rendezvous weight for a key, the highest
// first, and the next node by id.
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
	own := weight(node.ID, r.key)
	place := len(r.weights)
	for place > 0 && r.weights[place-1] < own {
		place--
	}
	if place < MaxHeartbeatPeers {
		r.best = slices.Insert(r.best, place, node)
		r.weights = slices.Insert(r.weights, place, own)
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

// withSuccessor returns up to limit nodes: the next by id round the ring, then the
// highest.
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

// Watched returns the upstreams whose load and health a node reads itself: all of a
// small fleet, else those that it owns by rendezvous hash among the live nodes of
// the upstream's data centre, or among all live nodes when there are none.
func Watched(view *View, id string) []Member {
	if len(view.Upstreams) <= maxWatched {
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

// owner returns the node with the highest weight for a key; "" when there is none.
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

// IsEngine says whether the member is a model engine, which reports its load.
func (m Member) IsEngine() bool { return m.Role == api.HostRoleEngine }
