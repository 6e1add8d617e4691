package edge

import (
	"math"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/routing"
)

// Nodes tell each other how fast engines read prompts. In a large fleet a node sends an engine a request
// every half a minute, and would know a slow engine only after it has made many answers late.

const (
	// readingsInterval is the interval at which samples are sent to a peer, maxReadingsAge how long those
	// of a peer are used.
	readingsInterval = time.Second
	maxReadingsAge   = 3 * time.Second
	// minReadingWeight is the weight from which samples are sent.
	minReadingWeight = 0.05
	// weightUnits is the number of units of a weight in a message, sumUnit the unit of its larger sums.
	weightUnits           = 100
	sumUnit               = 1000
	millisecondsPerSecond = 1000
)

// outgoingReadings sums the samples of this node and of those that a message to a peer represents; nil if it
// has got them recently, or the fleet is a single cell, in which each node sends enough to every engine.
func (c *control) outgoingReadings(to *peerState, represented []*peerState, now time.Time) []api.EdgeReading {
	if c.cells.Count() <= 1 || now.Sub(to.readingsSentAt) < readingsInterval {
		return nil
	}
	to.readingsSentAt = now
	sum := map[uint32]routing.ReadingSamples{}
	for key, tracker := range c.trackers {
		if samples := tracker.Reading(c.gateClock()); samples.Weight >= minReadingWeight {
			sum[upstreamHash(key)] = samples
		}
	}
	for _, peer := range represented {
		peer.addReadings(sum, now)
	}
	readings := make([]api.EdgeReading, 0, len(sum))
	for upstream, samples := range sum {
		readings = append(readings, api.EdgeReading{
			Upstream: upstream, Weight: units(samples.Weight * weightUnits), Tokens: units(samples.Tokens),
			MS: units(samples.Seconds * millisecondsPerSecond), TokensSquared: units(samples.TokensSquared / sumUnit),
			TokenMS: units(samples.TokenSeconds * millisecondsPerSecond / sumUnit),
		})
	}
	return readings[:min(maxLoads, len(readings))]
}

func units(value float64) int64 { return int64(math.Round(value)) }

// applyReadings replaces the samples of a peer; sampledAt is the time that their weights are for, by the
// clock of the trackers.
func (p *peerState) applyReadings(readings []api.EdgeReading, sampledAt, now time.Time) {
	if readings == nil {
		return
	}
	p.readings, p.readingsAt = make(map[uint32]routing.ReadingSamples, len(readings)), now
	for _, r := range readings {
		p.readings[r.Upstream] = routing.ReadingSamples{
			Weight: float64(r.Weight) / weightUnits, Tokens: float64(r.Tokens), Seconds: float64(r.MS) / millisecondsPerSecond,
			TokensSquared: float64(r.TokensSquared) * sumUnit, TokenSeconds: float64(r.TokenMS) * sumUnit / millisecondsPerSecond,
			At: sampledAt,
		}
	}
}

// addReadings adds the samples of a peer, unless they are old.
func (p *peerState) addReadings(sum map[uint32]routing.ReadingSamples, now time.Time) {
	if now.Sub(p.readingsAt) > maxReadingsAge {
		return
	}
	for upstream, samples := range p.readings {
		sum[upstream] = sum[upstream].Plus(samples)
	}
}

// refreshFleetReadings sums the samples of the other nodes.
func (c *control) refreshFleetReadings(now time.Time) {
	if now.Sub(c.fleetReadingsAt) < readingsInterval {
		return
	}
	c.fleetReadingsAt, c.fleetReadings = now, map[uint32]routing.ReadingSamples{}
	for _, peer := range c.peersWithLoad(now) {
		peer.addReadings(c.fleetReadings, now)
	}
}
