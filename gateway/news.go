package gateway

import (
	"strconv"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/quarantine"
)

// OnSuspicion sets what is called when peers should hear of a suspicion at once.
func (g *Gateway) OnSuspicion(changed func()) {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	g.suspects.changed = changed
}

// SuspicionRevision returns a number that changes when peers should hear of suspected
// requests at once.
func (g *Gateway) SuspicionRevision() int64 {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	return g.suspects.news
}

// FillHeartbeat adds to a heartbeat what peers should know of suspected requests.
func (g *Gateway) FillHeartbeat(own *api.Heartbeat) {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	for _, known := range g.suspects.table.Newest() {
		own.Suspicions = append(own.Suspicions, suspicionOf(known))
	}
	for key, host := range g.suspects.reserved {
		own.Reserved = append(own.Reserved, api.Reservation{HostID: host, Fingerprint: strconv.FormatUint(key, 16)})
	}
}

// ApplyHeartbeat takes what a peer told of suspected requests.
func (g *Gateway) ApplyHeartbeat(heard api.Heartbeat) {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	now := time.Now()
	for _, told := range heard.Suspicions[:min(len(heard.Suspicions), quarantine.MaxShared)] {
		g.suspects.merge(told, now)
	}
	for _, reservation := range heard.Reserved {
		g.suspects.try(reservation.HostID, now)
	}
	// News may overtake each other, so an end of all reservations counts a little later.
	known := g.suspects.peers[heard.NodeID]
	if len(heard.Reserved) > 0 || now.Sub(known.heardAt) > announceWait {
		g.suspects.peers[heard.NodeID] = peerReservations{list: heard.Reserved, heardAt: now}
	}
}

// merge takes what another node told of one request; what can't be read is passed over.
// The caller holds the lock.
func (s *suspects) merge(told api.Suspicion, now time.Time) {
	key, err := strconv.ParseUint(told.Fingerprint, 16, 64)
	if err != nil {
		return
	}
	s.table.Merge(quarantine.Suspicion{Fingerprint: key, Upstreams: told.Upstreams, At: time.UnixMilli(told.AtMS)}, now)
}

// about returns what is known of one request; nil when nothing is. The caller holds the
// lock.
func (s *suspects) about(key uint64) *api.Suspicion {
	known, ok := s.table.Get(key)
	if !ok {
		return nil
	}
	told := suspicionOf(known)
	return &told
}

func suspicionOf(known quarantine.Suspicion) api.Suspicion {
	return api.Suspicion{
		Fingerprint: strconv.FormatUint(known.Fingerprint, 16),
		Upstreams:   append([]string{}, known.Upstreams...),
		AtMS:        known.At.UnixMilli(),
	}
}
