package edge

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/usage"
)

const (
	// maxClocks bounds the clock estimates in a message; a median needs only a few.
	maxClocks = 6
	// maxLoads bounds the number of upstream loads in a message.
	maxLoads = 1 << 14
)

// encodeMessage encodes a message. Fields are identified by position, which both sides take from
// the same schema.
func encodeMessage(message any) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.SetCustomStructTag("json")
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	encoder.UseCompactFloats(true)
	if err := encoder.Encode(message); err != nil {
		return nil, fmt.Errorf("encode peer message: %w", err)
	}
	return out.Bytes(), nil
}

// decodeMessage decodes a message that encodeMessage encoded.
func decodeMessage(raw []byte, message any) error {
	decoder := msgpack.NewDecoder(bytes.NewReader(raw))
	decoder.SetCustomStructTag("json")
	if err := decoder.Decode(message); err != nil {
		return fmt.Errorf("decode peer message: %w", err)
	}
	return nil
}

// upstreamHash identifies an upstream's incarnation in messages. On a collision two upstreams
// share the load that peers report, which at worst leads to a suboptimal routing decision.
func upstreamHash(key string) uint32 { return uint32(xxhash.Sum64String(key)) }

// buildMessage returns the message to a peer. A peer that reports to this node, or should, gets the
// state of all nodes that this node knows of; others get that of this node and its reporters.
func (c *control) buildMessage(to *peerState, now time.Time) *api.EdgeExchange {
	c.refreshCells()
	e := c.edge
	toReporter := to != c.reportsTo && (to.reporter || c.cells.Precedes(e.settings.Name, to.name))
	represented := c.representedPeers(to, toReporter, now)
	message := &api.EdgeExchange{
		Node: e.settings.Name, Incarnation: e.incarnation, Address: e.peerAddress(), DataCentre: e.settings.DataCentre,
		ClockMS: e.clock.now().UnixMilli(), SentMS: now.UnixMilli(), All: toReporter,
		ConfigVersion: c.configVersion(), ConfigAgeMS: ageMS(c.configConfirmedAt, now),
		RegistryAgeMS: ageMS(c.registryCurrentAt, now),
		Load:          c.outgoingLoad(represented), Suspicions: c.outgoingSuspicions(now), Leaving: c.outgoingLeaving(now), Limits: c.outgoingLimits(to),
		Waiting: c.outgoingWaiting(represented), Readings: c.outgoingReadings(to, represented, now),
		Placed: []api.EdgePlacement{}, PlacedSeen: to.receivedPlacement, MembersKnown: to.membersVersion, RegistrySeen: to.registryVersion,
	}
	if c.reportsTo != nil {
		message.Hub = c.reportsTo.name
	}
	c.addQuota(message, to, now)
	if c.sameCell(to.name) {
		message.Placed = c.outgoingPlacements(to, now)
	}
	if toReporter {
		message.Registry = c.outgoingRegistry(to, now)
		message.Clocks = e.clock.sampleEstimates(maxClocks)
	}
	message.Rollouts, message.RolloutCounts = c.rollouts.outgoing(now), c.rollouts.outgoingCounts(to, toReporter, now)
	message.UsageWanted, message.Usage = c.duties.leaseHeld.Load(), c.outgoingUsage(to, toReporter, now)
	members, version := c.outgoingMembers(toReporter, now)
	message.MembersVersion = version
	if to.ackedMembersVersion != version {
		message.Members = members
	}
	return message
}

// represents reports whether a message to a peer includes the state of another peer. Within the cell
// a reporter's state is sent only to nodes that rank before it, so that it can't return to the
// reporter in a loop.
func (c *control) represents(peer, to *peerState, toReporter bool) bool {
	if peer == to {
		return false
	}
	return toReporter || (peer.reporter && (!c.sameCell(to.name) || c.cells.Precedes(to.name, peer.name)))
}

// representedPeers returns the peers whose reported state a message to a peer includes in its sums.
func (c *control) representedPeers(to *peerState, toReporter bool, now time.Time) []*peerState {
	return slices.DeleteFunc(c.peersWithLoad(now), func(peer *peerState) bool { return !c.represents(peer, to, toReporter) })
}

// ageMS returns the time since at in milliseconds; unknownAgeMS if at is zero.
func ageMS(at, now time.Time) int64 {
	if at.IsZero() {
		return unknownAgeMS
	}
	return max(0, now.Sub(at).Milliseconds())
}

// timeOfAge returns the time of something that had an age in milliseconds at a given time.
func timeOfAge(ageMS int64, at time.Time) time.Time {
	return at.Add(-time.Duration(max(0, ageMS)) * time.Millisecond)
}

// unknownAgeMS is the age of data that was never received: longer than any bound, and short enough
// to add to without overflow.
const unknownAgeMS = int64(24 * time.Hour / time.Millisecond)

// outgoingLoad sums the load of this node and of those that a message represents.
func (c *control) outgoingLoad(represented []*peerState) []api.EdgeLoad {
	sum := map[uint32]api.EdgeLoad{}
	for key, tracker := range c.trackers {
		if running := tracker.InFlight.Load(); running > 0 {
			awaiting, queued := tracker.AwaitingFirstToken()
			hash := upstreamHash(key)
			sum[hash] = api.EdgeLoad{Upstream: hash, Running: int(running), Due: awaiting, QueuedTokens: queued}
		}
	}
	for _, peer := range represented {
		addLoads(sum, peer.lastMessage.Load)
	}
	loads := make([]api.EdgeLoad, 0, len(sum))
	for _, load := range sum {
		loads = append(loads, load)
	}
	return loads[:min(maxLoads, len(loads))]
}

// peersWithLoad returns the peers whose reported loads are to be summed. The hub's report covers all
// nodes but the reporters, so that other peers' loads are already included in it.
func (c *control) peersWithLoad(now time.Time) []*peerState {
	var peers, others []*peerState
	hubReports := false
	for _, peer := range c.peers {
		if peer.lastMessage == nil || now.Sub(peer.lastReceivedAt) > maxLoadAge {
			continue
		}
		switch {
		case peer.lastMessage.All && peer == c.reportsTo:
			hubReports = true
			peers = append(peers, peer)
		case peer.reporter:
			peers = append(peers, peer)
		case !peer.lastMessage.All:
			others = append(others, peer)
		}
	}
	if hubReports {
		return peers
	}
	return append(peers, others...)
}

func addLoads(sum map[uint32]api.EdgeLoad, loads []api.EdgeLoad) {
	for _, load := range loads {
		known := sum[load.Upstream]
		known.Upstream = load.Upstream
		known.Running += load.Running
		known.Due += load.Due
		known.QueuedTokens += load.QueuedTokens
		sum[load.Upstream] = known
	}
}

// outgoingLeaving returns the upstreams that are leaving, and those whose entries were recently
// removed.
func (c *control) outgoingLeaving(now time.Time) []api.EdgeLeaving {
	announced := []api.EdgeLeaving{}
	leaving, removed := c.registry.LeavingSince(now.Add(-removalAnnounceTime))
	for _, member := range leaving {
		announced = append(announced, api.EdgeLeaving{ID: member.ID, BornMS: member.BornMS})
	}
	for _, removal := range removed {
		announced = append(announced, removalMessage(removal))
	}
	return announced
}

func removalMessage(removal fleet.Removal) api.EdgeLeaving {
	return api.EdgeLeaving{ID: removal.ID, BornMS: removal.BornMS, Removed: true, Sequence: removal.Sequence}
}

// applyLeaving applies a peer's list of upstreams that are leaving or were removed.
func (c *control) applyLeaving(announced []api.EdgeLeaving, now time.Time) {
	for _, leaving := range announced {
		if leaving.Removed {
			c.handleChanges(c.registry.ApplyPeerRemoval(fleet.Removal{
				ID: leaving.ID, BornMS: leaving.BornMS, Sequence: leaving.Sequence,
			}, now))
			continue
		}
		c.handleChanges(c.registry.MarkLeaving(leaving.ID, leaving.BornMS, now))
	}
}

// outgoingUsage returns the counts of this node and of those that report to it. If toReporter is set,
// the holder of the duties gets the counts of every node, and so does the next hub in line, since this
// node may fail together with others.
func (c *control) outgoingUsage(to *peerState, toReporter bool, now time.Time) map[string]usage.Windows {
	if toReporter && ((to.lastMessage != nil && to.lastMessage.UsageWanted) || to == c.nextHub(now)) {
		return c.allUsage(usageWindowsSent)
	}
	counts := map[string]usage.Windows{c.edge.incarnation: c.edge.ownUsage(usageWindowsSent)}
	for _, peer := range c.peers {
		if !toReporter && c.represents(peer, to, false) && peer.lastMessage != nil && peer.recentlyReceived(now) {
			for incarnation, windows := range peer.lastMessage.Usage {
				counts[incarnation] = windows
			}
		}
	}
	return counts
}

// allUsage returns the counts of all nodes for the newest windows.
func (c *control) allUsage(windows int) (counts map[string]usage.Windows) {
	c.edge.withUsage(func() { counts = c.edge.usage.AllWindows(windows) })
	return counts
}

// outgoingRegistry returns the registry changes that a reporter has not acknowledged.
func (c *control) outgoingRegistry(to *peerState, now time.Time) *api.EdgeRegistry {
	changes := c.registry.ChangesSince(to.ackedRegistryVersion)
	message := &api.EdgeRegistry{
		Version: changes.Version, Whole: changes.Full, AgeMS: ageMS(c.registryCurrentAt, now), Hash: changes.Hash,
		Upstreams: make([]api.EdgeUpstream, 0, len(changes.Upstreams)), Removed: make([]api.EdgeLeaving, 0, len(changes.Removed)),
	}
	for i := range changes.Upstreams {
		member := &changes.Upstreams[i]
		message.Upstreams = append(message.Upstreams, api.EdgeUpstream{
			ID: member.ID, BornMS: member.BornMS, Service: member.Service, Address: member.Address, DataCentre: member.DataCentre,
			Slots: member.Slots, Draining: member.Draining, Reclaimable: member.Reclaimable, LeavesMS: member.TimeLeft.Milliseconds(),
			Sequence: member.Sequence, Offset: member.Offset, Version: member.Version,
		})
	}
	for _, removal := range changes.Removed {
		message.Removed = append(message.Removed, removalMessage(removal))
	}
	return message
}

// applyRegistry applies the hub's changes of the registry, which were current at readAt.
func (c *control) applyRegistry(hub *peerState, message *api.EdgeRegistry, readAt, now time.Time) {
	entries := make([]fleet.Entry, 0, len(message.Upstreams))
	upTo := int64(-1)
	for i := range message.Upstreams {
		u := &message.Upstreams[i]
		entries = append(entries, fleet.Entry{
			ID: u.ID, BornMS: u.BornMS, Service: u.Service, Address: u.Address, DataCentre: u.DataCentre, Slots: u.Slots,
			Draining: u.Draining, Reclaimable: u.Reclaimable, TimeLeft: time.Duration(u.LeavesMS) * time.Millisecond,
			Sequence: u.Sequence, Offset: u.Offset, Version: u.Version,
		})
		upTo = max(upTo, u.Offset)
	}
	if message.Whole {
		c.handleChanges(c.registry.Replace(entries, upTo, now))
	} else {
		for _, entry := range entries {
			c.handleChanges(c.registry.Put(entry, now))
		}
		c.applyLeaving(message.Removed, now)
	}
	hub.registryVersion = message.Version
	if readAt.After(c.registryCurrentAt) {
		c.markRegistryCurrent(readAt)
	}
	if message.Hash == c.registry.Hash() {
		c.mismatches = 0
		return
	}
	// Updates from other peers may be ahead of the hub's for some exchanges.
	if c.mismatches++; c.mismatches >= maxMismatches {
		c.edge.logger.Warn().Str("hub", hub.name).Int64("version", message.Version).Msg("registry differs from the hub's, requesting a full copy")
		c.mismatches, hub.registryVersion = 0, 0
	}
}

// maxMismatches is the number of consecutive exchanges in which the registry may differ from the
// hub's before a full copy is requested.
const maxMismatches = 20

// outgoingMembers returns the live nodes that a message lists, and a hash of them as their version.
func (c *control) outgoingMembers(toReporter bool, now time.Time) ([]api.EdgeMember, uint64) {
	e := c.edge
	members := []api.EdgeMember{{Name: e.settings.Name, Address: e.peerAddress(), DataCentre: e.settings.DataCentre}}
	for name, peer := range c.peers {
		if !peer.responsive() {
			continue
		}
		if (toReporter && peer.live(now)) || (peer.recentlyReceived(now) && c.sameCell(name)) {
			members = append(members, api.EdgeMember{Name: name, Address: peer.address, DataCentre: peer.dataCentre})
		}
	}
	var version uint64
	for _, member := range members {
		version ^= xxhash.Sum64String(member.Name + "\n" + member.Address)
	}
	return members, version
}

// applyMembers records the nodes that a peer reports as live.
func (c *control) applyMembers(peer *peerState, message *api.EdgeExchange, now time.Time) {
	if message.Members != nil {
		peer.members = peer.members[:0]
		for _, member := range message.Members {
			c.addPeer(member.Name, member.Address, member.DataCentre, now)
			if member.Name != c.edge.settings.Name && member.Name != peer.name {
				peer.members = append(peer.members, member.Name)
			}
		}
		slices.Sort(peer.members)
		peer.membersVersion = message.MembersVersion
	}
	if peer.membersVersion != message.MembersVersion {
		peer.membersVersion = 0
		return
	}
	for _, name := range peer.members {
		if known := c.peers[name]; known != nil {
			known.lastReportedAt = now
		}
	}
}
