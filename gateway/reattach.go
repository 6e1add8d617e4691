package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/refusal"
)

const (
	// maxQueriedNodes bounds the nodes that are considered as holders of a request.
	maxQueriedNodes = 5
	// holderQueryTimeout bounds the query to one node.
	holderQueryTimeout = 2 * time.Second
	// headerLastEventID holds the id of the last event that a client of server-sent events
	// received.
	headerLastEventID = "Last-Event-ID"
)

// reattach serves GET /v1/requests/{id}: any node returns the answer of an accepted
// request.
func (g *Gateway) reattach(w http.ResponseWriter, r *http.Request, who caller) {
	id := r.PathValue("id")
	from, resumed, refused := readFrom(r)
	if refused != nil {
		g.refuse(w, id, refused)
		return
	}
	journal, refused := g.find(r.Context(), id, who.workspace)
	if refused != nil {
		g.refuse(w, id, refused)
		return
	}
	journal.Attach()
	defer journal.Detach(detachGrace)
	opened, err := journal.WaitOpened(r.Context())
	if err != nil {
		return
	}
	c := &call{id: id, workspace: who.workspace}
	if opened != nil {
		c.service = opened.Service
		c.request.Stream = opened.Stream
		c.request.StreamOptions = &api.ChatStreamOptions{IncludeUsage: opened.IncludeUsage}
	}
	w.Header().Set(refusal.HeaderRequestID, id)
	if c.request.Stream || resumed || strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		g.writeStream(r.Context(), w, c, journal, from)
		return
	}
	g.writeComplete(r.Context(), w, c, journal)
}

// readFrom returns the index of the first chunk that the caller wants, and whether the
// caller specified one.
func readFrom(r *http.Request) (int, bool, *refusal.Refusal) {
	if text := r.Header.Get(headerLastEventID); text != "" {
		last, err := strconv.Atoi(text)
		if err != nil || last < 0 {
			return 0, false, refusal.InvalidField(headerLastEventID, "%s must be the id of an event of this answer", headerLastEventID).WithUnknownOutcome()
		}
		return last + 1, true, nil
	}
	text := r.URL.Query().Get("from")
	if text == "" {
		return 0, false, nil
	}
	from, err := strconv.Atoi(text)
	if err != nil || from < 0 {
		return 0, false, refusal.InvalidField("from", "from must be the index of an event, 0 or more").WithUnknownOutcome()
	}
	return from, true, nil
}

// find returns the journal of a request: the local one, or a new one that relays from the
// node that holds the request.
func (g *Gateway) find(ctx context.Context, id, workspace string) (*exchange.Exchange, *refusal.Refusal) {
	if journal, err := g.store.Get(id, workspace); err == nil {
		return journal, nil
	}
	holder, err := g.locate(ctx, id, workspace)
	if holder == nil {
		return nil, refusal.New(http.StatusNotFound, refusal.CodeNotFound,
			"no node that answers holds this request; it may have run. Ask again after a while; send it anew if it may run twice").
			WithUnknownOutcome().WithCause("find request", "", err).WithRetryAfter(jittered(noUpstreamRetryAfter))
	}
	f := &flight{}
	f.follow(*holder, false)
	journal, _ := g.launch(ctx, id, workspace, f)
	if journal.Workspace != workspace {
		return nil, refusal.New(http.StatusNotFound, refusal.CodeNotFound, "no node that answers holds this request").WithUnknownOutcome()
	}
	return journal, nil
}

// locate queries the holder named by the id, then its successors.
func (g *Gateway) locate(ctx context.Context, id, workspace string) (*api.PeerMoved, error) {
	var lastErr error
	for _, candidate := range g.candidates(id) {
		err := g.checkHolder(ctx, candidate.Address, id, workspace)
		if err == nil {
			return &candidate, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// checkHolder returns nil if the node at address holds the request.
func (g *Gateway) checkHolder(ctx context.Context, address, id, workspace string) error {
	ctx, cancel := context.WithTimeout(ctx, holderQueryTimeout)
	defer cancel()
	answer, err := g.Peers.Attach(ctx, address, api.PeerAttach{RequestID: id, Workspace: workspace})
	if err != nil {
		return err
	}
	answer.Close()
	return nil
}

// candidates returns the nodes that may hold a request, the most likely first: its holder,
// its successors, then nodes that are stopping or have not been seen recently.
func (g *Gateway) candidates(id string) []api.PeerMoved {
	now := time.Now()
	holder := holderOf(id)
	rank := func(p control.Peer) int {
		switch {
		case p.NodeID == holder:
			return 0
		case p.OwnsRequests(now):
			return 1
		default:
			return 2
		}
	}
	peers := g.peersByWeight(id)
	slices.SortStableFunc(peers, func(a, b control.Peer) int { return cmp.Compare(rank(a), rank(b)) })
	var candidates []api.PeerMoved
	for _, candidate := range peers[:min(len(peers), maxQueriedNodes)] {
		candidates = append(candidates, api.PeerMoved{NodeID: candidate.NodeID, Address: candidate.PeerAddress})
	}
	return candidates
}

// holderOf returns the id of the node in a request id; empty when there is none.
func holderOf(id string) string {
	rest := id
	for range 2 {
		separator := strings.LastIndex(rest, ".")
		if separator < 0 {
			return ""
		}
		rest = rest[:separator]
	}
	return rest
}
