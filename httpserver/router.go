package httpserver

import (
	"net/http"

	"github.com/persimmonline/persimmonline/refusal"
)

// muxRouter implements go-zero's router interface with http.ServeMux, so that routes may
// end in a wildcard and every unmatched request is answered with a refusal.
type muxRouter struct {
	mux *http.ServeMux
}

func newMuxRouter() *muxRouter {
	return &muxRouter{mux: http.NewServeMux()}
}

// Handle registers a route; an empty method means any.
func (m *muxRouter) Handle(method, path string, handler http.Handler) error {
	pattern := path
	if method != "" {
		pattern = method + " " + path
	}
	m.mux.Handle(pattern, handler)
	return nil
}

// SetNotFoundHandler implements go-zero's interface; it does nothing, since unmatched
// requests are refused here.
func (m *muxRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements go-zero's interface; it does nothing, since unmatched
// requests are refused here.
func (m *muxRouter) SetNotAllowedHandler(http.Handler) {}

// ServeHTTP serves a request, or refuses it if no route matches.
func (m *muxRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler, pattern := m.mux.Handler(r)
	if pattern != "" {
		m.mux.ServeHTTP(w, r)
		return
	}
	recorder := &statusRecorder{header: http.Header{}}
	handler.ServeHTTP(recorder, r)
	if recorder.status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", recorder.header.Get("Allow"))
		refusal.New(http.StatusMethodNotAllowed, refusal.CodeMethodNotAllowed,
			"method %s is not allowed on %s", r.Method, r.URL.Path).Write(w, "")
		return
	}
	refusal.New(http.StatusNotFound, refusal.CodeNotFound, "no route for %s", r.URL.Path).Write(w, "")
}

// statusRecorder records whether ServeMux answers an unmatched request with 404 or 405.
type statusRecorder struct {
	header http.Header
	status int
}

func (s *statusRecorder) Header() http.Header { return s.header }

func (s *statusRecorder) Write(p []byte) (int, error) { return len(p), nil }

func (s *statusRecorder) WriteHeader(status int) { s.status = status }
