// Package serving carries a caller's request through admission, routing, attempts at
// upstreams, retries and resumption to its answer. What a protocol calls things is
// left to an Adapter.
package serving

import (
	"net/http"
	"time"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/pacing"
)

// PromptPart is one part of a prompt; requests share their first parts.
type PromptPart struct {
	// ID names the part's content.
	ID string
	// Tokens of the part.
	Tokens int
}

// Request is a caller's request as the core sees it.
type Request struct {
	// ID of the caller's attempt.
	ID string
	// Method and Target are passed on unchanged.
	Method, Target string
	// Host and Path select the route.
	Host, Path string
	// Header holds what is passed on.
	Header http.Header
	// Body of the request, whole.
	Body []byte
	// Key that the caller presented; empty when there is none.
	Key string
	// CallerTimeout is how long the caller waits; 0 when it does not say.
	CallerTimeout time.Duration
	// PromptTokens and AnswerTokens are declared by the caller; AnswerTokens is a bound.
	PromptTokens, AnswerTokens int
	// DeclaresTokens says whether the caller declared them.
	DeclaresTokens bool
	// Parts of the prompt, in order.
	Parts []PromptPart
	// LastEventID is the last event of a stream that the caller has; empty when it begins.
	LastEventID string

	// ArrivedAt is when the request was read.
	ArrivedAt time.Time
	// Route and Workspace are found by the configuration in force; Workspace is empty
	// on a public route.
	Route     *catalog.Route
	Workspace string
	// Priority of the request, 0 (first) and up.
	Priority int
	// ConfigVersion of the configuration that was applied.
	ConfigVersion int64
}

// Attempt is one send of a request to an upstream.
type Attempt struct {
	// UpstreamID is the id that the upstream must have.
	UpstreamID string
	// Workspace of the caller.
	Workspace string
	// Remaining is the time that the upstream may take.
	Remaining time.Duration
	// LastEventID to go on from; empty when the stream begins.
	LastEventID string
	// EnginePriority is the engine's priority, 0 (first) to 9; negative leaves it to the engine.
	EnginePriority int
	// FetchFrom is the address of the engine from whose cache the start of the prompt is to be
	// copied; empty for none.
	FetchFrom string
}

// ResponseInfo is what an upstream's answer says of the request.
type ResponseInfo struct {
	// RequestID that the answer is for; empty when it does not say.
	RequestID string
	// Signed answers carry the upstream's signature.
	Signed bool
	// NotRun says that the request has not run and won't.
	NotRun bool
	// WrongUpstream says that another upstream has the address.
	WrongUpstream bool
	// ContentEncoded bodies are not the upstream's own bytes.
	ContentEncoded bool
	// Notice is what the answer says of the upstream itself, NoticeError what could not be
	// read of that.
	Notice      pacing.Notice
	NoticeError error
}

// Adapter translates between a protocol and the core.
type Adapter interface {
	// Decode reads the head of a caller's request. The error is for the caller.
	Decode(r *http.Request) (*Request, error)
	// UpstreamHeader returns the headers of an attempt.
	UpstreamHeader(request *Request, attempt Attempt) http.Header
	// InspectResponse reads the head of an upstream's answer.
	InspectResponse(response *http.Response) ResponseInfo
	// CopyResponseHeader copies the headers of an upstream's answer that the caller gets.
	CopyResponseHeader(to http.Header, response *http.Response)
	// SetRetryAfter says when a refused caller should come back.
	SetRetryAfter(to http.Header, after time.Duration)
}
