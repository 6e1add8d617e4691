package gateway

import (
	"strconv"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/quarantine"
)

// OnSuspicion sets the callback that announces a new suspicion to peers immediately.
func (g *Gateway) OnSuspicion(callback func()) {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	g.suspects.onChange = callback
}

// SuspicionRevision returns the revision of the suspicions and reservations of this node.
// It increases whenever peers should be informed immediately.
func (g *Gateway) SuspicionRevision() int64 {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	return g.suspects.revision
}

// FillHeartbeat adds the suspected requests and reservations of this node to a heartbeat.
func (g *Gateway) FillHeartbeat(heartbeat *api.Heartbeat) {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	for _, suspicion := range g.suspects.table.Newest() {
		heartbeat.Suspicions = append(heartbeat.Suspicions, encodeSuspicion(suspicion))
	}
	for key, host := range g.suspects.reserved {
		heartbeat.Reserved = append(heartbeat.Reserved, api.Reservation{HostID: host, Fingerprint: strconv.FormatUint(key, 16)})
	}
}

// ApplyHeartbeat merges the suspected requests and reservations in a peer's heartbeat.
func (g *Gateway) ApplyHeartbeat(heartbeat api.Heartbeat) {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	now := time.Now()
	for _, received := range heartbeat.Suspicions[:min(len(heartbeat.Suspicions), quarantine.MaxSuspicionsPerMessage)] {
		g.suspects.merge(received, now)
	}
	for _, reservation := range heartbeat.Reserved {
		g.suspects.recordIsolatedRun(reservation.HostID, now)
	}
	// Heartbeats may be reordered, so an empty list replaces a recent one only after a delay.
	last := g.suspects.reservationsByPeer[heartbeat.NodeID]
	if len(heartbeat.Reserved) > 0 || now.Sub(last.receivedAt) > announceDelay {
		g.suspects.reservationsByPeer[heartbeat.NodeID] = peerReservations{reservations: heartbeat.Reserved, receivedAt: now}
	}
}

// merge merges a suspicion of another node; one without a valid fingerprint is ignored.
// The caller holds the lock.
func (s *suspects) merge(received api.Suspicion, now time.Time) {
	key, err := strconv.ParseUint(received.Fingerprint, 16, 64)
	if err != nil {
		return
	}
	s.table.Merge(quarantine.Suspicion{Fingerprint: key, Upstreams: received.Upstreams, At: time.UnixMilli(received.AtMS)}, now)
}

// suspicion returns the suspicion of one request; nil when there is none. The caller holds
// the lock.
func (s *suspects) suspicion(key uint64) *api.Suspicion {
	entry, ok := s.table.Get(key)
	if !ok {
		return nil
	}
	suspicion := encodeSuspicion(entry)
	return &suspicion
}

func encodeSuspicion(suspicion quarantine.Suspicion) api.Suspicion {
	return api.Suspicion{
		Fingerprint: strconv.FormatUint(suspicion.Fingerprint, 16),
		Upstreams:   append([]string{}, suspicion.Upstreams...),
		AtMS:        suspicion.At.UnixMilli(),
	}
}
