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
	// maxWaits is how often a prompt waits for its first owner to find out why an
	// upstream failed it.
	maxWaits = 10
	// elsewhereFor is how long a copy at another node counts as running.
	elsewhereFor = 2 * time.Second
	// grantFor is how long another node has a suspected prompt for itself.
	grantFor = 3 * time.Second
)

// together is one prompt that several requests run at one upstream, so that a prompt
// that crashes upstreams and comes many times at once takes down one of them.
type together struct {
	host     string
	attempts int
}

// joinCopies returns the upstream that runs the copies of the same prompt already, or
// else opens one at the picked upstream for later copies to join. A prompt that had a
// whole answer before runs anywhere. It returns nil when the upstream of the copies is
// gone, or the first owner lets the prompt wait; after enough tries it goes on.
func (g *Gateway) joinCopies(ctx context.Context, s *runState, picked *routing.Upstream, tries int) *choice {
	key := fingerprint(s.call)
	if g.answeredBefore(key) {
		return &choice{Upstream: picked, release: func() {}}
	}
	host := g.askFirstOwner(ctx, s.call, api.PeerPrompt{HostID: picked.ID})
	if host == "" && tries < maxWaits {
		return nil
	}
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	known, open := g.suspects.together[key]
	if !open {
		known = &together{host: host}
		g.suspects.together[key] = known
	}
	current := g.current(s.call.service, known.host)
	gone := s.excluded[known.host] || current == nil || current.Health != membership.StateLive
	switch {
	case gone && tries == 0:
		g.suspects.dropUnused(key, known)
		return nil
	case gone:
		known.host = picked.ID
	default:
		picked = current
	}
	known.attempts++
	return &choice{Upstream: picked, release: g.suspects.leave(key, known)}
}

func (g *Gateway) answeredBefore(key uint64) bool {
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	return g.suspects.answered[key]
}

// askFirstOwner returns the host on which a prompt should run, when this node runs it in
// the place of its first owner: because that is full, or the nodes' views differ. It is
// empty when the prompt must wait; what the first owner knows against it is known here
// then.
func (g *Gateway) askFirstOwner(ctx context.Context, c *call, ask api.PeerPrompt) string {
	first, elsewhere := g.firstOwner(c)
	if !elsewhere {
		return ask.HostID
	}
	key := fingerprint(c)
	ask.Fingerprint = strconv.FormatUint(key, 16)
	answer, err := g.Peers.LookUpPrompt(ctx, first.PeerAddress, ask)
	if err != nil {
		g.Logger.Debug().Err(err).Str("peer", first.NodeID).Msg("first owner of a prompt not asked")
		return ask.HostID
	}
	if told := answer.Suspicion; told != nil {
		g.suspects.mu.Lock()
		g.suspects.merge(*told, time.Now())
		g.suspects.mu.Unlock()
	}
	return answer.HostID
}

// firstOwner returns the peer that owns a prompt when load does not count; false means
// this node.
func (g *Gateway) firstOwner(c *call) (control.Peer, bool) {
	now := time.Now()
	peers := g.Control.Snapshot().Peers
	members := []routing.Member{{ID: g.Settings.NodeID}}
	for id, known := range peers {
		if known.OwnsRequests(now) {
			members = append(members, routing.Member{ID: id})
		}
	}
	first := routing.Owner(routing.OwnerKey(c.workspace, c.service, prompt.PrefixKey(c.text)), members)
	known, ok := peers[first]
	return known, ok
}

// peerPrompt answers where the copies of a prompt run; without any, they will run where
// the asking node picked.
func (g *Gateway) peerPrompt(w http.ResponseWriter, r *http.Request) {
	var picked api.PeerPrompt
	if !readPeer(w, r, &picked) {
		return
	}
	key, err := strconv.ParseUint(picked.Fingerprint, 16, 64)
	if err != nil {
		refusal.InvalidField("fingerprint", "fingerprint must be a number in hex").Write(w, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.answerPrompt(key, picked))
}

// answerPrompt decides as the first owner of a prompt where another node may run it.
func (g *Gateway) answerPrompt(key uint64, asked api.PeerPrompt) api.PeerPrompt {
	verdict := g.verdict(key)
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	answer := api.PeerPrompt{Fingerprint: asked.Fingerprint, Suspicion: g.suspects.about(key)}
	switch {
	case verdict == quarantine.Normal:
		answer.HostID = g.suspects.meet(key, asked.HostID)
	case verdict == quarantine.Solo && asked.Alone && g.suspects.grant(key, time.Now()):
		answer.HostID = asked.HostID
	}
	return answer
}

// grant lets another node run a suspected prompt alone, one node at a time. The caller
// holds the lock.
func (s *suspects) grant(key uint64, now time.Time) bool {
	if _, here := s.reserved[key]; here || s.examining[key] > 0 || now.Before(s.granted[key]) {
		return false
	}
	for known, until := range s.granted {
		if now.After(until) {
			delete(s.granted, known)
		}
	}
	s.granted[key] = now.Add(grantFor)
	return true
}

// meet registers a copy at another node for a while and returns where it should run. The
// caller holds the lock.
func (s *suspects) meet(key uint64, host string) string {
	known, open := s.together[key]
	if !open {
		known = &together{host: host}
		s.together[key] = known
	}
	known.attempts++
	time.AfterFunc(elsewhereFor, s.leave(key, known))
	return known.host
}

// dropUnused forgets copies that none runs. The caller holds the lock.
func (s *suspects) dropUnused(key uint64, known *together) {
	if known.attempts == 0 && s.together[key] == known {
		delete(s.together, key)
	}
}

// leave returns the function that ends one attempt of a prompt.
func (s *suspects) leave(key uint64, known *together) func() {
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		known.attempts--
		s.dropUnused(key, known)
	})
}

// remember notes a prompt that had a whole answer. The caller holds the lock.
func (s *suspects) remember(key uint64) {
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
