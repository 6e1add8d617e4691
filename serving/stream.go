package serving

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/persimmonline/persimmonline/memory"
)

// Load: streams that pause, end early, repeat events after they were resumed, or whose caller does not read.

const (
	// eventBuffer is the buffer size for a typical event of a stream.
	eventBuffer = 4 << 10
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxCrashDelay is the longest time from the first event of an answer to the crash of an upstream
	// that it causes.
	maxCrashDelay = time.Second
	// writeSlack is the time after the deadline at which the connection of a caller that does not
	// read is closed.
	writeSlack = time.Second
)

var (
	errTruncatedEvent = errors.New("stream ended within an event")
	errEventOrder     = errors.New("stream event out of order")
	errNoContinuation = errors.New("response does not continue the stream")
)

// awaitFirstEvent reads the first event of a stream. forward classifies an error in its place.
func (x *exchange) awaitFirstEvent() (outcome, error) {
	x.opened.reader = bufio.NewReaderSize(x.answer.Body(), eventBuffer)
	x.opened.firstEvent, x.opened.streamErr = x.readEvent(x.opened.reader)
	if x.opened.streamErr == nil {
		x.recordEvent()
	}
	return outcomeAnswered, nil
}

// forwardStream forwards the events of a stream as they arrive; only complete events are forwarded.
func (x *exchange) forwardStream() (outcome, error) {
	r, reader := x.run, x.opened.reader
	controller := http.NewResponseController(r.caller)
	if err := controller.SetWriteDeadline(r.deadline.Add(writeSlack)); err != nil {
		r.handler.Logger.Warn().Err(err).Str("request", r.request.ID).Msg("write deadline for the caller not set")
	}
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	event, err := x.opened.firstEvent, x.opened.streamErr
	r.handler.carrier.register(x)
	defer r.handler.carrier.release(x)
	for {
		if err != nil {
			return x.classifyStreamEnd(event, err)
		}
		x.silence.reset(gapTimeout(r.request.Route))
		arrived := r.recordArrival()
		if err := x.forwardEvent(event, reader, controller); err != nil {
			return outcomeBroken, err
		}
		r.longestWrite = max(r.longestWrite, time.Since(arrived))
		if r.ctx.Err() != nil {
			return outcomeCanceled, r.ctx.Err()
		}
		if event, err = x.readEvent(reader); err == nil {
			x.recordEvent()
		}
	}
}

// recordArrival records that an event of a stream arrived now, and the pause before it.
func (r *requestRun) recordArrival() (now time.Time) {
	now = time.Now()
	if !r.lastEventAt.IsZero() {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	return now
}

// recordEvent counts an event; the first one shows that the prompt was processed.
func (x *exchange) recordEvent() {
	now := time.Now()
	if x.eventCount == 0 {
		x.firstEventAt = now
		x.run.markStarted()
		x.tracked.RecordFirstToken(now)
	}
	x.sample.event(now)
	x.tracked.RecordToken(now)
	x.eventCount++
	x.carried.recordEvents(x.eventCount)
	x.recordOutlived()
}

// forwardEvent forwards one event, unless a resumed stream repeats an event that the caller already
// has.
func (x *exchange) forwardEvent(event []byte, reader *bufio.Reader, controller *http.ResponseController) error {
	r := x.run
	if id := eventID(event); id != "" {
		order, comparable := compareIDs(id, r.lastEventID)
		if comparable && order <= 0 {
			if r.headerSent && len(r.attempts) > 0 {
				return nil
			}
			return errEventOrder
		}
		r.lastEventID = id
	} else if x.continues && !isComment(event) {
		return errNoContinuation
	}
	if !r.headerSent {
		r.recordFirstByte()
		r.handler.Adapter.CopyResponseHeader(r.caller.Header(), x.answer.Response)
		r.status, r.headerSent = x.answer.Response.StatusCode, true
		r.caller.WriteHeader(r.status)
	}
	if _, err := r.caller.Write(event); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if completeEventBuffered(reader) {
		return nil
	}
	if err := controller.Flush(); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	return nil
}

// writingForLong reports whether the upstream has been writing the answer for so long that the request
// did not crash it.
func (x *exchange) writingForLong() bool {
	return x.eventCount > 0 && time.Since(x.firstEventAt) > maxCrashDelay
}

// recordOutlived records, once, that the parts of the prompt have not crashed the upstream that writes the
// answer. The end of a long answer is no further evidence: it would count against crashes under requests
// that began after this one.
func (x *exchange) recordOutlived() {
	if x.outlived || !x.writingForLong() {
		return
	}
	x.outlived = true
	x.run.handler.Successes.Record(x.run.traits[wholeTraits:], x.run.handler.MonotonicNow())
}

// classifyStreamEnd distinguishes the regular end of a stream from a broken one, and from that of a run that
// was moved.
func (x *exchange) classifyStreamEnd(rest []byte, err error) (outcome, error) {
	r := x.run
	if ended, cause := x.endedByMove(err); cause != nil {
		r.markStarted()
		return ended, cause
	}
	switch {
	case errors.Is(err, io.EOF) && len(rest) == 0 && x.continues && x.eventCount == 0 && !x.endsEmpty():
		err = errNoContinuation
	case errors.Is(err, io.EOF) && len(rest) == 0 && r.headerSent:
		if err = x.confirmEnd(streamConfirmSettle); err != nil {
			break
		}
		x.answer.Finish()
		x.recordSuccess()
		return outcomeAnswered, nil
	case r.ctx.Err() != nil:
		r.markStarted()
		return outcomeCanceled, err
	case errors.Is(err, io.EOF):
		err = errTruncatedEvent
	}
	r.markStarted()
	return outcomeBroken, fmt.Errorf("read event %d: %w", x.eventCount, x.breakCause(err))
}

// endsEmpty reports whether a response without events is the end of a stream of which the caller has all
// events. An upstream's error, or a connection that ended early, is not.
func (x *exchange) endsEmpty() bool {
	mediaType, _, err := mime.ParseMediaType(x.answer.Response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && x.answer.Framed()
}

// isComment reports whether an event consists of comment lines only.
func isComment(event []byte) bool {
	for _, line := range bytes.Split(bytes.TrimSpace(event), []byte("\n")) {
		if !bytes.HasPrefix(line, []byte(":")) {
			return false
		}
	}
	return true
}

// readEvent returns the bytes of one event including the empty line that terminates it. With an
// error it returns the received part of an incomplete event. What exceeds the buffer of a typical event is
// reserved until the next one.
func (x *exchange) readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	x.run.request.memory.Shrink(x.eventBytes)
	x.eventBytes = 0
	for {
		line, err := reader.ReadSlice('\n')
		if size := len(event) + len(line); size > max(eventBuffer, cap(event)) {
			if err := x.reserveEvent(2 * size); err != nil {
				return event, err
			}
			event = append(make([]byte, 0, 2*size), event...)
		}
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return event, err
		case len(event) > len(line) && len(bytes.TrimRight(line, "\r\n")) == 0 && event[len(event)-len(line)-1] == '\n':
			return event, nil
		}
		if len(event) > maxEventBytes {
			return event, memory.ErrTooLarge
		}
	}
}

// reserveEvent reserves the buffer of a long event, beside the smaller one from which it is copied.
func (x *exchange) reserveEvent(bytes int) error {
	if err := x.run.request.memory.Grow(x.ctx, int64(bytes), answerRoomWait); err != nil {
		return err
	}
	x.eventBytes += int64(bytes)
	return nil
}

// completeEventBuffered reports whether the next event can be read without blocking.
func completeEventBuffered(reader *bufio.Reader) bool {
	buffered, _ := reader.Peek(reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// eventID returns the id of an event; empty when it has none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return strings.TrimSpace(string(value))
		}
	}
	return ""
}

// compareIDs compares two ids as numbers; comparable is false if one of them is not a number.
func compareIDs(a, b string) (order int, comparable bool) {
	first, err := strconv.ParseInt(a, 10, 64)
	if err != nil {
		return 0, false
	}
	second, err := strconv.ParseInt(b, 10, 64)
	if err != nil {
		return 0, false
	}
	return cmp.Compare(first, second), true
}
