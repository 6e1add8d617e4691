package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/upstream"
)

const (
	// keepaliveInterval is the longest time between two lines of an answer.
	keepaliveInterval = time.Second
	// SilenceTimeout is the time without a line after which a connection to a peer is
	// considered silent.
	SilenceTimeout = 3 * keepaliveInterval
	// maxLineBytes bounds a line of an answer. The longest holds an event of an upstream, of 1 MiB at most,
	// which grows up to sixfold as it is encoded.
	maxLineBytes = 8 << 20
)

// Answer is the answer of the node that holds a request, encoded as JSON lines of
// api.PeerEvent.
type Answer struct {
	address string
	body    io.ReadCloser
	line    *io.LimitedReader
	decoder *json.Decoder
}

func newAnswer(address string, body io.ReadCloser) *Answer {
	line := &io.LimitedReader{R: body}
	return &Answer{address: address, body: body, line: line, decoder: json.NewDecoder(line)}
}

// Event is one line of an answer; a keepalive has no field set.
type Event struct {
	// Opened is how the caller requested the answer.
	Opened *api.PeerOpened
	// Chunk of the answer.
	Chunk *api.ChatChunk
	// Moved ends an answer that continues at another node.
	Moved *api.PeerMoved
	// Done ends a complete answer.
	Done bool
	// Refused ends an incomplete answer.
	Refused *refusal.Refusal
}

// Next returns the next line of the answer.
func (a *Answer) Next() (Event, error) {
	const step = "read answer of owner"
	var line api.PeerEvent
	a.line.N = maxLineBytes
	if err := a.decoder.Decode(&line); err != nil {
		return Event{}, &upstream.Error{Step: step, Peer: a.address, Sent: retry.MaybeSent, Err: err}
	}
	event := Event{Opened: line.Opened, Moved: line.Moved, Done: line.Done}
	if line.Refused != nil {
		event.Refused = decodeRefusal(line.Refused, a.address)
	}
	if line.Chunk == nil {
		return event, nil
	}
	event.Chunk = &api.ChatChunk{}
	if err := json.Unmarshal(line.Chunk.Data, event.Chunk); err != nil {
		return Event{}, &upstream.Error{Step: step, Peer: a.address, Sent: retry.MaybeSent, Err: err}
	}
	return event, nil
}

// Close ends the answer.
func (a *Answer) Close() { _ = a.body.Close() }

func decodeRefusal(r *api.PeerRefusal, address string) *refusal.Refusal {
	return &refusal.Refusal{
		Status:     r.Status,
		Code:       refusal.Code(r.Code),
		Ran:        refusal.Ran(r.Ran),
		Message:    r.Message,
		Param:      r.Param,
		RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
		Step:       "answer of owner",
		Peer:       address,
	}
}

// WriteEvents sends the pages of a journal to a peer until the journal is done or has
// moved to a successor. It writes at least one line per keepaliveInterval.
func WriteEvents(ctx context.Context, w http.ResponseWriter, journal *exchange.Exchange, from int) error {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := &eventWriter{encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
	if err := out.write(api.PeerEvent{}); err != nil {
		return err
	}
	opened := false
	for {
		page, err := nextPage(ctx, journal, from)
		if err != nil {
			return err
		}
		if known := journal.PeekOpened(); known != nil && !opened {
			opened = true
			if err := out.write(api.PeerEvent{Opened: known}); err != nil {
				return err
			}
		}
		if moved := journal.Moved(); moved != nil {
			return out.write(api.PeerEvent{Moved: moved})
		}
		if err := out.writePage(page); err != nil {
			return err
		}
		if page.Done {
			return out.write(lastEvent(page.Refused))
		}
		from += len(page.Chunks)
	}
}

// nextPage returns the next page, or an empty one after keepaliveInterval without chunks.
func nextPage(ctx context.Context, journal *exchange.Exchange, from int) (exchange.Page, error) {
	waitCtx, cancel := context.WithTimeout(ctx, keepaliveInterval)
	defer cancel()
	page, err := journal.Next(waitCtx, from)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return exchange.Page{}, nil
	}
	return page, err
}

// eventWriter writes JSON lines and flushes them.
type eventWriter struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

func (o *eventWriter) write(event api.PeerEvent) error {
	if err := o.encoder.Encode(event); err != nil {
		return err
	}
	return o.controller.Flush()
}

// writePage writes the chunks of a page, or a keepalive when there are none.
func (o *eventWriter) writePage(page exchange.Page) error {
	if len(page.Chunks) == 0 {
		return o.write(api.PeerEvent{})
	}
	for _, chunk := range page.Chunks {
		encoded, err := EncodeChunk(chunk)
		if err != nil {
			return err
		}
		if err := o.encoder.Encode(api.PeerEvent{Chunk: &encoded}); err != nil {
			return err
		}
	}
	return o.controller.Flush()
}

// EncodeChunk encodes a chunk for a peer.
func EncodeChunk(chunk api.ChatChunk) (api.PeerChunk, error) {
	data, err := json.Marshal(chunk)
	if err != nil {
		return api.PeerChunk{}, fmt.Errorf("encode chunk for peer: %w", err)
	}
	return api.PeerChunk{Data: data}, nil
}

// DecodeChunks decodes the chunks that a peer sent.
func DecodeChunks(encoded []api.PeerChunk) ([]api.ChatChunk, error) {
	chunks := make([]api.ChatChunk, len(encoded))
	for i, chunk := range encoded {
		if err := json.Unmarshal(chunk.Data, &chunks[i]); err != nil {
			return nil, fmt.Errorf("read chunk %d of peer: %w", i, err)
		}
	}
	return chunks, nil
}

func lastEvent(r *refusal.Refusal) api.PeerEvent {
	if r == nil {
		return api.PeerEvent{Done: true}
	}
	return api.PeerEvent{Refused: &api.PeerRefusal{
		Status:       r.Status,
		Code:         string(r.Code),
		Ran:          string(r.Ran),
		Message:      r.Message,
		Param:        r.Param,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}}
}
