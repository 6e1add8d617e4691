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
	// handoverTimeout bounds one try to hand the journal over.
	handoverTimeout = 3 * time.Second
	// handoverTries bounds the successors that are asked.
	handoverTries = 3
	// peerFresh is the age up to which a heartbeat counts as life.
	peerFresh = 5 * time.Second
	// callsPoll is the time between two looks at the calls in flight.
	callsPoll = 5 * time.Millisecond
)

// errNoSuccessor says that no peer took the journal.
var errNoSuccessor = errors.New("no peer took the journal of operations")

// WaitCalls waits until no call that may not be repeated is in flight.
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

// Abort ends all calls at once, as a crash would.
func (g *Gateway) Abort() { g.endLife() }

// HandOverOperations ends the sends of bound operations at this node and hands its journal to
// a successor. It is part of a planned stop.
func (g *Gateway) HandOverOperations(ctx context.Context) error {
	o := g.operations
	o.mu.Lock()
	handovers := o.journal.Seal()
	needed := o.issued || len(handovers) > 1
	o.mu.Unlock()
	if !needed {
		return nil
	}
	successor, err := g.handTo(ctx, handovers)
	if err != nil {
		return err
	}
	g.announceSuccessor(ctx, handovers, successor)
	return nil
}

// handTo tries peers in turn. After an ambiguous try no other peer is asked, since
// two successors could both send.
func (g *Gateway) handTo(ctx context.Context, handovers []api.OperationHandover) (control.Peer, error) {
	var last error
	for i, candidate := range g.successors() {
		if i == handoverTries {
			break
		}
		err := g.handAll(ctx, handovers, candidate)
		if err == nil {
			g.Logger.Info().Str("successor", candidate.NodeID).Msg("journal of operations handed over")
			return candidate, nil
		}
		last = err
		var failed *upstream.Error
		if !errors.As(err, &failed) || failed.Sent == retry.MaybeSent {
			return candidate, err
		}
	}
	return control.Peer{}, errors.Join(errNoSuccessor, last)
}

// handAll hands each part to one peer. Only a failure of the first part lets another
// peer be asked.
func (g *Gateway) handAll(ctx context.Context, handovers []api.OperationHandover, to control.Peer) error {
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

// successors returns live peers that stay, those of other data centres first, since
// a reclaim often takes a whole one.
func (g *Gateway) successors() []control.Peer {
	var peers []control.Peer
	for _, known := range g.Control.Snapshot().Peers {
		if known.State == api.HeartbeatStateReady && time.Since(known.LastSeen) < peerFresh {
			peers = append(peers, known)
		}
	}
	slices.SortFunc(peers, func(a, b control.Peer) int {
		return cmp.Or(
			cmp.Compare(g.isNear(a), g.isNear(b)),
			cmp.Compare(a.NodeID, b.NodeID),
		)
	})
	return peers
}

func (g *Gateway) isNear(known control.Peer) int {
	if known.DataCentre == g.Settings.DataCentre {
		return 1
	}
	return 0
}

// announceSuccessor tells the other peers whom to ask. A peer that does not hear of
// it answers that the outcome is unknown.
func (g *Gateway) announceSuccessor(ctx context.Context, handovers []api.OperationHandover, successor control.Peer) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, known := range g.successors() {
		if known.NodeID == successor.NodeID {
			continue
		}
		group.Go(func() { g.announceTo(ctx, handovers, successor, known) })
	}
	group.Wait()
}

func (g *Gateway) announceTo(ctx context.Context, handovers []api.OperationHandover, successor, known control.Peer) {
	for _, part := range handovers {
		part.Entries = []api.OperationEntry{}
		part.Successor = successor.NodeID
		part.SuccessorIncarnation = successor.Incarnation
		if err := g.Peers.HandOverOperations(ctx, known.PeerAddress, part); err != nil {
			g.Logger.Warn().Err(err).Str("peer", known.NodeID).Msg("peer not told of the successor")
		}
	}
}

// peerHandover takes the journal of a node that stops, or the news of its successor.
func (g *Gateway) peerHandover(w http.ResponseWriter, r *http.Request) {
	var handover api.OperationHandover
	if err := json.NewDecoder(r.Body).Decode(&handover); err != nil {
		refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "the handover can't be read: %v", err).Write(w, "")
		return
	}
	o := g.operations
	o.mu.Lock()
	taken := o.journal.Adopt(handover)
	o.mu.Unlock()
	if !taken {
		refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining, "this node can't be the successor").Write(w, "")
		return
	}
	w.WriteHeader(http.StatusOK)
}
