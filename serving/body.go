package serving

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/refusal"
)

const (
	// defaultMaxBody is the limit of the body size in bytes if the configuration names none.
	defaultMaxBody = 4 << 20
	// defaultMemory is the budget in bytes of an account of its own, for a handler that was given none.
	defaultMemory = 64 << 20
	// requestBytes is the memory of a request besides its headers and its body: buffers and its connection to
	// an upstream.
	requestBytes = 16 << 10
	// headerCopies is how often a request's headers are held, and fieldBytes the memory of one field.
	headerCopies = 3
	fieldBytes   = 160
	// uploadGrace is the time that any upload has, and minUploadRate the bytes per second that a longer one
	// must reach.
	uploadGrace   = 10 * time.Second
	minUploadRate = 16 << 10
	// progressStep is the number of bytes of an upload after which its deadline is set anew.
	progressStep = 64 << 10
	// roomWait is how long a request waits for the room of stalled uploads.
	roomWait = 500 * time.Millisecond
	// unreadBodyTime is how long the rest of a refused body is read, so that the caller can read the refusal.
	unreadBodyTime = time.Second
)

// reserveRequest reserves the memory of a request without its body.
func (h *Handler) reserveRequest(request *Request, r *http.Request) *refusal.Refusal {
	request.memory = h.Memory.Open(request.Workspace)
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	bytes := requestBytes + headerCopies*(int64(headerBytes(r))+int64(fields)*fieldBytes)
	if err := request.memory.Grow(r.Context(), bytes, roomWait); err != nil {
		return noRoom(err)
	}
	return nil
}

func noRoom(err error) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded, "other requests fill the memory").
		WithRetryAfter(retryAfterSoon).WithCause("reserve memory", "", err)
}

// upload is a body that is being read. It sets the deadline of its connection to what the least rate allows, and
// tells the account that it flows.
type upload struct {
	body        io.Reader
	reservation *memory.Reservation
	controller  *http.ResponseController
	began       time.Time
	latest      time.Time
	read, next  int64
}

func (u *upload) Read(p []byte) (int, error) {
	n, err := u.body.Read(p)
	u.read += int64(n)
	if n > 0 && err == nil {
		u.reservation.Progress(time.Now())
		if u.read >= u.next {
			u.next = u.read + progressStep
			u.extend()
		}
	}
	return n, err
}

// extend sets the read deadline: a rate of its own for the upload, but not beyond the request's time.
func (u *upload) extend() {
	earned := time.Duration(u.read) * time.Second / minUploadRate
	deadline := u.began.Add(uploadGrace + earned)
	if u.latest.Before(deadline) {
		deadline = u.latest
	}
	_ = u.controller.SetReadDeadline(deadline) // Fails only on a closed connection.
}

// readBody reads the complete body, so that it can be sent again. Its memory stays reserved until the request
// has ended.
func (h *Handler) readBody(table *catalog.Table, request *Request, w http.ResponseWriter, r *http.Request) *refusal.Refusal {
	limit := table.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	u := &upload{
		body: r.Body, reservation: request.memory, controller: http.NewResponseController(w),
		began: request.ArrivedAt, latest: deadlineOf(request), next: progressStep,
	}
	u.extend()
	request.memory.BeginUpload(func() { _ = u.controller.SetReadDeadline(time.Unix(1, 0)) }, time.Now())
	body, err := request.memory.ReadAll(r.Context(), u, r.ContentLength, limit, roomWait)
	complete := request.memory.EndUpload()
	if err == nil && complete {
		_ = u.controller.SetReadDeadline(time.Time{}) // Fails only on a closed connection.
		request.Body, request.bodyRead = body, true
		return nil
	}
	return bodyRefusal(err, complete, limit)
}

func bodyTooLarge(limit int64) *refusal.Refusal {
	return refusal.New(http.StatusRequestEntityTooLarge, refusal.CodeBodyTooLarge, "the body is over %d bytes", limit)
}

// bodyRefusal returns the refusal of a request whose body was not read. None has run.
func bodyRefusal(err error, complete bool, limit int64) *refusal.Refusal {
	var network interface{ Timeout() bool }
	switch {
	case !complete || errors.Is(err, memory.ErrYielded):
		return noRoom(memory.ErrYielded)
	case errors.Is(err, memory.ErrFull):
		return noRoom(err)
	case errors.Is(err, memory.ErrTooLarge):
		return bodyTooLarge(limit)
	case errors.As(err, &network) && network.Timeout():
		return refusal.New(http.StatusRequestTimeout, refusal.CodeDeadline, "the body did not come in time").WithCause("read the body", "", err)
	}
	return refusal.New(http.StatusBadRequest, refusal.CodeInvalidField, "the body ended early").WithCause("read the body", "", err)
}

// closeUnread makes the connection of a refused request end if the rest of its body is not read, so that its bytes
// can't become a request, and bounds how long the server reads on.
func closeUnread(w http.ResponseWriter, r *http.Request, request *Request) {
	if r.ContentLength == 0 || (request != nil && request.bodyRead) {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime)) // Fails only on a closed connection.
}

const (
	// answerRoomWait is how long an answer waits for room; its upstream waits with it.
	answerRoomWait = 2 * time.Second
	// maxFailureBytes bounds the body of an answer that is no success.
	maxFailureBytes = 1 << 20
	// answerHeadFactor is the memory of an answer's head of many short fields, as a multiple of its size.
	answerHeadFactor = 16
)

// readAnswer reads a whole answer.
func (x *exchange) readAnswer(ctx context.Context, success bool) ([]byte, error) {
	limit := int64(maxResponseBytes)
	if !success {
		limit = maxFailureBytes
	}
	return x.run.request.memory.ReadAll(ctx, x.answer.Body(), x.answer.Response.ContentLength, limit, answerRoomWait)
}

// reserveHead reserves the memory of a long head of an answer.
func (x *exchange) reserveHead(bytes int) error {
	return x.run.request.memory.Grow(x.ctx, int64(bytes)*answerHeadFactor, answerRoomWait)
}

// refusedForSize reports whether an exchange ended because its answer was too large to be held, which says
// nothing about whether its upstream lives.
func refusedForSize(err error) bool {
	return errors.Is(err, memory.ErrFull) || errors.Is(err, memory.ErrTooLarge)
}
