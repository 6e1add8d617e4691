package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/exchange"
	_ "github.com/persimmonline/persimmonline/internal/fixedseed"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/standin"
	"github.com/persimmonline/persimmonline/telemetry"
	"github.com/persimmonline/persimmonline/upstream"
)

const (
	testModel     = "review"
	testWorkspace = "incident-review"
)

// newGateway returns a gateway whose control state contains the engines.
func newGateway(t *testing.T, engines ...*standin.Server) *Gateway {
	t.Helper()
	metrics := telemetry.NewMetrics()
	loop := control.NewLoop(time.Now, zerolog.Nop(), metrics)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { loop.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	list := api.HostList{AtMS: time.Now().UnixMilli()}
	for i, engine := range engines {
		list.Hosts = append(list.Hosts, api.Host{
			ID: fmt.Sprint("engine-", i), Address: engine.Address(), Role: api.HostRoleEngine, State: api.HostStateLive,
		})
	}
	record, err := json.Marshal(api.Record{Patch: &api.ConfigPatch{
		ID: "first", RuleSet: config.CurrentRuleSet, Format: api.ConfigPatchFormatMerge, Patch: testConfiguration(t), Author: "test",
	}})
	require.NoError(t, err)
	state, err := config.Fold(config.Empty(), api.StoredRecord{Data: record})
	require.NoError(t, err)
	loop.Post(ctx, control.ConfigUpdated{State: state, ReadAt: time.Now()})
	loop.Post(ctx, control.HostsListed{List: list})
	for _, host := range list.Hosts {
		loop.Post(ctx, control.LoadReported{HostID: host.ID, Load: api.EngineLoad{Models: []api.LoadedModel{{Name: testModel, Version: "1"}}}})
	}
	pool := upstream.NewPool(t.Name())
	t.Cleanup(pool.Close)
	require.Eventually(t, func() bool {
		snapshot := loop.Snapshot()
		return snapshot.Index != nil && len(snapshot.Fleet.ByService[testModel]) == len(engines)
	}, 10*time.Second, time.Millisecond)
	return New(Options{
		Settings:    api.Settings{NodeID: "node-1", MaxStreams: 100, MaxBodyBytes: 1 << 20},
		Incarnation: "life",
		Control:     loop,
		Pool:        pool,
		Peers:       peer.NewClient("key", pool),
		Logger:      zerolog.Nop(),
		Metrics:     metrics,
	})
}

// testConfiguration returns an example configuration without limits and targets.
func testConfiguration(t *testing.T) json.RawMessage {
	t.Helper()
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	parsed, err := config.Parse(deployment.Configuration)
	require.NoError(t, err)
	service := parsed.Services[testModel]
	service.FirstTokenTargetMS = 0
	parsed.Services[testModel] = service
	encoded, err := json.Marshal(parsed)
	require.NoError(t, err)
	return encoded
}

func newTestCall(t require.TestingT, g *Gateway, workspace, text string) *call {
	body, err := json.Marshal(map[string]any{"model": testModel, "messages": []map[string]string{{"role": "user", "content": text}}})
	require.NoError(t, err)
	c, refused := newCall(g.Control.Snapshot().Index, workspace, body)
	require.Nil(t, refused)
	return c
}

func expected(t require.TestingT, text string) string {
	content, err := json.Marshal(text)
	require.NoError(t, err)
	return standin.Answer(prompt.Text([]api.ChatMessage{{Role: "user", Content: content}}), 0)
}

// readAll reads a journal to its end.
func readAll(t require.TestingT, journal *exchange.Exchange) exchange.Page {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	page := exchange.Page{}
	for from := 0; !page.Done; from += len(page.Chunks) {
		var err error
		page, err = journal.Next(ctx, from)
		require.NoError(t, err)
	}
	return page
}

// faultyEngine answers like the stand-in engine, with one fault per attempt: the stream
// breaks, or a chunk is repeated, skipped or sent late.
type faultyEngine struct {
	mu     sync.Mutex
	faults []fault
}

type fault struct {
	// kind of the fault.
	kind string
	// after is the number of correct tokens before the fault.
	after int
}

func (e *faultyEngine) next() fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return fault{}
	}
	first := e.faults[0]
	e.faults = e.faults[1:]
	return first
}

// ServeHTTP implements http.Handler.
func (e *faultyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/chat/completions" {
		_ = json.NewEncoder(w).Encode(api.EngineLoad{Models: []api.LoadedModel{{Name: testModel, Version: "1"}}})
		return
	}
	var request api.ChatRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	text := prompt.Text(request.Messages)
	offset := 0
	if request.Resume != nil {
		offset = request.Resume.Offset
	}
	count, reason := standin.AnswerLength(text, 0)
	fault := e.next()
	for at := offset; at < count; at++ {
		if fault.kind != "" && at-offset == fault.after {
			switch fault.kind {
			case "break":
				return
			case "repeat":
				writeToken(w, text, max(0, at-1), 1, nil)
			case "late":
				writeToken(w, text, 0, 1, nil)
			case "skip":
				writeToken(w, text, at+1, 1, nil)
			}
		}
		writeToken(w, text, at, 1, nil)
	}
	writeToken(w, text, count, 0, &reason)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeToken(w http.ResponseWriter, text []byte, offset, tokens int, reason *string) {
	choice := api.ChatChunkChoice{FinishReason: reason}
	if tokens > 0 {
		choice.Delta.Content = standin.TokenText(text, offset)
	}
	data, _ := json.Marshal(api.ChatChunk{TokenOffset: offset, TokenCount: tokens, Choices: []api.ChatChunkChoice{choice}})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

// TestCallersGetTheirOwnWholeAnswer runs several callers, some with the same prompt,
// against engines that break the stream or repeat, skip or delay chunks.
func TestCallersGetTheirOwnWholeAnswer(t *testing.T) {
	engine := &faultyEngine{}
	first := serve(t, engine)
	second := serve(t, engine)
	g := newGateway(t, first, second)
	round := 0
	rapid.Check(t, func(rt *rapid.T) {
		round++
		kinds := []string{"break", "repeat", "late", "skip"}
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{rapid.SampledFrom(kinds).Draw(rt, "kind"), rapid.IntRange(0, 12).Draw(rt, "after")}
		}), 0, 3).Draw(rt, "faults")
		engine.mu.Lock()
		engine.faults = faults
		engine.mu.Unlock()
		callers := rapid.IntRange(1, 4).Draw(rt, "callers")
		journals := make([]*exchange.Exchange, callers)
		texts := make([]string, callers)
		for i := range callers {
			texts[i] = fmt.Sprintf("round %d prompt %d", round, rapid.IntRange(0, 1).Draw(rt, "prompt"))
			c := newTestCall(rt, g, rapid.SampledFrom([]string{testWorkspace, "shift-summary"}).Draw(rt, "workspace"), texts[i])
			c.id = fmt.Sprintf("node-1.life.%d-%d", round, i)
			journals[i], _ = g.launch(context.Background(), c.id, c.workspace, &flight{call: c})
		}
		for i, journal := range journals {
			page := readAll(rt, journal)
			require.Nil(rt, page.Refused)
			require.Equal(rt, expected(rt, texts[i]), journal.Progress().Text)
			require.Equal(rt, answerID(journal.ID), journal.Chunks()[0].ID)
			require.True(rt, journal.Progress().HasUsage)
		}
	})
}

func serve(t *testing.T, handler http.Handler) *standin.Server {
	t.Helper()
	server, err := standin.Serve("127.0.0.1:0", handler)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

// A peer that is still starting may serve calls of operations once the node that held them is gone.
func TestSuccessorIsAnnouncedToPeersThatStart(t *testing.T) {
	now := time.Now()
	recent := recentPeers(map[string]control.Peer{
		"starting": {Heartbeat: api.Heartbeat{NodeID: "starting", State: api.HeartbeatStateStarting}, LastSeen: now.Add(-time.Second)},
		"lost":     {Heartbeat: api.Heartbeat{NodeID: "lost", State: api.HeartbeatStateReady}, LastSeen: now.Add(-time.Hour)},
	}, now)
	require.Len(t, recent, 1)
	require.Equal(t, "starting", recent[0].NodeID)
}
