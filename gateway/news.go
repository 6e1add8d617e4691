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

// Suspicions returns a number that changes when peers should hear of suspected
// requests at once.
func (g *Gateway) Suspicions() int64 {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	return g.suspects.news
}

// Tell adds to a heartbeat what peers should know of suspected requests.
func (g *Gateway) Tell(own *api.Heartbeat) {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	for _, known := range g.suspects.table.Newest() {
		own.Suspicions = append(own.Suspicions, api.Suspicion{
			Fingerprint: strconv.FormatUint(known.Fingerprint, 16),
			Upstreams:   append([]string{}, known.Upstreams...),
			AtMS:        known.At.UnixMilli(),
		})
	}
	for _, host := range g.suspects.reserved {
		own.Reserved = append(own.Reserved, host)
	}
}

// Hear takes what a peer told of suspected requests.
func (g *Gateway) Hear(heard api.Heartbeat) {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	now := time.Now()
	for _, told := range heard.Suspicions[:min(len(heard.Suspicions), quarantine.MaxShared)] {
		key, err := strconv.ParseUint(told.Fingerprint, 16, 64)
		if err != nil {
			continue
		}
		g.suspects.table.Merge(quarantine.Suspicion{
			Fingerprint: key, Upstreams: told.Upstreams, At: time.UnixMilli(told.AtMS),
		}, now)
	}
	for _, host := range heard.Reserved {
		g.suspects.try(host, now)
	}
	if len(heard.Reserved) == 0 {
		delete(g.suspects.peers, heard.NodeID)
		return
	}
	g.suspects.peers[heard.NodeID] = peerReservations{hosts: heard.Reserved, heardAt: now}
}
