package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/upstream"
)

const (
	// handoverTimeout bounds one attempt to hand over the journal.
	handoverTimeout = 3 * time.Second
	// maxHandoverAttempts bounds the number of successors that are tried.
	maxHandoverAttempts = 3
	// peerFreshness is the age up to which a heartbeat shows that a peer is alive.
	peerFreshness = 5 * time.Second
	// callsPoll is the interval at which the calls in flight are checked.
	callsPoll = 5 * time.Millisecond
)

// errNoSuccessor is returned when no peer accepted the journal.
var errNoSuccessor = errors.New("no peer took the journal of operations")

// WaitCalls waits until no call that must not be repeated is in flight.
func (g *Gateway) WaitCalls(ctx context.Context) error {
	ticker := time.NewTicker(callsPoll)
	defer ticker.Stop()
	for g.calls.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Abort cancels all calls immediately, as a crash would.
func (g *Gateway) Abort() { g.endLifetime() }

// HandOverOperations stops sending bound operations from this node and hands its journal of
// operations to a successor. It is part of a planned stop.
func (g *Gateway) HandOverOperations(ctx context.Context) error {
	o := g.operations
	o.mu.Lock()
	handovers := o.journal.Seal()
	needed := o.issued || len(handovers) > 1
	o.mu.Unlock()
	if !needed {
		return nil
	}
	successor, err := g.handOverToPeer(ctx, handovers)
	if err != nil {
		return err
	}
	g.announceSuccessor(ctx, handovers, successor)
	return nil
}

// handOverToPeer tries peers in turn. After an attempt with an unknown outcome no other
// peer is tried, since two successors could then both send the same operation.
func (g *Gateway) handOverToPeer(ctx context.Context, handovers []api.OperationHandover) (control.Peer, error) {
	var lastErr error
	for i, candidate := range g.successors() {
		if i == maxHandoverAttempts {
			break
		}
		err := g.handOverParts(ctx, handovers, candidate)
		if err == nil {
			g.Logger.Info().Str("successor", candidate.NodeID).Msg("journal of operations handed over")
			return candidate, nil
		}
		lastErr = err
		var failed *upstream.Error
		if !errors.As(err, &failed) || failed.Sent == retry.MaybeSent {
			return candidate, err
		}
	}
	return control.Peer{}, errors.Join(errNoSuccessor, lastErr)
}

// handOverParts hands all parts to one peer. Another peer may be tried only if the first
// part failed.
func (g *Gateway) handOverParts(ctx context.Context, handovers []api.OperationHandover, to control.Peer) error {
	for i := range handovers {
		part := handovers[i]
		part.Successor = to.NodeID
		part.SuccessorIncarnation = to.Incarnation
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err := g.Peers.HandOverOperations(ctx, to.PeerAddress, part)
		cancel()
		if err != nil && i > 0 {
			return errors.Join(errNoSuccessor, errors.New(err.Error()))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// successors returns the ready peers, those of other data centres first, since a reclaim
// often affects a whole data centre.
func (g *Gateway) successors() []control.Peer {
	peers := slices.DeleteFunc(recentPeers(g.Control.Snapshot().Peers, time.Now()), func(p control.Peer) bool {
		return p.State != api.HeartbeatStateReady
	})
	slices.SortFunc(peers, func(a, b control.Peer) int {
		return cmp.Or(
			cmp.Compare(g.dataCentreRank(a), g.dataCentreRank(b)),
			cmp.Compare(a.NodeID, b.NodeID),
		)
	})
	return peers
}

// recentPeers returns the peers whose last heartbeat is recent, in whatever state it was.
func recentPeers(peers map[string]control.Peer, now time.Time) []control.Peer {
	var recent []control.Peer
	for _, candidate := range peers {
		if now.Sub(candidate.LastSeen) < peerFreshness {
			recent = append(recent, candidate)
		}
	}
	return recent
}

func (g *Gateway) dataCentreRank(candidate control.Peer) int {
	if candidate.DataCentre == g.Settings.DataCentre {
		return 1
	}
	return 0
}

// announceSuccessor announces the successor to the other peers, also to those that are not ready
// yet: they may serve calls by the time this node is gone. A peer that misses the announcement
// reports the outcome of the operations as unknown.
func (g *Gateway) announceSuccessor(ctx context.Context, handovers []api.OperationHandover, successor control.Peer) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, candidate := range recentPeers(g.Control.Snapshot().Peers, time.Now()) {
		if candidate.NodeID == successor.NodeID {
			continue
		}
		group.Go(func() { g.announceTo(ctx, handovers, successor, candidate) })
	}
	group.Wait()
}

func (g *Gateway) announceTo(ctx context.Context, handovers []api.OperationHandover, successor, recipient control.Peer) {
	for _, part := range handovers {
		part.Entries = []api.OperationEntry{}
		part.Successor = successor.NodeID
		part.SuccessorIncarnation = successor.Incarnation
		if err := g.Peers.HandOverOperations(ctx, recipient.PeerAddress, part); err != nil {
			g.Logger.Warn().Err(err).Str("peer", recipient.NodeID).Msg("failed to announce successor to peer")
		}
	}
}

// peerHandover receives the journal of a node that stops, or the announcement of its
// successor.
func (g *Gateway) peerHandover(w http.ResponseWriter, r *http.Request) {
	var handover api.OperationHandover
	if err := json.NewDecoder(r.Body).Decode(&handover); err != nil {
		refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "the handover can't be read: %v", err).Write(w, "")
		return
	}
	o := g.operations
	o.mu.Lock()
	adopted := o.journal.Adopt(handover)
	o.mu.Unlock()
	if !adopted {
		refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining, "this node can't be the successor").Write(w, "")
		return
	}
	w.WriteHeader(http.StatusOK)
}
