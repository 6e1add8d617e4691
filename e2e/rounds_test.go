package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/standin"
)

const (
	// stopRounds is the number of planned stops and starts.
	stopRounds = 100
	// balancerCallers is the number of callers, each of which sends one request at a time.
	balancerCallers = 8
	// balancerGrace is the readiness grace; it exceeds the time between a caller's readiness
	// check and its request.
	balancerGrace = 50 * time.Millisecond
)

// balancer directs callers to ready nodes, as the platform's load balancer does.
type balancer struct {
	mu      sync.Mutex
	cluster *demo.Cluster
	next    int
}

// pick returns the base URL of a ready node.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		b.next++
		n := b.cluster.Nodes[b.next%len(b.cluster.Nodes)]
		if n.Ready() {
			return "http://" + n.CallerAddress()
		}
	}
}

// replace starts a node in place of a stopped one.
func (b *balancer) replace(t *testing.T, index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	require.NoError(t, b.cluster.StartNode(context.Background(), index))
}

func TestNoRequestIsCutInAHundredPlannedStops(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	cluster, err := demo.Start(t.Context(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Adjust:     func(s *api.Settings) { s.ReadinessGrace = balancerGrace },
	})
	require.NoError(t, err)
	b := &balancer{cluster: cluster}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: balancerCallers}}
	key := deployment.APIKeys["incident-review"]
	var answered atomic.Int64
	var faults sync.Map
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range balancerCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				text := strings.Repeat("rake log ", 10+n%20)
				if err := b.call(client, key, fmt.Sprintf("%d %d %s", i, n, text)); err != nil {
					faults.Store(err.Error(), true)
				}
				answered.Add(1)
			}
		})
	}
	for round := range stopRounds {
		index := round % len(cluster.Nodes)
		require.NoError(t, cluster.Nodes[index].Stop(context.Background()), "round %d", round)
		b.replace(t, index)
	}
	stop()
	callers.Wait()
	client.CloseIdleConnections()
	faults.Range(func(fault, _ any) bool {
		t.Errorf("request cut: %v", fault)
		return true
	})
	require.Positive(t, answered.Load())
	t.Logf("%d requests answered over %d planned stops", answered.Load(), stopRounds)
	require.NoError(t, cluster.Stop(context.Background()))
}

// call sends one request without streaming; anything but its complete and correct answer is
// an error.
func (b *balancer) call(client *http.Client, key, text string) error {
	body := fmt.Sprintf(`{"model":"review","messages":[{"role":"user","content":%q}]}`, text)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, b.pick()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return checkAnswer(response, text)
}

// checkAnswer compares an answer with the one that the engines generate for a prompt.
func checkAnswer(response *http.Response, text string) error {
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, raw)
	}
	var completion api.ChatCompletion
	if err := json.Unmarshal(raw, &completion); err != nil {
		return err
	}
	content, err := json.Marshal(text)
	if err != nil {
		return err
	}
	want := standin.Answer(prompt.Text([]api.ChatMessage{{Role: "user", Content: content}}), 0)
	if got := completion.Choices[0].Message.Content; got != want {
		return fmt.Errorf("wrong answer %q, want %q", got, want)
	}
	return nil
}
