package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/persimmonline/persimmonline/edge"
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/serving"
)

const (
	explainTimeout = 5 * time.Second
	// maxExplanationBytes bounds the answer of a node with many upstreams.
	maxExplanationBytes = 16 << 20
)

// explainCommand asks a running node.
type explainCommand struct {
	Host string `arg:"" optional:"" help:"Host of the request."`
	Path string `arg:"" optional:"" help:"Path of the request."`

	Request string `help:"Id of a request that the node has ended in the last minutes, in place of HOST PATH."`

	Node         string   `help:"Metrics address of the node, IP:port; by default that of the settings file." env:"PERSIMMON_NODE"`
	Key          string   `help:"Key of the workspace; better in the environment, where other users don't see it." env:"PERSIMMON_KEY" xor:"workspace"`
	Workspace    string   `help:"Workspace by name, in place of a key." xor:"workspace"`
	PromptTokens int      `help:"Tokens of the prompt; by default the sum over its parts."`
	AnswerTokens int      `help:"Most tokens of the answer."`
	Part         []string `help:"Part of the prompt, ID=TOKENS, in order; repeat it." placeholder:"ID=TOKENS" sep:"none"`
	JSON         bool     `help:"Print JSON." name:"json"`
}

// run prints the explanation and returns the exit code.
func (c *explainCommand) run(out, errs io.Writer) int {
	question, err := c.question()
	if err != nil {
		_, _ = fmt.Fprintf(errs, "persimmon-edge explain: %v\n", err)
		return exitSettings
	}
	answer, err := c.ask(question)
	if err == nil {
		err = c.print(out, answer)
	}
	if err != nil {
		_, _ = fmt.Fprintf(errs, "persimmon-edge explain: %v\n", err)
		return exitFailure
	}
	return 0
}

func (c *explainCommand) question() (*serving.Question, error) {
	switch {
	case c.Request != "" && c.Host != "":
		return nil, errors.New("--request stands in place of HOST PATH")
	case c.Request != "":
		return &serving.Question{RequestID: c.Request}, nil
	case c.Path == "":
		return nil, errors.New("neither HOST PATH nor --request")
	}
	question := &serving.Question{
		Host: c.Host, Path: c.Path, Key: c.Key, Workspace: c.Workspace, PromptTokens: c.PromptTokens, AnswerTokens: c.AnswerTokens,
	}
	sum := 0
	for _, part := range c.Part {
		id, count, _ := strings.Cut(part, "=")
		tokens, err := strconv.Atoi(count)
		if id == "" || err != nil || tokens < 0 {
			return nil, fmt.Errorf("--part: %q is not ID=TOKENS", part)
		}
		question.Parts = append(question.Parts, serving.PromptPart{ID: id, Tokens: tokens})
		sum += tokens
	}
	if question.PromptTokens == 0 {
		question.PromptTokens = sum
	}
	return question, nil
}

// ask sends the question to the node and returns its answer.
func (c *explainCommand) ask(question *serving.Question) ([]byte, error) {
	node := c.Node
	if node == "" {
		settings, err := platform.LoadSettings()
		if err != nil {
			return nil, fmt.Errorf("no --node: %w", err)
		}
		node = settings.MetricsAddress()
	}
	body, err := json.Marshal(question)
	if err != nil {
		return nil, fmt.Errorf("encode the question: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+edge.ExplainPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", node, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("node %s does not answer: %w", node, errors.Unwrap(err))
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := memory.ReadAtMost(response.Body, maxExplanationBytes)
	if err != nil {
		return nil, fmt.Errorf("read the answer of node %s: %w", node, err)
	}
	if response.StatusCode == http.StatusOK {
		return answer, nil
	}
	var failure edge.ExplainError
	if err := json.Unmarshal(answer, &failure); err != nil || failure.Message == "" {
		return nil, fmt.Errorf("node %s answers %s", node, response.Status)
	}
	return nil, fmt.Errorf("node %s: %s", node, failure.Message)
}

// print prints an answer as it is, or for people.
func (c *explainCommand) print(out io.Writer, answer []byte) error {
	if c.JSON {
		_, err := out.Write(answer)
		return err
	}
	if c.Request != "" {
		var recent serving.RecentExplanation
		if err := json.Unmarshal(answer, &recent); err != nil {
			return fmt.Errorf("decode the answer: %w", err)
		}
		return printRecent(out, &recent)
	}
	var explanation serving.Explanation
	if err := json.Unmarshal(answer, &explanation); err != nil {
		return fmt.Errorf("decode the answer: %w", err)
	}
	return printExplanation(out, &explanation)
}
