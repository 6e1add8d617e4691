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

// blameWindow is how long after the end of a reservation, or the last report of one, a crash
// of the host is still attributed to the suspect that ran there.
const blameWindow = 2 * time.Second

// suspects holds the requests that are suspected of crashing upstreams, and the upstreams
// that are reserved to run one of them in isolation.
type suspects struct {
	mu    sync.Mutex
	table *quarantine.Table
	// reserved maps fingerprints to the hosts that this node reserved.
	reserved map[uint64]string
	// copyGroups maps the fingerprints of running prompts that never had a complete answer
	// on this node to their groups.
	copyGroups map[uint64]*copyGroup
	// granted maps the fingerprints of suspected prompts that another node may run in
	// isolation to the expiry of that grant.
	granted map[uint64]time.Time
	// diagnosing counts the failed attempts of a prompt whose cause is not known yet.
	diagnosing map[uint64]int
	// answered holds prompts that had a complete answer; answeredOrder has the newest last.
	answered      map[uint64]bool
	answeredOrder []uint64
	// isolatedUntil maps hosts on which a suspected request recently ran in isolation, here
	// or at a peer, to the time until which a crash of the host is attributed to it.
	isolatedUntil map[string]time.Time
	// reservationsByPeer holds the reservations of other nodes by node id.
	reservationsByPeer map[string]peerReservations
	// revision increases with each change that peers should be informed of.
	revision int64
	// onChange is called when peers should be informed immediately.
	onChange func()
}

type peerReservations struct {
	reservations []api.Reservation
	receivedAt   time.Time
}

func newSuspects() *suspects {
	return &suspects{
		table:              quarantine.NewTable(),
		reserved:           map[uint64]string{},
		isolatedUntil:      map[string]time.Time{},
		copyGroups:         map[uint64]*copyGroup{},
		granted:            map[uint64]time.Time{},
		diagnosing:         map[uint64]int{},
		answered:           map[uint64]bool{},
		reservationsByPeer: map[string]peerReservations{},
		onChange:           func() {},
	}
}

// fingerprint identifies the service and prompt of a request across the fleet and its
// callers.
func fingerprint(c *call) uint64 {
	return xxhash.Sum64String(c.service + "\x00" + strconv.FormatUint(prompt.Fingerprint(c.text), 16))
}

// recordCrash adds a suspicion against the request of an attempt whose upstream crashed. A
// request that ran beside an isolated suspect is not blamed for the crash.
func (g *Gateway) recordCrash(a *attempt) {
	now := time.Now()
	g.suspects.mu.Lock()
	if !a.chosen.blamable.Load() && g.suspects.runsIsolated(a.chosen.ID, now) {
		g.suspects.mu.Unlock()
		return
	}
	g.suspects.table.RecordCrash(fingerprint(a.state.call), a.chosen.ID+"/"+a.chosen.Incarnation, now)
	g.suspects.revision++
	notify := g.suspects.onChange
	g.suspects.mu.Unlock()
	notify()
}

// runsIsolated reports whether a suspected request runs in isolation on a host, or did
// within the blame window. The caller holds the lock.
func (s *suspects) runsIsolated(host string, now time.Time) bool {
	for _, reserved := range s.reserved {
		if reserved == host {
			return true
		}
	}
	return now.Before(s.isolatedUntil[host])
}

// recordIsolatedRun records that a suspected request ran in isolation on a host until now.
// The caller holds the lock.
func (s *suspects) recordIsolatedRun(host string, now time.Time) {
	s.isolatedUntil[host] = now.Add(blameWindow)
	for other, until := range s.isolatedUntil {
		if now.After(until) {
			delete(s.isolatedUntil, other)
		}
	}
}

// recordAnswered clears the suspicion against a request that completed in isolation, and
// remembers its prompt as harmless.
func (g *Gateway) recordAnswered(c *call, chosen *choice) {
	key := fingerprint(c)
	g.suspects.mu.Lock()
	g.suspects.rememberAnswered(key)
	if !chosen.isolated {
		g.suspects.mu.Unlock()
		return
	}
	g.suspects.table.RecordClearing(key, time.Now())
	g.suspects.revision++
	notify := g.suspects.onChange
	g.suspects.mu.Unlock()
	notify()
}

// verdict returns the verdict on a prompt. A prompt counts as suspected while the cause of a
// failed attempt is not known yet.
func (g *Gateway) verdict(key uint64) quarantine.Verdict {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	verdict := g.suspects.table.Verdict(key, time.Now())
	if verdict == quarantine.Normal && g.suspects.diagnosing[key] > 0 {
		return quarantine.Isolated
	}
	return verdict
}

// blockDuringDiagnosis prevents new attempts of a prompt until the returned function is
// called.
func (g *Gateway) blockDuringDiagnosis(key uint64) func() {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	g.suspects.diagnosing[key]++
	return func() {
		g.suspects.mu.Lock()
		defer g.suspects.mu.Unlock()
		if g.suspects.diagnosing[key]--; g.suspects.diagnosing[key] == 0 {
			delete(g.suspects.diagnosing, key)
		}
	}
}
