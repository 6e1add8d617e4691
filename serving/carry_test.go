package serving_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/serving"
)

// leaving is a deployment of two engines, of which the one that gets the request leaves after three events.
type leaving struct {
	*deployment
	// opening is what the source sends before it leaves; moved answers a move, goesOn a request with Kv-From.
	opening string
	moved   func(l *leaving, w http.ResponseWriter)
	goesOn  behaviour

	mu      sync.Mutex
	source  string
	stream  net.Conn
	places  []string
	kvFrom  string
	dropped chan string
}

func deployLeaving(t *testing.T, moved func(l *leaving, w http.ResponseWriter)) *leaving {
	t.Helper()
	l := &leaving{opening: fmt.Sprintf(streamHead, "first") + chunk(stream(1, 3)), moved: moved, goesOn: continuesStream, dropped: make(chan string, 1)}
	l.deployment = deployWith(t, 2, l.behave, func(settings *serving.Settings) { settings.Mover = platform.NewEngines(memory.New(1 << 20)) })
	view := *l.view.Load()
	view.Table.Service("s").Engine = &catalog.Engine{Moves: true}
	l.view.Store(&view)
	return l
}

func (l *leaving) behave(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodDelete:
		l.dropped <- r.URL.Path
	case r.URL.Path == "/kv-move":
		l.moved(l, w)
	case r.Header.Get("Kv-From") != "":
		place := "destination "
		if r.Header.Get("X-Expect-Instance") == l.source {
			place = "source "
		}
		l.mu.Lock()
		l.kvFrom = r.Header.Get("Kv-From")
		l.places = append(l.places, place+r.Header.Get("Last-Event-Id"))
		l.mu.Unlock()
		l.goesOn(d, run, w, r)
	default:
		l.begin(w, r)
	}
}

// begin sends three events and makes the engine leave.
func (l *leaving) begin(w http.ResponseWriter, r *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, l.opening)
	l.mu.Lock()
	l.stream, l.source = conn, r.Header.Get("X-Expect-Instance")
	l.mu.Unlock()
	view := *l.view.Load()
	view.Leaving = map[string]time.Time{l.source + "/": time.Now().Add(550 * time.Millisecond)}
	l.view.Store(&view)
	l.handler.ViewChanged(&view)
}

// close ends the source's stream after some more text.
func (l *leaving) close(text string) {
	_, _ = io.WriteString(l.stream, text)
	_ = l.stream.Close()
}

func answer(w http.ResponseWriter, status int, body string) {
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

const handle = `{"handle":"h1","created":4}`

// stops ends the source's stream without its end and answers the move.
func stops(status int, body string) func(l *leaving, w http.ResponseWriter) {
	return func(l *leaving, w http.ResponseWriter) { l.close(""); answer(w, status, body) }
}

func TestMovesOfARun(t *testing.T) {
	whole := chunk(stream(4, 6)) + "0\r\n\r\n"
	for name, c := range map[string]struct {
		moved  func(l *leaving, w http.ResponseWriter)
		goesOn behaviour
		places []string
	}{
		"answered": {moved: stops(200, handle), places: []string{"destination 3"}},
		"answered late, a part of an event before": {
			moved: func(l *leaving, w http.ResponseWriter) {
				l.close(chunk(event(4) + "id: 5\nda"))
				time.Sleep(100 * time.Millisecond)
				answer(w, 200, handle)
			},
			places: []string{"destination 4"},
		},
		"answered, the stream stays open": {
			moved:  func(_ *leaving, w http.ResponseWriter) { answer(w, 200, handle) },
			places: []string{"destination 3"},
		},
		"refused for want of room": {moved: stops(503, handle), places: []string{"source 3"}},
		"refused, the run goes on": {moved: func(l *leaving, w http.ResponseWriter) { answer(w, 503, ""); l.close(whole) }},
		"the run has ended":        {moved: func(l *leaving, w http.ResponseWriter) { l.close(whole); answer(w, 404, "") }},
		"the destination refuses": {
			moved: stops(200, handle),
			goesOn: func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
				if _, isSource := d.view.Load().Leaving[r.Header.Get("X-Expect-Instance")+"/"]; !isSource {
					shed(d, run, w, r)
					return
				}
				continuesStream(d, run, w, r)
			},
			places: []string{"destination 3", "source 3"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := deployLeaving(t, c.moved)
			if c.goesOn != nil {
				l.goesOn = c.goesOn
			}
			got := l.call(context.Background(), "stream", nil)
			require.NoError(t, got.err)
			require.Equal(t, stream(1, 6), got.body)
			require.Equal(t, "first", got.header.Get("X-Response-Signature"))
			require.Equal(t, c.places, l.places)
			if len(c.places) > 0 {
				require.Equal(t, l.stream.LocalAddr().String()+"/h1", l.kvFrom)
			}
			require.Zero(t, l.events.count(func(e *events) int { return e.broken }))
		})
	}
}

func TestStreamThatEndsWhileItsMoveIsUnknownIsNotComplete(t *testing.T) {
	for name, moved := range map[string]string{
		"no answer":                      "",
		"no status":                      "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"blank in a field's name":        "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 27\r\n\r\n" + handle,
		"head ends early":                "HTTP/1.1 200 OK\r\nContent-Length: 2",
		"body ends early":                "HTTP/1.1 200 OK\r\n\r\n" + handle[:len(handle)/2],
		"refusal that may lack a handle": "HTTP/1.1 503 Full\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l := deployLeaving(t, func(l *leaving, w http.ResponseWriter) {
				l.close("")
				hijack(w, moved)
			})
			l.opening = "HTTP/1.1 200 OK\r\nX-Response-Signature: first\r\nX-Request-Id: id-1\r\n\r\n" + stream(1, 3)
			got := l.call(context.Background(), "stream", nil)
			require.Error(t, got.err)
			require.Equal(t, stream(1, 3), got.body)
			require.Empty(t, l.places)
		})
	}
}

func TestCopyIsFreedWhenTheCallerLeaves(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	l := deployLeaving(t, func(_ *leaving, w http.ResponseWriter) {
		leave()
		time.Sleep(50 * time.Millisecond)
		answer(w, 200, handle)
	})
	require.Error(t, l.call(ctx, "stream", nil).err)
	require.Equal(t, "/kv-handle/h1", <-l.dropped)
}
