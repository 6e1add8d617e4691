package httpserver

import (
	"net/http"

	"github.com/persimmonline/persimmonline/refusal"
)

// muxRouter is go-zero's router interface over http.ServeMux, so that routes may
// end in a wildcard and every miss is answered with a refusal.
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

// SetNotFoundHandler is part of go-zero's interface; misses are refusals here.
func (m *muxRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler is part of go-zero's interface; misses are refusals here.
func (m *muxRouter) SetNotAllowedHandler(http.Handler) {}

// ServeHTTP serves a request, or refuses it when no route matches.
func (m *muxRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler, pattern := m.mux.Handler(r)
	if pattern != "" {
		m.mux.ServeHTTP(w, r)
		return
	}
	miss := &missWriter{header: http.Header{}}
	handler.ServeHTTP(miss, r)
	if miss.status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", miss.header.Get("Allow"))
		refusal.New(http.StatusMethodNotAllowed, refusal.CodeMethodNotAllowed,
			"method %s is not allowed on %s", r.Method, r.URL.Path).Write(w, "")
		return
	}
	refusal.New(http.StatusNotFound, refusal.CodeNotFound, "no route for %s", r.URL.Path).Write(w, "")
}

// missWriter learns from ServeMux whether a miss is a 404 or a 405.
type missWriter struct {
	header http.Header
	status int
}

func (m *missWriter) Header() http.Header { return m.header }

func (m *missWriter) Write(p []byte) (int, error) { return len(p), nil }

func (m *missWriter) WriteHeader(status int) { m.status = status }
