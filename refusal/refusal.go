// Package refusal defines the error with which every layer refuses a request: an
// OpenAI-compatible error body that also states whether the request ran.
package refusal

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// Names of the response headers of every refusal.
const (
	// HeaderRan is whether the request ran: "no" or "unknown".
	HeaderRan = "X-Persimmon-Ran"
	// HeaderCode is the cause of the refusal.
	HeaderCode = "X-Persimmon-Code"
	// HeaderRequestID identifies the request.
	HeaderRequestID = "X-Request-Id"
)

// Ran is whether any byte of a request can have reached an upstream.
type Ran = api.ErrorDetailRan

// Values of Ran.
const (
	// RanNo means that the request did not run.
	RanNo Ran = api.ErrorDetailRanNo
	// RanUnknown means that the request may have run.
	RanUnknown Ran = api.ErrorDetailRanUnknown
)

// Code is the cause of a refusal.
type Code string

// Causes of refusals.
const (
	CodeInvalidKey       Code = "invalid_api_key"
	CodeForbidden        Code = "route_not_allowed"
	CodeInvalidJSON      Code = "invalid_json"
	CodeInvalidField     Code = "invalid_field"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeAnswerTooLarge   Code = "answer_too_large"
	CodeUnknownModel     Code = "model_not_found"
	CodeNotFound         Code = "not_found"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeNoConfiguration  Code = "no_configuration"
	CodeUnconfirmed      Code = "configuration_unconfirmed"
	CodeOverloaded       Code = "overloaded"
	CodeWorkspaceLimit   Code = "workspace_limit"
	CodeNoUpstream       Code = "no_upstream"
	CodeUpstreamFailed   Code = "upstream_failed"
	CodeCrashesUpstreams Code = "request_crashes_upstreams"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeInProgress       Code = "call_in_progress"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeLogUnavailable   Code = "log_unavailable"
	CodeDraining         Code = "draining"
	CodeDeadline         Code = "deadline"
	CodeCanceled         Code = "canceled"
	CodeInternal         Code = "internal"
	CodeStaleVersion     Code = "stale_version"
)

// Refusal is the error that a caller receives. Step and Peer locate its origin.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Code is the cause.
	Code Code
	// Ran is whether the request ran.
	Ran Ran
	// Message is the human-readable description.
	Message string
	// Param is the invalid field; empty when there is none.
	Param string
	// RetryAfter is the delay before a retry; 0 when a retry does not help.
	RetryAfter time.Duration
	// Step is the operation that failed.
	Step string
	// Peer is the process on the other side; empty when there is none.
	Peer string
	// Err is the underlying error, if any.
	Err error
}

// New returns a refusal of a request that did not run.
func New(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Ran: RanNo, Message: fmt.Sprintf(format, args...)}
}

// InvalidField returns a 400 refusal that names the invalid field.
func InvalidField(param, format string, args ...any) *Refusal {
	r := New(http.StatusBadRequest, CodeInvalidField, format, args...)
	r.Param = param
	return r
}

// WithCause sets the step, the peer and the underlying error of r and returns it.
func (r *Refusal) WithCause(step, peer string, err error) *Refusal {
	r.Step, r.Peer, r.Err = step, peer, err
	return r
}

// WithRetryAfter sets the delay before a retry of r and returns it.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithUnknownOutcome marks r as a request that may have run and returns it.
func (r *Refusal) WithUnknownOutcome() *Refusal {
	r.Ran = RanUnknown
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("%s (%s, ran: %s)", r.Message, r.Code, r.Ran)
	if r.Step != "" {
		text = fmt.Sprintf("step %s: %s", r.Step, text)
	}
	if r.Peer != "" {
		text = fmt.Sprintf("peer %s: %s", r.Peer, text)
	}
	if r.Err != nil {
		text = fmt.Sprintf("%s: %v", text, r.Err)
	}
	return text
}

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error { return r.Err }

// FromError returns the refusal in err's chain. Any other error becomes an internal refusal
// with unknown outcome, since its effect is unknown.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(http.StatusInternalServerError, CodeInternal, "internal error").WithUnknownOutcome().WithCause("", "", err)
}

// Body returns the refusal as an OpenAI error body.
func (r *Refusal) Body(requestID string) api.ErrorResponse {
	detail := api.ErrorDetail{
		Message:      r.Message,
		Type:         errorType(r.Status),
		Code:         string(r.Code),
		Ran:          r.Ran,
		RequestID:    requestID,
		RetryAfterMS: int(r.RetryAfter / time.Millisecond),
	}
	if r.Param != "" {
		detail.Param = &r.Param
	}
	return api.ErrorResponse{Error: detail}
}

// Write sends the refusal as an HTTP response, with retry headers.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	if r.RetryAfter > 0 {
		header := w.Header()
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds(r.RetryAfter)))
		header.Set("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	r.WriteAnswer(w, requestID)
}

// WriteAnswer sends the refusal without retry headers, for protocols with other ones, which the
// caller has set already.
func (r *Refusal) WriteAnswer(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRan, string(r.Ran))
	header.Set(HeaderCode, string(r.Code))
	if requestID != "" {
		header.Set(HeaderRequestID, requestID)
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(r.Body(requestID))
}

// retryAfterSeconds rounds up, since Retry-After is in whole seconds.
func retryAfterSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}
