//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of one engine, or of an instance of a plain service.
type engine struct {
	world                      *world
	id, service, zone, address string
	slots, queue               int
	born                       int64
	plain                      bool
	// pause is the time between two events of a stream, work that of a plain call.
	pause, work time.Duration

	// prefill is the number of prompt tokens that it reads in a millisecond, one prompt after the other; 0 for
	// no bound.
	prefill float64
	lane    chan struct{}
	// unframed makes it answer streams with neither a length nor chunks.
	unframed bool
	// endless makes it answer a share of the requests with bytes that are no answer, without end; in percent.
	endless atomic.Int64
	active  atomic.Int64
	// onCrash is called once a request with crashPart has crashed the engine.
	onCrash  func()
	listener net.Listener
	ended    chan struct{}
	places   chan struct{}

	mu  sync.Mutex
	ran map[string]time.Time
	// spoiled are the requests that it answered without end.
	spoiled map[string]bool
	// open are the channels, nil after a crash.
	open map[net.Conn]bool
}

// endlessChunk is what an engine in trouble sends after the head, every endlessPause.
const (
	endlessChunk = 32 << 10
	endlessPause = 20 * time.Millisecond
)

// startEngine starts an engine and registers it.
func (w *world) startEngine(id, service, zone string, slots, queue int, plain bool) (*engine, error) {
	e, err := listenEngine(id, service, zone, slots, queue, plain)
	if err != nil {
		return nil, err
	}
	e.world = w
	go w.report(e, e.ended)
	return e, nil
}

// listenEngine starts an engine.
func listenEngine(id, service, zone string, slots, queue int, plain bool) (*engine, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, zone: zone, address: listener.Addr().String(), slots: slots, queue: queue,
		born: time.Now().UnixMilli(), plain: plain, work: 15 * time.Millisecond, pause: 21 * time.Millisecond,
		ran: map[string]time.Time{}, spoiled: map[string]bool{}, places: make(chan struct{}, slots), lane: make(chan struct{}, 1), listener: listener, ended: make(chan struct{}), open: map[net.Conn]bool{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

// serve answers the requests on a channel, one after the other.
func (e *engine) serve(conn net.Conn) {
	e.mu.Lock()
	if e.open == nil {
		e.mu.Unlock()
		reset(conn)
		return
	}
	e.open[conn] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.open, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		// A closed channel drops the request. The caller sends nothing more before the answer.
		ctx, cancel := context.WithCancel(context.Background())
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := reader.Peek(1); err != nil && ctx.Err() == nil {
				cancel()
			}
		}()
		keep := e.answer(ctx, conn, request)
		if keep && ctx.Err() == nil {
			// The next request, or the end of the channel, ends the watch.
			<-watched
		}
		cancel()
		if !keep {
			return
		}
	}
}

func (e *engine) answer(ctx context.Context, conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("X-Request-Id")
	head := func(status int, extra string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\n%s", status, http.StatusText(status), id, e.id, extra)
	}
	send := func(text string) bool { _, err := io.WriteString(conn, text); return err == nil }
	switch {
	case request.URL.Path == "/kv-list":
		return send(head(200, "Content-Type: application/json\r\nContent-Length: 30\r\n\r\n") + `{"epoch":1,"next":0,"held":[]}`)
	case request.URL.Path == "/healthz":
		return send(head(200, "Content-Length: 0\r\n\r\n"))
	case request.Header.Get("X-Expect-Instance") != e.id:
		return send(head(421, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
	}
	defer e.active.Add(-1)
	if e.active.Add(1) > int64(e.slots+e.queue) || promptTokens(request) > memoryTokens {
		return send(head(503, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
	}
	select {
	case e.places <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.places }()
	e.mu.Lock()
	e.ran[id] = time.Now()
	e.mu.Unlock()
	signature := "X-Response-Signature: " + e.id + "." + id + "\r\n"
	if rand.Int64N(100) < e.endless.Load() {
		e.mu.Lock()
		e.spoiled[id] = true
		e.mu.Unlock()
		return e.answerWithoutEnd(ctx, conn, head(500, signature+"Content-Type: text/plain\r\n\r\n"))
	}
	if e.plain {
		if !pause(ctx, e.work) {
			return false
		}
		return send(head(200, signature+"Content-Length: 800\r\n\r\n") + fmt.Sprintf("%-800s", id))
	}
	if !e.readPrompt(ctx, promptTokens(request)) {
		return false
	}
	events, _ := strconv.Atoi(request.Header.Get("X-Review-Events"))
	first, _ := strconv.Atoi(request.Header.Get("X-Review-First-Ms"))
	framing := "Transfer-Encoding: chunked\r\n\r\n"
	if e.unframed {
		framing = "Connection: close\r\n\r\n"
	}
	if !pause(ctx, time.Duration(first)*time.Millisecond) || !send(head(200, signature+"Content-Type: text/event-stream\r\n"+framing)) {
		return false
	}
	if e.onCrash != nil && strings.Contains(request.Header.Get("X-Prefix-Hash"), crashPart+":") {
		e.crash()
		return false
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= events; number++ {
		text := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, id, number)
		if !e.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if !send(text) || !pause(ctx, e.pause) {
			return false
		}
	}
	return !e.unframed && send("0\r\n\r\n")
}

// memoryTokens is the memory of an engine; it rejects larger requests as if it were full.
const memoryTokens = 607437

// promptTokens returns the tokens of a request's prompt.
func promptTokens(request *http.Request) int {
	prompt, _, _ := strings.Cut(request.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(prompt)
	return tokens
}

// readPrompt takes the time for which the engine reads a prompt.
func (e *engine) readPrompt(ctx context.Context, tokens int) bool {
	if e.prefill == 0 {
		return true
	}
	select {
	case e.lane <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.lane }()
	return pause(ctx, time.Duration(float64(tokens)/e.prefill*float64(time.Millisecond)))
}

// answerWithoutEnd sends bytes until the caller closes the channel.
func (e *engine) answerWithoutEnd(ctx context.Context, conn net.Conn, head string) bool {
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	chunk := make([]byte, endlessChunk)
	for i := range chunk {
		chunk[i] = 'x'
	}
	for pause(ctx, endlessPause) {
		if _, err := conn.Write(chunk); err != nil {
			return false
		}
	}
	return false
}

// crashPart is the part of a prompt on which engines crash.
const crashPart = "c4a5"

// crash ends the engine: it takes no channels any more and resets those that it has.
func (e *engine) crash() {
	e.mu.Lock()
	open := e.open
	e.open = nil
	e.mu.Unlock()
	if open == nil {
		return
	}
	_ = e.listener.Close()
	for conn := range open {
		reset(conn)
	}
	close(e.ended)
	e.onCrash()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// runs reports whether the engine began to run a request, and whether it answered it without end.
func (e *engine) runs(id string) (ran, spoiled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ran = e.ran[id]
	return ran, e.spoiled[id]
}

// pause waits; it returns false if the caller has gone.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
