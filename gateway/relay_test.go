package gateway

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/standin"
)

// fakeOwner holds one request; its answer grows only through grow.
type fakeOwner struct {
	journal  *exchange.Exchange
	attempt  int
	text     []byte
	chats    atomic.Int64
	attaches atomic.Int64
}

func newFakeOwner(c *call) *fakeOwner {
	owner := &fakeOwner{journal: exchange.New(c.id, c.workspace, func(error) {}), text: prompt.Text(c.request.Messages)}
	owner.journal.RecordOpened(c.opened())
	owner.attempt = owner.journal.BeginAttempt()
	return owner
}

// grow adds answer tokens up to an offset, and the end when finish is set.
func (o *fakeOwner) grow(to int, finish bool) {
	for offset := o.journal.Tokens(); offset < to; offset++ {
		choice := api.ChatChunkChoice{Delta: api.ChatDelta{Content: standin.TokenText(o.text, offset)}}
		o.journal.Append(o.attempt, api.ChatChunk{TokenOffset: offset, TokenCount: 1, Choices: []api.ChatChunkChoice{choice}})
	}
	if finish {
		o.journal.Finish(nil)
	}
}

// ServeHTTP implements http.Handler.
func (o *fakeOwner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var attach api.PeerAttach
	switch r.URL.Path {
	case peer.PathChat:
		o.chats.Add(1)
	case peer.PathExchange:
		o.attaches.Add(1)
		_ = json.NewDecoder(r.Body).Decode(&attach)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = peer.WriteEvents(r.Context(), w, o.journal, attach.From)
}

// relayed starts a flight that relays from a fake owner.
func relayed(t *testing.T, g *Gateway) (*fakeOwner, *standin.Server, *exchange.Exchange) {
	t.Helper()
	c := newTestCall(t, g, testWorkspace, "relay")
	c.id = "owner.life.1"
	owner := newFakeOwner(c)
	server := serve(t, owner)
	f := &flight{call: c}
	f.follow(api.PeerMoved{NodeID: "owner", Address: server.Address()}, true)
	journal, _ := g.launch(t.Context(), c.id, c.workspace, f)
	return owner, server, journal
}

func TestRelayGoesOnOverANewConnectionWhenTheOldOneIsSilent(t *testing.T) {
	g := newGateway(t)
	owner, server, journal := relayed(t, g)
	owner.grow(5, false)
	waitTokens(t, journal, 5)
	server.BlackholeConnections()
	count, _ := standin.AnswerLength(owner.text, 0)
	owner.grow(count, true)
	page := readAll(t, journal)
	require.Nil(t, page.Refused)
	require.Equal(t, expected(t, "relay"), journal.Progress().Text)
	require.Equal(t, int64(1), owner.chats.Load())
	require.Equal(t, int64(1), owner.attaches.Load())
}

func TestEntryTakesOverFromALostOwner(t *testing.T) {
	engine := serve(t, &faultyEngine{})
	g := newGateway(t, engine)
	owner, server, journal := relayed(t, g)
	owner.grow(5, false)
	waitTokens(t, journal, 5)
	server.Close()
	page := readAll(t, journal)
	require.Nil(t, page.Refused)
	require.Equal(t, expected(t, "relay"), journal.Progress().Text)
}

func TestEntryFollowsItsOwnersHandover(t *testing.T) {
	g := newGateway(t)
	owner, _, journal := relayed(t, g)
	successor, server, _ := relayed(t, g)
	owner.grow(5, false)
	waitTokens(t, journal, 5)
	successor.journal.Seed(owner.journal.Chunks())
	successor.attempt = successor.journal.BeginAttempt()
	owner.journal.MarkMoved(api.PeerMoved{NodeID: "successor", Address: server.Address()})
	count, _ := standin.AnswerLength(owner.text, 0)
	successor.grow(count, true)
	page := readAll(t, journal)
	require.Nil(t, page.Refused)
	require.Equal(t, expected(t, "relay"), journal.Progress().Text)
}

func waitTokens(t *testing.T, journal *exchange.Exchange, tokens int) {
	t.Helper()
	for from := 0; journal.Tokens() < tokens; {
		page, err := journal.Next(t.Context(), from)
		require.NoError(t, err)
		require.False(t, page.Done)
		from += len(page.Chunks)
	}
}
