package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/refusal"
)

// defaultAnswerTokens is the expected length of an answer without a token limit.
const defaultAnswerTokens = 256

// call is one accepted chat request.
type call struct {
	id        string
	workspace string
	service   string
	priority  int
	route     api.Route
	request   api.ChatRequest
	// body as the caller sent it.
	body []byte
	// deadline set by the caller; zero means none.
	deadline time.Time
	// fields holds the raw fields of the body, so that unknown ones pass through.
	fields map[string]json.RawMessage
	// text is the prompt as engines process it.
	text   []byte
	blocks []uint64
	// cached is the part of the prompt that the chosen upstream is expected to have in
	// its prefix cache, in tokens.
	cached int
}

// HeaderTimeout is the header that bounds a request, in milliseconds from its arrival.
const HeaderTimeout = "X-Persimmon-Timeout-Ms"

// readDeadline returns the deadline set by the caller; zero when there is none.
func readDeadline(r *http.Request, now time.Time) (time.Time, *refusal.Refusal) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return time.Time{}, nil
	}
	timeout, err := strconv.ParseInt(text, 10, 32)
	if err != nil || timeout <= 0 {
		return time.Time{}, refusal.InvalidField(HeaderTimeout, "%s must be a number of milliseconds above 0", HeaderTimeout)
	}
	return now.Add(time.Duration(timeout) * time.Millisecond), nil
}

// readBody reads a request body up to the size limit.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.Settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.New(http.StatusRequestEntityTooLarge, refusal.CodeBodyTooLarge,
			"the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, refusal.New(http.StatusBadRequest, refusal.CodeCanceled, "the body could not be read").WithCause("read body", "", err)
	}
	return body, nil
}

// newCall decodes and validates a chat request of a workspace.
func newCall(index *config.Index, workspace string, body []byte) (*call, *refusal.Refusal) {
	c := &call{workspace: workspace, body: body}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "the body is not a JSON object: %v", err)
	}
	if err := json.Unmarshal(body, &c.request); err != nil {
		return nil, fieldRefusal(err)
	}
	if r := c.check(); r != nil {
		return nil, r
	}
	service, known := index.Service(c.request.Model)
	route, routed := index.Route(workspace, c.request.Model)
	if !known || !routed || service.Kind != api.ServiceKindModel {
		r := refusal.New(http.StatusNotFound, refusal.CodeUnknownModel, "model %q does not exist or this workspace has no route to it", c.request.Model)
		r.Param = "model"
		return nil, r
	}
	c.service = c.request.Model
	c.route = route
	c.priority = route.Priority
	c.text = prompt.Text(c.request.Messages)
	c.blocks = prompt.Blocks(c.text)
	return c, nil
}

// fieldRefusal returns the refusal of a body with a field of the wrong type.
func fieldRefusal(err error) *refusal.Refusal {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return refusal.InvalidField(wrongType.Field, "%s must not be a %s", wrongType.Field, wrongType.Value)
	}
	return refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "the body can't be read: %v", err)
}

func (c *call) check() *refusal.Refusal {
	switch {
	case c.request.Model == "":
		return refusal.InvalidField("model", "model is missing")
	case len(c.request.Messages) == 0:
		return refusal.InvalidField("messages", "messages is empty")
	case c.request.N > 1:
		return refusal.InvalidField("n", "n must be 1")
	case c.request.MaxTokens < 0:
		return refusal.InvalidField("max_tokens", "max_tokens must not be negative")
	case c.request.MaxCompletionTokens < 0:
		return refusal.InvalidField("max_completion_tokens", "max_completion_tokens must not be negative")
	case c.request.Resume != nil:
		return refusal.InvalidField("resume", "resume is not a field that callers may set")
	}
	for i, message := range c.request.Messages {
		if message.Role == "" {
			param := fmt.Sprintf("messages.%d.role", i)
			return refusal.InvalidField(param, "%s is missing", param)
		}
	}
	return nil
}

// answerTokens returns the expected length of the answer.
func (c *call) answerTokens() int {
	switch {
	case c.request.MaxCompletionTokens > 0:
		return c.request.MaxCompletionTokens
	case c.request.MaxTokens > 0:
		return c.request.MaxTokens
	default:
		return defaultAnswerTokens
	}
}

// tokens returns the expected cost of the call, in prompt and answer tokens.
func (c *call) tokens() int { return prompt.Tokens(c.text) + c.answerTokens() }

// engineBody returns the body for an engine: the caller's body, with streaming and usage
// always on, resuming after the tokens that are already in the journal.
func (c *call) engineBody(resume *api.ChatResume) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields)+3)
	for name, value := range c.fields {
		fields[name] = value
	}
	fields["stream"] = json.RawMessage(`true`)
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if resume != nil {
		encoded, err := json.Marshal(resume)
		if err != nil {
			return nil, fmt.Errorf("encode resume of request %s: %w", c.id, err)
		}
		fields["resume"] = encoded
	}
	return json.Marshal(fields)
}

// wantsUsage reports whether a streamed answer ends with a usage chunk.
func (c *call) wantsUsage() bool {
	return c.request.StreamOptions != nil && c.request.StreamOptions.IncludeUsage
}
