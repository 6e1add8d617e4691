package standin

import (
	"encoding/binary"
	"net/http"
	"slices"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/prompt"
)

// exportStore holds the KV state of running and recent requests in limited memory; the oldest
// are evicted first.
type exportStore struct {
	limit  int
	tokens int
	order  []string
	states map[string]api.KVState
}

func newExportStore(limitTokens int) exportStore {
	return exportStore{limit: limitTokens, states: map[string]api.KVState{}}
}

// put stores the state of a request and replaces an earlier one.
func (s *exportStore) put(id string, state api.KVState) {
	old, known := s.states[id]
	if !known {
		s.order = append(s.order, id)
	}
	s.tokens += state.Tokens - old.Tokens
	s.states[id] = state
	for s.tokens > s.limit && len(s.order) > 1 {
		s.tokens -= s.states[s.order[0]].Tokens
		delete(s.states, s.order[0])
		s.order = slices.Delete(s.order, 0, 1)
	}
}

// kvOf returns the KV state of a job; its data is the fingerprint of the prompt.
func kvOf(j *job) api.KVState {
	return api.KVState{RequestID: j.id, Tokens: prompt.Tokens(j.text) + j.offset, Data: kvData(j)}
}

func kvData(j *job) []byte {
	return binary.BigEndian.AppendUint64(nil, prompt.Fingerprint(j.text))
}

// importable reports whether the data of a KV state belongs to the prompt of a job.
func importable(data []byte, j *job) bool { return slices.Equal(data, kvData(j)) }

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var request api.KVExportRequest
	if !readJSON(w, r, &request) {
		return
	}
	e.mu.Lock()
	state, ok := e.exports.states[request.RequestID]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "unknown request", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, state)
}
