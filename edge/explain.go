package edge

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/persimmonline/persimmonline/serving"
)

const (
	// ExplainPath is where a node's metrics listener answers a serving.Question.
	ExplainPath = "/explain"
	// maxQuestionBytes bounds the size of a question.
	maxQuestionBytes = 64 << 10
)

// ExplainError is the answer to a question that can't be answered.
type ExplainError struct {
	// Message for people.
	Message string `json:"error"`
}

// metricsRoutes returns the handlers of the metrics listener, which callers can't reach.
func (e *Edge) metricsRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("POST "+ExplainPath, e.serveExplanation)
	return mux
}

// serveExplanation answers where a request would go now. The question may hold a key, so that none of it
// but host and path is logged.
func (e *Edge) serveExplanation(w http.ResponseWriter, r *http.Request) {
	var question serving.Question
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestionBytes)).Decode(&question); err != nil {
		e.writeExplanation(w, http.StatusBadRequest, ExplainError{Message: "the question is not JSON: " + err.Error()})
		return
	}
	if question.RequestID != "" {
		e.serveRecent(w, question.RequestID)
		return
	}
	explanation, refused := e.handler.Explain(&question)
	event := e.logger.Info().Str("host", question.Host).Str("path", question.Path)
	if refused != nil {
		event.Str("code", string(refused.Code)).Msg("explanation refused")
		e.writeExplanation(w, refused.Status, ExplainError{Message: refused.Message})
		return
	}
	event.Str("choice", explanation.Choice).Msg("explanation given")
	e.writeExplanation(w, http.StatusOK, explanation)
}

// serveRecent answers what was decided about a request that has ended.
func (e *Edge) serveRecent(w http.ResponseWriter, id string) {
	explanation, refused := e.handler.Recent(id)
	if refused != nil {
		e.writeExplanation(w, refused.Status, ExplainError{Message: refused.Message})
		return
	}
	e.writeExplanation(w, http.StatusOK, explanation)
}

func (e *Edge) writeExplanation(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		e.logger.Warn().Err(err).Msg("explanation not sent")
	}
}
