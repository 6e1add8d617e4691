package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// loadCallers is the number of callers that the load has.
	loadCallers = 12
	// loadSeed makes the load the same every time.
	loadSeed = 1
	// loadPause is the mean time between two requests of a caller.
	loadPause = 150 * time.Millisecond
	// promptWords is the length of the longest prompt, in words.
	promptWords = 400
	// plainShare is the share of requests that go to plain services.
	plainShare = 0.3
)

// Load sends the deployment's mix of requests until ctx ends.
func (c *Cluster) Load(ctx context.Context) {
	var group sync.WaitGroup
	for i := range loadCallers {
		group.Go(func() { c.caller(ctx, uint64(i)) })
	}
	group.Wait()
}

// caller sends one request after the other.
func (c *Cluster) caller(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(loadSeed, seed)) //nolint:gosec // A load must be repeatable.
	announced := c.Announce()
	workspaces := make([]string, 0, len(announced.APIKeys))
	for name := range announced.APIKeys {
		workspaces = append(workspaces, name)
	}
	slices.Sort(workspaces)
	for n := 0; ctx.Err() == nil; n++ {
		key := announced.APIKeys[workspaces[random.IntN(len(workspaces))]]
		base := announced.Callers[random.IntN(len(announced.Callers))]
		if random.Float64() < plainShare {
			sendPlain(base, key, announced.Services[0], fmt.Sprintf("operation %d of caller %d", n, seed))
		} else {
			sendChat(base, key, announced.Models[random.IntN(len(announced.Models))], random)
		}
		pause := time.Duration(random.Int64N(int64(2 * loadPause)))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// plainPaths are the calls of the deployments that may not be repeated.
var plainPaths = map[string]string{"rakes": "/rakes/1/trigger", "orders": "/orders/confirm"}

func sendPlain(base, key, service, operation string) {
	send(base+"/services/"+service+plainPaths[service], key, []byte(operation))
}

func sendChat(base, key, model string, random *rand.Rand) {
	words := make([]byte, 0, promptWords*8)
	for range random.IntN(promptWords) {
		words = fmt.Appendf(words, "word%d ", random.IntN(50))
	}
	content, _ := json.Marshal(string(words))
	body, _ := json.Marshal(api.ChatRequest{
		Model:    model,
		Messages: []api.ChatMessage{{Role: "user", Content: content}},
		Stream:   random.IntN(2) == 0,
	})
	send(base+"/v1/chat/completions", key, body)
}

func send(url, key string, body []byte) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
}
