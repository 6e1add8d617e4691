// Package serving carries a caller's request through admission, routing, attempts at
// upstreams, retries and resumption to its response. Protocol details are left to an Adapter.
package serving

import (
	"net/http"
	"time"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/pacing"
)

// PromptPart is one part of a prompt; requests share their first parts.
type PromptPart struct {
	// ID names the part's content.
	ID string `json:"id"`
	// Tokens of the part.
	Tokens int `json:"tokens"`
}

// Request is a caller's request, independent of the protocol.
type Request struct {
	// ID that the caller gave the request.
	ID string
	// Method and Target are forwarded unchanged.
	Method, Target string
	// Host and Path select the route.
	Host, Path string
	// Header holds the header fields to forward.
	Header http.Header
	// Body is the complete body of the request.
	Body []byte
	// Key that the caller presented; empty if there is none.
	Key string
	// CallerTimeout is how long the caller waits; 0 if it is not stated.
	CallerTimeout time.Duration
	// PromptTokens and AnswerTokens are declared by the caller; AnswerTokens is an upper bound.
	PromptTokens, AnswerTokens int
	// DeclaresTokens is set if the caller declared them.
	DeclaresTokens bool
	// Parts of the prompt, in order.
	Parts []PromptPart
	// LastEventID is the last event of a stream that the caller has; empty for a new stream.
	LastEventID string

	// ArrivedAt is when the request was read.
	ArrivedAt time.Time
	// Route and Workspace are looked up in the configuration in force; Workspace is empty
	// on a public route.
	Route     *catalog.Route
	Workspace string
	// Priority of the request; 0 is the highest.
	Priority int
	// ConfigVersion of the configuration that was applied.
	ConfigVersion int64

	// memory is what the request holds until it has ended.
	memory *memory.Reservation
	// bodyRead is set once the body was read to its end.
	bodyRead bool
}

// Attempt is one send of a request to an upstream.
type Attempt struct {
	// UpstreamID is the id of the intended upstream.
	UpstreamID string
	// Workspace of the caller.
	Workspace string
	// Remaining is the time left for the upstream.
	Remaining time.Duration
	// LastEventID is the event after which the stream resumes; empty for a new stream.
	LastEventID string
	// EnginePriority is the priority within the engine, 0 (highest) to 9; if negative, the engine
	// decides.
	EnginePriority int
	// FetchFrom is the address of the engine from whose cache the prompt's prefix is to be copied;
	// empty for none.
	FetchFrom string
	// RunFrom is the address of the engine, and RunHandle its handle, of the memory with which the run
	// goes on; empty for a run that starts anew.
	RunFrom, RunHandle string
}

// ResponseInfo is the information in the headers of an upstream's response.
type ResponseInfo struct {
	// RequestID of the request that the response is for; empty if it is not stated.
	RequestID string
	// Signed is set if the response carries the upstream's signature.
	Signed bool
	// NotRun is set if the request has not run and will not run.
	NotRun bool
	// WrongUpstream is set if another upstream has taken over the address.
	WrongUpstream bool
	// ContentEncoded is set if the body was encoded and is not what the upstream produced.
	ContentEncoded bool
	// Notice is what the response states about the upstream itself, NoticeError the fault in a
	// notice that could not be parsed.
	Notice      pacing.Notice
	NoticeError error
}

// Adapter translates between a protocol and this package.
type Adapter interface {
	// Decode decodes the headers of a caller's request. The error is sent to the caller.
	Decode(r *http.Request) (*Request, error)
	// UpstreamHeader returns the request headers of an attempt.
	UpstreamHeader(request *Request, attempt Attempt) http.Header
	// InspectResponse reads the headers of an upstream's response.
	InspectResponse(response *http.Response) ResponseInfo
	// CopyResponseHeader copies the headers of an upstream's response that the caller gets.
	CopyResponseHeader(to http.Header, response *http.Response)
	// SetRetryAfter sets the header that tells a refused caller when to retry.
	SetRetryAfter(to http.Header, after time.Duration)
}
