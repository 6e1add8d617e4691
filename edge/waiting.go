package edge

import (
	"time"

	"github.com/persimmonline/persimmonline/limit"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/routing"
)

// rooms returns what this node knows of the places at the engines of each service whose requests
// differ in rank.
func (c *control) rooms(byService map[string][]*routing.Upstream, now time.Time) map[string]limit.Room {
	rooms := map[string]limit.Room{}
	if c.table == nil {
		return rooms
	}
	reporting := c.peersWithLoad(now)
	for service, upstreams := range byService {
		if !c.table.Ranked(service) {
			continue
		}
		room := limit.Room{Nodes: c.nodeCount(now)}
		room.Alone = room.Nodes > 1 && len(reporting) == 0
		for _, peer := range reporting {
			room.WaitingElsewhere += peer.lastMessage.Waiting[service]
		}
		for _, upstream := range upstreams {
			if upstream.Health == membership.StateLive && !upstream.Leaving {
				room.AddEngine(upstream.Load.BatchSlots, upstream.Load.Running)
			}
		}
		rooms[service] = room
	}
	return rooms
}

// outgoingWaiting sums the waiting requests of this node and of those that a message represents.
func (c *control) outgoingWaiting(represented []*peerState) map[string]int {
	sum := c.edge.handler.Waiting()
	for _, peer := range represented {
		if len(peer.lastMessage.Waiting) == 0 {
			continue
		}
		if sum == nil {
			sum = map[string]int{}
		}
		for service, waiting := range peer.lastMessage.Waiting {
			sum[service] += waiting
		}
	}
	return sum
}
