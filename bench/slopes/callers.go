package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxOpenCalls bounds the concurrent calls.
	maxOpenCalls = 512
	// readyPoll is the time between two calls to a node that is not ready yet.
	readyPoll = 100 * time.Millisecond
)

// callersCommand sends requests at a fixed rate for a limited time.
type callersCommand struct {
	Target string        `help:"Base URL of a node's caller listener." required:""`
	Rate   float64       `help:"Requests a second." default:"100"`
	Tokens int           `help:"Tokens of each answer." default:"8"`
	For    time.Duration `help:"How long to send." default:"20s"`
}

// Run implements the command.
func (c *callersCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.For)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOpenCalls}}
	c.waitReady(ctx, client)
	open := make(chan struct{}, maxOpenCalls)
	var group sync.WaitGroup
	var failed, skipped atomic.Int64
	every(ctx, c.Rate, func(n int) {
		select {
		case open <- struct{}{}:
		default:
			skipped.Add(1)
			return
		}
		group.Go(func() {
			defer func() { <-open }()
			if err := c.call(client, n); err != nil {
				failed.Add(1)
			}
		})
	})
	group.Wait()
	if failed.Load()+skipped.Load() > 0 {
		_, _ = fmt.Fprintf(os.Stderr, "slopes: %d calls failed, %d were not sent\n", failed.Load(), skipped.Load())
	}
	return nil
}

// waitReady returns when the node answers a call, or when ctx ends.
func (c *callersCommand) waitReady(ctx context.Context, client *http.Client) {
	for ctx.Err() == nil && c.call(client, 0) != nil {
		time.Sleep(readyPoll)
	}
}

// call makes one streamed call and reads the complete answer.
func (c *callersCommand) call(client *http.Client, n int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"prompt %d"}]}`,
		serviceName(0), c.Tokens, n)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, c.Target+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey+"workspace-0")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
