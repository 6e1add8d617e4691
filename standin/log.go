package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// Log is a stand-in for the platform's append-only log service.
type Log struct {
	mu            sync.Mutex
	streams       map[string]*stream
	changed       chan struct{}
	down          bool
	delay         time.Duration
	dropResponses int
	redeliver     int64
	appends       int
	hook          AppendHook
}

// AppendHook is called before an append takes effect and again after it has, before the
// response. It may block, and may panic with http.ErrAbortHandler to abort the call.
type AppendHook func(stream string, records []api.RawRecord, effective bool)

// SetHook sets the hook of appends; nil for none.
func (l *Log) SetHook(hook AppendHook) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hook = hook
}

func (l *Log) callHook(stream string, records []api.RawRecord, effective bool) {
	l.mu.Lock()
	hook := l.hook
	l.mu.Unlock()
	if hook != nil {
		hook(stream, records, effective)
	}
}

// stream holds the records from offset base on.
type stream struct {
	base    int64
	records []api.StoredRecord
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: map[string]*stream{}, changed: make(chan struct{})}
}

// SetDown makes every call fail without effect until it is set to false.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notifyReaders()
}

// SetDelay delays every call.
func (l *Log) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// DropResponses makes the next n appends take effect without a response.
func (l *Log) DropResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropResponses = n
}

// RedeliverRecords makes every read that returns records also return up to n older ones.
func (l *Log) RedeliverRecords(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.redeliver = n
}

// Trim removes the records of a stream below an offset.
func (l *Log) Trim(name string, below int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if drop := below - s.base; drop > 0 {
		drop = min(drop, int64(len(s.records)))
		s.records = s.records[drop:]
		s.base += drop
	}
}

// Appends returns the number of append calls that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Handler serves the log's protocol.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.read)
	return mux
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var request api.AppendRequest
	if !readJSON(w, r, &request) {
		return
	}
	l.callHook(r.PathValue("stream"), request.Records, false)
	if !l.applyFaults(w, r) {
		return
	}
	l.mu.Lock()
	s := l.stream(r.PathValue("stream"))
	first := s.base + int64(len(s.records))
	for i, record := range request.Records {
		s.records = append(s.records, api.StoredRecord{
			Offset: first + int64(i),
			AtMS:   time.Now().UnixMilli(),
			Data:   record.Data,
		})
	}
	l.appends++
	dropResponse := l.dropResponses > 0
	if dropResponse {
		l.dropResponses--
	}
	l.notifyReaders()
	l.mu.Unlock()
	l.callHook(r.PathValue("stream"), request.Records, true)
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, api.AppendResponse{FirstOffset: first})
}

// applyFaults applies the faults that affect every call; false means that the call has ended.
func (l *Log) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	down, delay := l.down, l.delay
	l.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return false
		}
	}
	if down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r) {
		return
	}
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("limit"))
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	for {
		page, changed, down := l.page(r.PathValue("stream"), from, limit)
		if down {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
		if len(page.Records) > 0 || ctx.Err() != nil {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (l *Log) page(name string, from int64, limit int) (api.ReadResponse, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	next := s.base + int64(len(s.records))
	page := api.ReadResponse{Records: []api.StoredRecord{}, OldestOffset: s.base, NextOffset: next}
	start := max(from, s.base)
	if start < next {
		start = max(from-l.redeliver, s.base)
		end := min(next, start+int64(limit))
		page.Records = s.records[start-s.base : end-s.base : end-s.base]
	}
	return page, l.changed, l.down
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}
