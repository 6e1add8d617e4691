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
	// clocksTold bounds the estimates of the time in a message; a median needs a few.
	clocksTold = 6
	// hubChange is how long after a change of its hub a node tells what the former one knew.
	hubChange = time.Second
	// mostLoads bounds the upstreams whose load a message tells.
	mostLoads = 1 << 14
)

// encodeMessage returns a message's bytes. Fields go by their place, which both sides take
// from the same schema.
func encodeMessage(message any) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.SetCustomStructTag("json")
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	encoder.UseCompactFloats(true)
	if err := encoder.Encode(message); err != nil {
		return nil, fmt.Errorf("encode a message to a peer: %w", err)
	}
	return out.Bytes(), nil
}

// decodeMessage reads a message's bytes.
func decodeMessage(raw []byte, message any) error {
	decoder := msgpack.NewDecoder(bytes.NewReader(raw))
	decoder.SetCustomStructTag("json")
	if err := decoder.Decode(message); err != nil {
		return fmt.Errorf("decode a message of a peer: %w", err)
	}
	return nil
}

// upstreamHash names an upstream's incarnation in messages. Two that share a hash share the
// load that peers tell of, which misplaces a request at worst.
func upstreamHash(key string) uint32 { return uint32(xxhash.Sum64String(key)) }

// messageTo is what this node tells a peer. One that reports to this node, or should, is told all
// that this node hears of; others what this node and its reporters know.
func (c *control) messageTo(to *peerState, now time.Time) *api.EdgeExchange {
	c.divide()
	e := c.edge
	all := to != c.reportsTo && (to.reporter || c.cells.Precedes(e.settings.Name, to.name))
	message := &api.EdgeExchange{
		Node: e.settings.Name, Incarnation: e.incarnation, Address: e.peerAddress(), DataCentre: e.settings.DataCentre,
		ClockMS: e.clock.now().UnixMilli(), SentMS: now.UnixMilli(), All: all,
		ConfigVersion: c.configVersion(), ConfigAgeMS: ageMS(c.confirmedAt, now),
		RegistryAgeMS: ageMS(c.registryAt, now),
		Load:          c.loadTold(to, all, now), Suspicions: c.suspicions(now), Leaving: c.leavingTold(now), Limits: c.limitsTold(to),
		Placed: []api.EdgePlacement{}, PlacedSeen: to.placed, MembersKnown: to.membersVersion, RegistrySeen: to.registrySeen,
	}
	if c.reportsTo != nil {
		message.Hub = c.reportsTo.name
	}
	e.ledgerLock.Lock()
	speaksFor := func(name string) bool {
		peer := c.peers[name]
		return peer != nil && c.speaksFor(peer, to, all)
	}
	message.QuotaUsed, message.Nodes = e.ledger.UsageForPeer(to.name, speaksFor, all, now)
	if now.Sub(c.followedAt) < hubChange || (all && c.reportsTo != nil) {
		message.QuotaBase = e.ledger.Baseline(message.QuotaUsed, to.name, speaksFor, all, now)
	}
	if to.fresh {
		message.QuotaLevels = e.ledger.Levels(now)
	}
	e.ledgerLock.Unlock()
	if c.sameCell(to.name) {
		message.Placed = c.placements(to, now)
	}
	if all {
		message.Registry = c.registryTold(to, now)
		message.Clocks = e.clock.some(clocksTold)
	}
	message.UsageWanted, message.Usage = c.duties.holds.Load(), c.usageTold(to, all, now)
	members, version := c.membersTold(all, now)
	message.MembersVersion = version
	if to.knowsMembers != version {
		message.Members = members
	}
	return message
}

// speaksFor says whether a message to a peer tells what another one knows. A reporter's part goes
// to nodes that precede it alone, so that it can't come back to it in a circle.
func (c *control) speaksFor(peer, to *peerState, all bool) bool {
	if peer == to {
		return false
	}
	return all || (peer.reporter && (!c.sameCell(to.name) || c.cells.Precedes(to.name, peer.name)))
}

// ageMS returns the time since something was known, in milliseconds; very long for what was never known.
func ageMS(at, now time.Time) int64 {
	if at.IsZero() {
		return neverMS
	}
	return max(0, now.Sub(at).Milliseconds())
}

// asOf returns when something was known that had an age, in milliseconds, at a time.
func asOf(ageMS int64, at time.Time) time.Time {
	return at.Add(-time.Duration(max(0, ageMS)) * time.Millisecond)
}

// neverMS is the age of what was never known: longer than any bound, short enough to add to.
const neverMS = int64(24 * time.Hour / time.Millisecond)

// loadTold sums the load of the nodes that a message to a peer speaks for.
func (c *control) loadTold(to *peerState, all bool, now time.Time) []api.EdgeLoad {
	sum := map[uint32]api.EdgeLoad{}
	for key, tracker := range c.trackers {
		if running := tracker.InFlight.Load(); running > 0 {
			due, queued := tracker.AwaitingFirstToken()
			hash := upstreamHash(key)
			sum[hash] = api.EdgeLoad{Upstream: hash, Running: int(running), Due: due, QueuedTokens: queued}
		}
	}
	for _, peer := range c.loadPeers(now) {
		if c.speaksFor(peer, to, all) {
			addLoads(sum, peer.message.Load)
		}
	}
	loads := make([]api.EdgeLoad, 0, len(sum))
	for _, load := range sum {
		loads = append(loads, load)
	}
	return loads[:min(mostLoads, len(loads))]
}

// loadPeers returns the peers whose loads count. What the hub tells stands for all but the
// reporters, so that other peers add nothing to it.
func (c *control) loadPeers(now time.Time) []*peerState {
	var peers, others []*peerState
	told := false
	for _, peer := range c.peers {
		if peer.message == nil || now.Sub(peer.heardAt) > loadFresh {
			continue
		}
		switch {
		case peer.message.All && peer == c.reportsTo:
			told = true
			peers = append(peers, peer)
		case peer.reporter:
			peers = append(peers, peer)
		case !peer.message.All:
			others = append(others, peer)
		}
	}
	if told {
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

// leavingTold are the upstreams that leave, and those whose entries were removed lately.
func (c *control) leavingTold(now time.Time) []api.EdgeLeaving {
	told := []api.EdgeLeaving{}
	leaving, removed := c.registry.LeavingSince(now.Add(-removalTold))
	for _, member := range leaving {
		told = append(told, api.EdgeLeaving{ID: member.ID, BornMS: member.BornMS})
	}
	for _, removal := range removed {
		told = append(told, removalMessage(removal))
	}
	return told
}

func removalMessage(removal fleet.Removal) api.EdgeLeaving {
	return api.EdgeLeaving{ID: removal.ID, BornMS: removal.BornMS, Removed: true, Sequence: removal.Sequence}
}

// takeLeaving takes what a peer knows of upstreams that leave or were removed.
func (c *control) takeLeaving(told []api.EdgeLeaving, now time.Time) {
	for _, leaving := range told {
		if leaving.Removed {
			c.changed(c.registry.ApplyPeerRemoval(fleet.Removal{
				ID: leaving.ID, BornMS: leaving.BornMS, Sequence: leaving.Sequence,
			}, now))
			continue
		}
		c.changed(c.registry.MarkLeaving(leaving.ID, leaving.BornMS, now))
	}
}

// usageTold are the counts of this node and of those that report to it. Of the nodes that are told
// all, the holder of the duties gets the counts of every node, and so does the one that would be
// the next hub, since this node may die with others.
func (c *control) usageTold(to *peerState, all bool, now time.Time) map[string]usage.Windows {
	if all && ((to.message != nil && to.message.UsageWanted) || to == c.deputy(now)) {
		return c.allUsage(usageWindowsTold)
	}
	told := map[string]usage.Windows{c.edge.incarnation: c.edge.ownUsage(usageWindowsTold)}
	for _, peer := range c.peers {
		if !all && c.speaksFor(peer, to, false) && peer.message != nil && peer.heard(now) {
			for incarnation, windows := range peer.message.Usage {
				told[incarnation] = windows
			}
		}
	}
	return told
}

// allUsage returns the counts of all nodes in the newest windows.
func (c *control) allUsage(windows int) (all map[string]usage.Windows) {
	c.edge.meter(func() { all = c.edge.usage.AllWindows(windows) })
	return all
}

// registryTold is what a reporter misses of the registry.
func (c *control) registryTold(to *peerState, now time.Time) *api.EdgeRegistry {
	changes := c.registry.ChangesSince(to.registryTold)
	told := &api.EdgeRegistry{
		Version: changes.Version, Whole: changes.Full, AgeMS: ageMS(c.registryAt, now), Hash: changes.Hash,
		Upstreams: make([]api.EdgeUpstream, 0, len(changes.Upstreams)), Removed: make([]api.EdgeLeaving, 0, len(changes.Removed)),
	}
	for i := range changes.Upstreams {
		member := &changes.Upstreams[i]
		told.Upstreams = append(told.Upstreams, api.EdgeUpstream{
			ID: member.ID, BornMS: member.BornMS, Service: member.Service, Address: member.Address, DataCentre: member.DataCentre,
			Slots: member.Slots, Draining: member.Draining, Reclaimable: member.Reclaimable, LeavesMS: member.TimeLeft.Milliseconds(),
			Sequence: member.Sequence, Offset: member.Offset,
		})
	}
	for _, removal := range changes.Removed {
		told.Removed = append(told.Removed, removalMessage(removal))
	}
	return told
}

// takeRegistry takes what the hub knows of the registry, as of an age.
func (c *control) takeRegistry(hub *peerState, told *api.EdgeRegistry, readAt, now time.Time) {
	entries := make([]fleet.Entry, 0, len(told.Upstreams))
	upTo := int64(-1)
	for i := range told.Upstreams {
		u := &told.Upstreams[i]
		entries = append(entries, fleet.Entry{
			ID: u.ID, BornMS: u.BornMS, Service: u.Service, Address: u.Address, DataCentre: u.DataCentre, Slots: u.Slots,
			Draining: u.Draining, Reclaimable: u.Reclaimable, TimeLeft: time.Duration(u.LeavesMS) * time.Millisecond,
			Sequence: u.Sequence, Offset: u.Offset,
		})
		upTo = max(upTo, u.Offset)
	}
	if told.Whole {
		c.changed(c.registry.Replace(entries, upTo, now))
	} else {
		for _, entry := range entries {
			c.changed(c.registry.Put(entry, now))
		}
		c.takeLeaving(told.Removed, now)
	}
	hub.registrySeen = told.Version
	if readAt.After(c.registryAt) {
		c.registryRead(readAt)
	}
	if told.Hash == c.registry.Hash() {
		c.mismatches = 0
		return
	}
	// News of other peers may be ahead of the hub's for some exchanges.
	if c.mismatches++; c.mismatches >= mostMismatches {
		c.edge.logger.Warn().Str("hub", hub.name).Int64("version", told.Version).Msg("registry differs from the hub's, asking for all of it")
		c.mismatches, hub.registrySeen = 0, 0
	}
}

// mostMismatches is the number of exchanges in a row in which the registry may differ from the
// hub's before all of it is asked for.
const mostMismatches = 20

// membersTold are the live nodes that a message speaks of, and a hash of them.
func (c *control) membersTold(all bool, now time.Time) ([]api.EdgeMember, uint64) {
	e := c.edge
	members := []api.EdgeMember{{Name: e.settings.Name, Address: e.peerAddress(), DataCentre: e.settings.DataCentre}}
	for name, peer := range c.peers {
		if !peer.answers() {
			continue
		}
		if (all && peer.live(now)) || (peer.heard(now) && c.sameCell(name)) {
			members = append(members, api.EdgeMember{Name: name, Address: peer.address, DataCentre: peer.dataCentre})
		}
	}
	var version uint64
	for _, member := range members {
		version ^= xxhash.Sum64String(member.Name + "\n" + member.Address)
	}
	return members, version
}

// takeMembers notes the nodes that a peer hears of.
func (c *control) takeMembers(peer *peerState, message *api.EdgeExchange, now time.Time) {
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
			known.toldAt = now
		}
	}
}
