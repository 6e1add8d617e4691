package gateway_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/telemetry"
)

const (
	workspace   = "incident-review"
	waitTimeout = 20 * time.Second
	trigger     = "/services/rakes/rakes/7/trigger"
)

func TestMain(m *testing.M) {
	telemetry.BridgeLogx(zerolog.Nop())
	os.Exit(m.Run())
}

// cluster is a small running deployment.
type cluster struct {
	*demo.Cluster
	t    *testing.T
	keys map[string]string
	base []string
}

func start(t *testing.T, nodes int) *cluster {
	t.Helper()
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	deployment.Nodes = deployment.Nodes[:nodes]
	running, err := demo.Start(t.Context(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Adjust:     func(s *api.Settings) { s.ReadinessGrace = 10 * time.Millisecond },
	})
	require.NoError(t, err)
	t.Cleanup(running.Kill)
	announced := running.Announce()
	return &cluster{Cluster: running, t: t, keys: announced.APIKeys, base: announced.Callers}
}

// reply is a completely read response.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r reply) code() refusal.Code { return refusal.Code(r.header.Get(refusal.HeaderCode)) }

func (r reply) ran() string { return r.header.Get(refusal.HeaderRan) }

func (c *cluster) call(node int, method, path, key, body string, headers ...string) reply {
	return c.callAs(workspace, node, method, path, key, body, headers...)
}

func (c *cluster) callAs(caller string, node int, method, path, key, body string, headers ...string) reply {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base[node]+path, strings.NewReader(body))
	require.NoError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+c.keys[caller])
	request.GetBody = nil
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(raw), err: err}
}

func (c *cluster) operation(node int) string {
	c.t.Helper()
	answer := c.call(node, http.MethodPost, "/v1/operations", "", "")
	require.Equal(c.t, http.StatusCreated, answer.status, answer.body)
	var created api.OperationCreated
	require.NoError(c.t, json.Unmarshal([]byte(answer.body), &created))
	return created.ID
}

func (c *cluster) runs(body string) int {
	return c.Standins.Ledger.Runs("POST /rakes/7/trigger " + body)
}

func TestRepeatAtAnyNodeGetsTheFirstAnswer(t *testing.T) {
	c := start(t, 3)
	newKeys := map[string]func() string{
		"own key":      uuid.NewString,
		"time in key":  func() string { return uuid.Must(uuid.NewV7()).String() },
		"operation id": func() string { return c.operation(1) },
	}
	for name, newKey := range newKeys {
		t.Run(name, func(t *testing.T) {
			key := newKey()
			first := c.call(0, http.MethodPost, trigger, key, name)
			require.Equal(t, http.StatusOK, first.status, first.body)
			require.Empty(t, first.header.Get("Idempotent-Replayed"))
			for node := range c.base {
				again := c.call(node, http.MethodPost, trigger, key, name)
				require.Equal(t, first.status, again.status, again.body)
				require.Equal(t, first.body, again.body)
				require.Equal(t, "true", again.header.Get("Idempotent-Replayed"))
			}
			other := c.call(2, http.MethodPost, trigger, key, "another body")
			require.Equal(t, refusal.CodeKeyReused, other.code())
			require.Equal(t, "no", other.ran())
			require.Equal(t, 1, c.runs(name))
			require.Zero(t, c.runs("another body"))
		})
	}
}
