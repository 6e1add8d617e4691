//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's log store, with one partition a topic. It loses what it has acknowledged
// only in a drill.
type store struct {
	world *world

	mu      sync.Mutex
	topics  map[string][]storedRecord
	changed chan struct{}
	era     int
	away    bool
	// refused holds the source addresses that get 503, while others are served.
	refused map[string]bool
}

type storedRecord struct {
	at  time.Time
	raw []byte
}

func newStore(w *world) *store {
	return &store{world: w, topics: map[string][]storedRecord{}, changed: make(chan struct{}), era: 1, refused: map[string]bool{}}
}

// put writes a keyed record, as the operator and the engines do. It fails while the store is away.
func (s *store) put(topic, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.append(topic, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
	return true
}

func (s *store) append(topic string, records [][]byte) {
	for _, raw := range records {
		s.topics[topic] = append(s.topics[topic], storedRecord{time.Now(), raw})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// end returns the end offset of a topic.
func (s *store) end(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

// goAway makes the store unavailable.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack makes the store available again, from the copy as of a moment. The caller writes again what the operator
// and the engines had written.
func (s *store) comeBack(asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, records := range s.topics {
		kept := sort.Search(len(records), func(i int) bool { return records[i].at.After(asOf) })
		if !strings.HasPrefix(topic, "keyed.op") && !strings.HasPrefix(topic, "keyed.servers") {
			s.world.note("store topic %s: the copy ends at offset %d, the store had ended at %d", topic, kept, len(records))
		}
		s.topics[topic] = append([]storedRecord(nil), records[:kept]...)
	}
	s.era++
	s.away = false
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	s.mu.Lock()
	away, era, refused := s.away, s.era, s.refused[host]
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.serveAppend(w, r, era)
	case "GET /log-newest":
		s.serveNewest(w, r)
	case "GET /log-read":
		s.serveRead(w, r, era)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, era int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		size := int(binary.BigEndian.Uint32(rest))
		records, rest = append(records, rest[4:4+size]), rest[4+size:]
	}
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	if s.away || s.era != era {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"endOffset":%d}`, end)
		return
	}
	s.append(topic, records)
	s.mu.Unlock()
	for i, raw := range records {
		s.world.note("store append %s offset %d: %.300q", topic, end+i, raw)
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"endOffset":%d}`, end, end+len(records))
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	newest := map[string]entry{}
	for offset, record := range records {
		end := 1 + int(record.raw[0])
		key, value := string(record.raw[1:end]), record.raw[end:]
		delete(newest, key)
		if len(value) > 0 {
			newest[key] = entry{key, base64.StdEncoding.EncodeToString(value), offset}
		}
	}
	entries := []entry{}
	for key, known := range newest {
		if key > r.URL.Query().Get("after") {
			entries = append(entries, known)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	more := len(entries) > 500
	entries = entries[:min(500, len(entries))]
	_ = json.NewEncoder(w).Encode(map[string]any{"entries": entries, "hasMore": more, "endOffset": len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, era int) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs")) // Absent means no wait.
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records, changed, gone := s.topics[query.Get("topic")], s.changed, s.away || s.era != era
		s.mu.Unlock()
		if gone {
			panic(http.ErrAbortHandler)
		}
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"startOffset":0}`)
			return
		}
		if len(records) > from || !waiting {
			raw := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			raw = binary.BigEndian.AppendUint64(raw, 0)
			for _, record := range records[from:] {
				if len(raw) > 1<<20 {
					break
				}
				raw = binary.BigEndian.AppendUint32(raw, uint32(len(record.raw)))
				raw = append(raw, record.raw...)
			}
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
