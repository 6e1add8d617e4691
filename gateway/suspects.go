package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/quarantine"
)

// triedFor is how long after a reservation, or after news of one, a death of the host
// is still put down to the suspect that ran there.
const triedFor = 2 * time.Second

// suspects holds what is known of requests that crash upstreams, and the upstreams
// that are reserved to run one of them alone.
type suspects struct {
	mu    sync.Mutex
	table *quarantine.Table
	// reserved upstreams of this node, by fingerprint.
	reserved map[uint64]string
	// together holds prompts that never had a whole answer here and run now.
	together map[uint64]*together
	// granted are suspected prompts that another node runs alone, and until when.
	granted map[uint64]time.Time
	// examining counts the failed attempts of a prompt whose cause is not known yet.
	examining map[uint64]int
	// answered are prompts that had a whole answer, the newest last.
	answered      map[uint64]bool
	answeredOrder []uint64
	// tried are hosts on which a suspected request ran alone lately, here or at a
	// peer, and until when a death of the host is put down to that request.
	tried map[string]time.Time
	// peers are the reservations of other nodes.
	peers map[string]peerReservations
	// news counts what peers should hear of.
	news int64
	// changed tells the node that its peers should hear of a crash now.
	changed func()
}

type peerReservations struct {
	list    []api.Reservation
	heardAt time.Time
}

func newSuspects() *suspects {
	return &suspects{
		table:     quarantine.NewTable(),
		reserved:  map[uint64]string{},
		tried:     map[string]time.Time{},
		together:  map[uint64]*together{},
		granted:   map[uint64]time.Time{},
		examining: map[uint64]int{},
		answered:  map[uint64]bool{},
		peers:     map[string]peerReservations{},
		changed:   func() {},
	}
}

// fingerprint names the request in the whole fleet, whoever sends it.
func fingerprint(c *call) uint64 {
	return xxhash.Sum64String(c.service + "\x00" + strconv.FormatUint(prompt.Fingerprint(c.text), 16))
}

// noteCrash suspects the request of an attempt whose upstream died. A request that ran
// beside a suspect under trial is not blamed for the death.
func (g *Gateway) noteCrash(a *attempt) {
	now := time.Now()
	g.suspects.mu.Lock()
	if !a.chosen.onTrial.Load() && g.suspects.onTrial(a.chosen.ID, now) {
		g.suspects.mu.Unlock()
		return
	}
	g.suspects.table.Crash(fingerprint(a.state.call), a.chosen.ID+"/"+a.chosen.Incarnation, now)
	g.suspects.news++
	changed := g.suspects.changed
	g.suspects.mu.Unlock()
	changed()
}

// onTrial says whether a suspected request runs alone at a host, or did just now. The
// caller holds the lock.
func (s *suspects) onTrial(host string, now time.Time) bool {
	for _, reserved := range s.reserved {
		if reserved == host {
			return true
		}
	}
	return now.Before(s.tried[host])
}

// try notes that a suspected request ran alone at a host until now. The caller holds
// the lock.
func (s *suspects) try(host string, now time.Time) {
	s.tried[host] = now.Add(triedFor)
	for known, until := range s.tried {
		if now.After(until) {
			delete(s.tried, known)
		}
	}
}

// noteAnswered forgets the suspicion against a request that ran alone to its end, and
// remembers that its prompt does no harm.
func (g *Gateway) noteAnswered(c *call, chosen *choice) {
	key := fingerprint(c)
	g.suspects.mu.Lock()
	g.suspects.remember(key)
	if !chosen.alone {
		g.suspects.mu.Unlock()
		return
	}
	g.suspects.table.Clear(key, time.Now())
	g.suspects.news++
	changed := g.suspects.changed
	g.suspects.mu.Unlock()
	changed()
}

// verdict returns what to do with a prompt; it is Alone while the cause of a failure
// is not known yet.
func (g *Gateway) verdict(key uint64) quarantine.Verdict {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	verdict := g.suspects.table.Verdict(key, time.Now())
	if verdict == quarantine.Normal && g.suspects.examining[key] > 0 {
		return quarantine.Solo
	}
	return verdict
}

// examineFirst keeps a prompt from running anywhere until the returned function is
// called.
func (g *Gateway) examineFirst(key uint64) func() {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	g.suspects.examining[key]++
	return func() {
		g.suspects.mu.Lock()
		defer g.suspects.mu.Unlock()
		if g.suspects.examining[key]--; g.suspects.examining[key] == 0 {
			delete(g.suspects.examining, key)
		}
	}
}
