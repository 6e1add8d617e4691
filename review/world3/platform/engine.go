//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// engine is a stand-in of one instance of a plain service.
type engine struct {
	world             *world
	id, service, zone string
	slots             int
	work              time.Duration
	born              int64
	listener          net.Listener
	active, sequence  atomic.Int64
}

func (w *world) startEngine(id, service, zone string) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{world: w, id: id, service: service, zone: zone, slots: 6, work: 15 * time.Millisecond, born: time.Now().UnixMilli(), listener: listener}
	go func() { _ = (&http.Server{Handler: e, IdleTimeout: 20 * time.Second}).Serve(listener) }()
	return e, nil
}

// beat writes the engine's entry.
func (e *engine) beat() {
	entry, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": e.slots,
		"phase": "ready", "coldRemainingMs": 0, "sequence": e.sequence.Add(1), "born": e.born,
	})
	e.world.store.put("keyed.servers", e.id, entry)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", e.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer e.active.Add(-1)
	if e.active.Add(1) > int64(e.slots)+24 {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.world.ran(id, r.Header.Get("X-Tenant"), e.id)
	time.Sleep(e.work)
	body := "answer to " + id
	w.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%s", e.id, id))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}
