package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/standin"
)

const (
	// loadCallers is the number of concurrent callers.
	loadCallers = 12
	// loadSeed makes the load reproducible.
	loadSeed = 1
	// meanPause is the mean pause between two requests of a caller.
	meanPause = 150 * time.Millisecond
	// maxLoadRequests bounds the requests of a load.
	maxLoadRequests = 200_000
	// loadTimeout bounds one request.
	loadTimeout = time.Minute
	// resourceCount is the number of different screens, rakes or orders in the requests.
	resourceCount = 20
	// resendFraction is the fraction of calls with a key that are repeated at another node.
	resendFraction = 0.2
	// maxLoadAnswer bounds an answer, in bytes.
	maxLoadAnswer = 8 << 20
)

// loadGenerator sends a deployment's mix of requests to the nodes of a cluster.
type loadGenerator struct {
	endpoints Announcement
	mix       []requestKind
	tally     *tally
	sent      atomic.Int64
	client    *http.Client
}

// GenerateLoad sends the deployment's mix of requests until ctx ends, and waits for the
// outstanding answers. Report contains the results.
func (c *Cluster) GenerateLoad(ctx context.Context) {
	l := &loadGenerator{
		endpoints: c.Announce(),
		mix:       mixes[c.deploymentName()],
		tally:     c.tally,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadCallers}},
	}
	defer l.client.CloseIdleConnections()
	var group sync.WaitGroup
	for i := range loadCallers {
		group.Go(func() { l.runCaller(ctx, uint64(i)) })
	}
	group.Wait()
}

// runCaller sends requests sequentially until ctx ends.
func (l *loadGenerator) runCaller(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(loadSeed, seed)) //nolint:gosec // A load must be repeatable.
	for ctx.Err() == nil && l.sent.Add(1) <= maxLoadRequests {
		chosen := pickKind(l.mix, random)
		base := l.endpoints.Callers[random.IntN(len(l.endpoints.Callers))]
		if chosen.model != "" {
			l.tally.add(l.chat(base, chosen, random))
		} else {
			l.call(base, chosen, random)
		}
		pause := time.NewTimer(time.Duration(random.Int64N(int64(2 * meanPause))))
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

// chat sends one chat request and checks its answer.
func (l *loadGenerator) chat(base string, chosen requestKind, random *rand.Rand) outcome {
	content, _ := json.Marshal(chosen.text(random))
	messages := []api.ChatMessage{{Role: "user", Content: content}}
	body, _ := json.Marshal(api.ChatRequest{Model: chosen.model, Messages: messages, Stream: chosen.stream, MaxTokens: chosen.maxTokens})
	expected := standin.Answer(prompt.Text(messages), chosen.maxTokens)
	o := outcome{kind: chosen.name}
	started := time.Now()
	response, cancel, err := l.send(http.MethodPost, base+"/v1/chat/completions", l.endpoints.APIKeys[chosen.workspace], "", body)
	defer cancel()
	if err != nil {
		return o
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		o.code, o.ran = refusalOf(response.Body)
		return o
	}
	var text string
	if chosen.stream {
		text = readStream(response.Body, started, &o)
	} else {
		text = readComplete(response.Body, &o)
		o.latency = time.Since(started)
	}
	o.correct = text == expected
	return o
}

// readStream reads a streamed answer; it is complete if it ends with [DONE].
func readStream(body io.Reader, started time.Time, o *outcome) string {
	var text strings.Builder
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxLoadAnswer}) {
		switch {
		case err != nil:
			return text.String()
		case event.Data == "[DONE]":
			o.complete = true
			return text.String()
		case o.latency == 0:
			o.latency = time.Since(started)
		}
		var chunk api.ChatChunk
		if json.Unmarshal([]byte(event.Data), &chunk) != nil || len(chunk.Choices) == 0 {
			o.code, o.ran = refusalOf(strings.NewReader(event.Data))
			continue
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String()
}

// readComplete reads an answer that is not streamed.
func readComplete(body io.Reader, o *outcome) string {
	var completion api.ChatCompletion
	if json.NewDecoder(io.LimitReader(body, maxLoadAnswer)).Decode(&completion) != nil || len(completion.Choices) == 0 {
		return ""
	}
	o.complete = true
	return completion.Choices[0].Message.Content
}

// call calls a plain service. A call that must not be repeated has an idempotency key, and
// a fraction of these are resent to another node, as by callers that lost an answer.
func (l *loadGenerator) call(base string, chosen requestKind, random *rand.Rand) {
	path := fmt.Sprintf(chosen.path, random.IntN(resourceCount))
	if chosen.method == http.MethodGet {
		l.tally.add(l.callOnce(base, chosen, path, "", ""))
		return
	}
	key := uuid.NewString()
	body := "operation " + key
	l.tally.add(l.callOnce(base, chosen, path, key, body))
	if random.Float64() < resendFraction {
		other := l.endpoints.Callers[random.IntN(len(l.endpoints.Callers))]
		l.tally.add(l.callOnce(other, chosen, path, key, body))
	}
}

// callOnce sends a call once and checks that the answer belongs to it.
func (l *loadGenerator) callOnce(base string, chosen requestKind, path, key, body string) outcome {
	o := outcome{kind: chosen.name}
	inService := servicePath(path)
	if key != "" {
		o.operation = chosen.method + " " + inService + " " + body
	}
	started := time.Now()
	response, cancel, err := l.send(chosen.method, base+path, l.endpoints.APIKeys[chosen.workspace], key, []byte(body))
	defer cancel()
	if err != nil {
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.latency = time.Since(started)
	if response.StatusCode != http.StatusOK {
		o.code, o.ran = refusalOf(response.Body)
		return o
	}
	answer, err := standin.ParseServiceAnswer(io.LimitReader(response.Body, maxLoadAnswer))
	o.complete = err == nil
	o.correct = answer.Path == inService && answer.Body == body && answer.Run <= 1
	return o
}

// servicePath returns the part of a path that the service sees.
func servicePath(path string) string {
	parts := strings.SplitN(strings.TrimPrefix(path, "/services/"), "/", 2)
	return "/" + parts[len(parts)-1]
}

// send sends one request; the returned function must be called once its answer was read.
func (l *loadGenerator) send(method, url, key, idempotencyKey string, body []byte) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, cancel, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := l.client.Do(request)
	return response, cancel, err
}

// refusalOf reads the code and the ran value of a refusal.
func refusalOf(body io.Reader) (code, ran string) {
	var refused api.ErrorResponse
	if json.NewDecoder(io.LimitReader(body, maxLoadAnswer)).Decode(&refused) != nil || refused.Error.Code == "" {
		return "unreadable", "unknown"
	}
	return refused.Error.Code, string(refused.Error.Ran)
}
