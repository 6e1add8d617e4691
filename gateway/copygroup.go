package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// maxAnswered bounds the prompts that are remembered as harmless.
	maxAnswered = 8192
	// maxDeferrals is how often a prompt waits for its primary owner to diagnose a
	// failed attempt.
	maxDeferrals = 10
	// remoteCopyTTL is how long a copy at another node counts as running.
	remoteCopyTTL = 2 * time.Second
	// grantTTL is how long another node has the exclusive right to run a suspected prompt.
	grantTTL = 3 * time.Second
)

// copyGroup pins concurrent requests with the same prompt to one upstream, so that a
// prompt that crashes upstreams takes down only one of them, however many copies arrive
// at once.
type copyGroup struct {
	host     string
	attempts int
}

// joinCopyGroup returns the upstream that already runs copies of the prompt, or else opens
// a group at the picked upstream. A prompt that had a complete answer before may run
// anywhere. It returns nil when the upstream of the group is unavailable or the primary
// owner defers the prompt; after enough attempts it uses the picked upstream.
func (g *Gateway) joinCopyGroup(ctx context.Context, s *runState, picked *routing.Upstream, attempts int) *choice {
	key := fingerprint(s.call)
	if g.answeredBefore(key) {
		return &choice{Upstream: picked, release: func() {}}
	}
	host := g.askPrimaryOwner(ctx, s.call, api.PeerPrompt{HostID: picked.ID})
	if host == "" && attempts < maxDeferrals {
		return nil
	}
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	group, exists := g.suspects.copyGroups[key]
	if !exists {
		group = &copyGroup{host: host}
		g.suspects.copyGroups[key] = group
	}
	current := g.current(s.call.service, group.host)
	unavailable := s.excluded[group.host] || current == nil || current.Health != membership.StateLive
	switch {
	case unavailable && attempts == 0:
		g.suspects.removeIfEmpty(key, group)
		return nil
	case unavailable:
		group.host = picked.ID
	default:
		picked = current
	}
	group.attempts++
	return &choice{Upstream: picked, release: g.suspects.leaveFunc(key, group)}
}

func (g *Gateway) answeredBefore(key uint64) bool {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	return g.suspects.answered[key]
}

// askPrimaryOwner returns the host on which a prompt should run when this node runs it in
// place of its primary owner, which happens when that node is full or the nodes' views
// differ. It is empty when the prompt must wait; the suspicion held by the primary owner
// is merged in any case.
func (g *Gateway) askPrimaryOwner(ctx context.Context, c *call, question api.PeerPrompt) string {
	primary, elsewhere := g.primaryOwner(c)
	if !elsewhere {
		return question.HostID
	}
	key := fingerprint(c)
	question.Fingerprint = strconv.FormatUint(key, 16)
	answer, err := g.Peers.LookUpPrompt(ctx, primary.PeerAddress, question)
	if err != nil {
		g.Logger.Debug().Err(err).Str("peer", primary.NodeID).Msg("primary owner of prompt not reachable")
		return question.HostID
	}
	if suspicion := answer.Suspicion; suspicion != nil {
		g.suspects.mu.Lock()
		g.suspects.merge(*suspicion, time.Now())
		g.suspects.mu.Unlock()
	}
	return answer.HostID
}

// primaryOwner returns the peer that is first in the rendezvous order of a prompt, whatever
// its load; false means this node.
func (g *Gateway) primaryOwner(c *call) (control.Peer, bool) {
	now := time.Now()
	peers := g.Control.Snapshot().Peers
	members := []routing.Member{{ID: g.Settings.NodeID}}
	for id, candidate := range peers {
		if candidate.OwnsRequests(now) {
			members = append(members, routing.Member{ID: id})
		}
	}
	primary := routing.Owner(routing.OwnerKey(c.workspace, c.service, prompt.PrefixKey(c.text)), members)
	candidate, ok := peers[primary]
	return candidate, ok
}

// peerPrompt answers a peer that asks where to run a prompt: at the upstream of its copy
// group, or at the peer's choice when there is none.
func (g *Gateway) peerPrompt(w http.ResponseWriter, r *http.Request) {
	var question api.PeerPrompt
	if !readPeer(w, r, &question) {
		return
	}
	key, err := strconv.ParseUint(question.Fingerprint, 16, 64)
	if err != nil {
		refusal.InvalidField("fingerprint", "fingerprint must be a number in hex").Write(w, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.answerPrompt(key, question))
}

// answerPrompt decides, as the primary owner of a prompt, where another node may run it.
func (g *Gateway) answerPrompt(key uint64, question api.PeerPrompt) api.PeerPrompt {
	verdict := g.verdict(key)
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	answer := api.PeerPrompt{Fingerprint: question.Fingerprint, Suspicion: g.suspects.suspicion(key)}
	switch {
	case verdict == quarantine.Normal:
		answer.HostID = g.suspects.joinRemote(key, question.HostID)
	case verdict == quarantine.Isolated && question.Alone && g.suspects.grant(key, time.Now()):
		answer.HostID = question.HostID
	}
	return answer
}

// grant gives another node the right to run a suspected prompt in isolation, one node at
// a time. The caller holds the lock.
func (s *suspects) grant(key uint64, now time.Time) bool {
	if _, reservedHere := s.reserved[key]; reservedHere || s.diagnosing[key] > 0 || now.Before(s.granted[key]) {
		return false
	}
	for granted, until := range s.granted {
		if now.After(until) {
			delete(s.granted, granted)
		}
	}
	s.granted[key] = now.Add(grantTTL)
	return true
}

// joinRemote registers a copy at another node for remoteCopyTTL and returns the host on
// which it should run. The caller holds the lock.
func (s *suspects) joinRemote(key uint64, host string) string {
	group, exists := s.copyGroups[key]
	if !exists {
		group = &copyGroup{host: host}
		s.copyGroups[key] = group
	}
	group.attempts++
	time.AfterFunc(remoteCopyTTL, s.leaveFunc(key, group))
	return group.host
}

// removeIfEmpty removes a group without attempts. The caller holds the lock.
func (s *suspects) removeIfEmpty(key uint64, group *copyGroup) {
	if group.attempts == 0 && s.copyGroups[key] == group {
		delete(s.copyGroups, key)
	}
}

// leaveFunc returns the function that ends one attempt of a group.
func (s *suspects) leaveFunc(key uint64, group *copyGroup) func() {
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		group.attempts--
		s.removeIfEmpty(key, group)
	})
}

// rememberAnswered records a prompt that had a complete answer. The caller holds the lock.
func (s *suspects) rememberAnswered(key uint64) {
	if s.answered[key] {
		return
	}
	if len(s.answeredOrder) >= maxAnswered {
		delete(s.answered, s.answeredOrder[0])
		s.answeredOrder = s.answeredOrder[1:]
	}
	s.answered[key] = true
	s.answeredOrder = append(s.answeredOrder, key)
}
