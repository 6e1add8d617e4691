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
	// maxAsked bounds the nodes that are asked for a request.
	maxAsked = 5
	// askTimeout bounds the question to one node.
	askTimeout = 2 * time.Second
	// headerLastEventID is where a client of server-sent events says what it has.
	headerLastEventID = "Last-Event-ID"
)

// reattach serves GET /v1/requests/{id}: the answer of an accepted request, at any
// node.
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
	g.writeWhole(r.Context(), w, c, journal)
}

// readFrom returns the index of the first chunk that the caller lacks, and whether it
// said one.
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

// find returns the journal of a request: this node's own, or one that relays from the
// node that holds it.
func (g *Gateway) find(ctx context.Context, id, workspace string) (*exchange.Exchange, *refusal.Refusal) {
	if journal, err := g.store.Get(id, workspace); err == nil {
		return journal, nil
	}
	holder, err := g.locate(ctx, id, workspace)
	if holder == nil {
		return nil, refusal.New(http.StatusNotFound, refusal.CodeNotFound,
			"no node that answers holds this request; it may have run. Ask again after a while; send it anew if it may run twice").
			WithUnknownOutcome().WithCause("find request", "", err).WithRetryAfter(jittered(noUpstreamRetry))
	}
	f := &flight{}
	f.follow(*holder, false)
	journal, _ := g.launch(ctx, id, workspace, f)
	if journal.Workspace != workspace {
		return nil, refusal.New(http.StatusNotFound, refusal.CodeNotFound, "no node that answers holds this request").WithUnknownOutcome()
	}
	return journal, nil
}

// locate asks the holder that the id names, then its successors.
func (g *Gateway) locate(ctx context.Context, id, workspace string) (*api.PeerMoved, error) {
	var failure error
	for _, candidate := range g.candidates(id) {
		err := g.ask(ctx, candidate.Address, id, workspace)
		if err == nil {
			return &candidate, nil
		}
		failure = err
	}
	return nil, failure
}

// ask returns nil when a node holds the request.
func (g *Gateway) ask(ctx context.Context, address, id, workspace string) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := g.Peers.Attach(ctx, address, api.PeerAttach{RequestID: id, Workspace: workspace})
	if err != nil {
		return err
	}
	answer.Close()
	return nil
}

// candidates returns the nodes that may hold a request, the likeliest first: its holder,
// its successors, then nodes that stop or were not heard of lately.
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
	var found []api.PeerMoved
	for _, known := range peers[:min(len(peers), maxAsked)] {
		found = append(found, api.PeerMoved{NodeID: known.NodeID, Address: known.PeerAddress})
	}
	return found
}

// holderOf returns the node that a request id names; empty when it names none.
func holderOf(id string) string {
	rest := id
	for range 2 {
		cut := strings.LastIndex(rest, ".")
		if cut < 0 {
			return ""
		}
		rest = rest[:cut]
	}
	return rest
}
