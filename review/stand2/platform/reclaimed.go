//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const poolConfig = `{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "services":[{"name":"pool","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kvCapacity":607437,"kvBytes":163840,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],
 "routes":[{"name":"review","host":"h.example","pathPrefix":"/stream/","type":"streaming","timeoutMs":15000,"targetLatencyMs":1000,"priority":0,
  "service":"pool","maxAttempts":2,"public":false,"sessionAffinity":true,"streamResume":true,"gapTargetMs":600}],
 "tenants":[{"name":"a","apiKeys":["key-a"],"priority":1}]}`

const (
	// poolSize is the number of engines, of which one is reclaimed.
	poolSize = 12
	// leaves is the time from the notice to the end of the engine.
	leaves = 2 * time.Second
)

func init() { cases["reclaimed"] = reclaimed }

// reclaimed takes an engine away, on notice, while it writes streams that end with their channel.
func reclaimed(w *world, trouble bool) (string, bool) {
	w.store.PublishConfig([]byte(poolConfig))
	var endsAt atomic.Pointer[time.Time]
	notice := func() (phase, fields string) {
		if end := endsAt.Load(); end != nil {
			return "draining", fmt.Sprintf(`,"spot":true,"leaves_ms":%d`, max(0, time.Until(*end).Milliseconds()))
		}
		return "ready", `,"spot":true`
	}
	firstNotice := notice
	var engines []*engineProcess
	var stops []chan struct{}
	for i := range poolSize {
		e := w.startEngine(fmt.Sprintf("i-pool-%d", i))
		if i > 0 {
			notice = nil
		}
		engines, stops = append(engines, e), append(stops, w.register(e.id, "pool", e.address, 64, e.born, notice))
	}
	first, stopFirst := engines[0], stops[0]
	n := w.addNode("edge-a-1", "127.0.0.1")
	n.start()
	w.awaitReady(n)
	time.Sleep(4 * time.Second) // The node is in touch.
	var callers sync.WaitGroup
	answers := make([]answer, 4*poolSize)
	for i := range answers {
		callers.Go(func() {
			r := request{
				method: "POST", path: "/stream/x", id: fmt.Sprintf("stream-%d", i), key: "key-a", deadlineMS: 15000, body: "prompt",
				header: []string{"X-Model: m", "X-Token-Usage: 1460,180", fmt.Sprintf("X-Prefix-Hash: aa%02d:1000,bb%02d:460", i, i)},
			}
			answers[i] = r.do(n.address())
			w.logf("%s: status %d, %d of %d events, complete %v, error %v", r.id, answers[i].status, strings.Count(answers[i].body, "\n\n"), events, answers[i].complete, answers[i].err)
		})
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		close(stopFirst) // The entry is written at the notice, and a heartbeat after it.
		end := time.Now().Add(leaves)
		endsAt.Store(&end)
		w.logf("%s: draining, leaves_ms %d", first.id, leaves.Milliseconds())
		stop := w.register(first.id, "pool", first.address, 64, first.born, firstNotice)
		time.Sleep(leaves)
		close(stop)
		_ = first.command.Process.Kill()
		w.logf("%s is gone", first.id)
	}
	callers.Wait()
	short, cut, whole := 0, 0, 0
	for i, a := range answers {
		var want strings.Builder
		for number := 1; number <= events; number++ {
			want.WriteString(event(fmt.Sprintf("stream-%d", i), number))
		}
		switch {
		case a.status == 200 && a.complete && a.body == want.String():
			whole++
		case a.status == 200 && a.complete:
			short++
		default:
			cut++
		}
	}
	return fmt.Sprintf("%d streams whole, %d ended as complete before their last piece, %d ended otherwise", whole, short, cut), short > 0
}
