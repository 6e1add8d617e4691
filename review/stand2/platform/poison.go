//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/platform/platformtest"
)

const (
	poisonPart = "dead"
	// poisonBursts of poisonSize requests with the part come at once, poisonGap apart.
	poisonBursts = 4
	poisonSize   = 4
	poisonGap    = 7 * time.Second
	// poisonBack is how long after its crash an engine is back.
	poisonBack = 3 * time.Second
	// poisonCrashes and poisonAllowed are the figures of the rule.
	poisonCrashes = 5
	poisonAllowed = 3
)

const poisonConfig = `{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "services":[{"name":"pool","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kvCapacity":607437,"kvBytes":163840,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],
 "routes":[{"name":"review","host":"h.example","pathPrefix":"/review/","type":"streaming","timeoutMs":15000,"targetLatencyMs":1000,"priority":0,
   "service":"pool","maxAttempts":2,"public":false,"sessionAffinity":true,"streamResume":true,"gapTargetMs":600},
  {"name":"summary","host":"h.example","pathPrefix":"/summary/","type":"streaming","timeoutMs":12000,"targetLatencyMs":1200,"priority":0,
   "service":"pool","maxAttempts":1,"public":false,"sessionAffinity":true,"streamResume":false,"gapTargetMs":600}],
 "tenants":[{"name":"a","apiKeys":["key-a"],"priority":1}]}`

func init() { cases["poison"] = poison }

// pool keeps engines that crash on a part of a prompt, and are back some seconds later.
type pool struct {
	w  *world
	mu sync.Mutex
	// arrived are the times at which poisoned requests reached an engine, crashed those of the crashes.
	arrived, crashed []time.Time
	lives            int
}

// RequestArrived implements platformtest.Recorder.
func (p *pool) RequestArrived(engine, _, request string, at time.Time) {
	if strings.HasPrefix(request, "poison") {
		p.w.logf("%s reaches %s", request, engine)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.arrived = append(p.arrived, at)
	}
}

// RequestExecuted implements platformtest.Recorder.
func (p *pool) RequestExecuted(platformtest.Execution) {}

// start starts an engine's next life.
func (p *pool) start(place int) {
	p.mu.Lock()
	p.lives++
	id := fmt.Sprintf("i-pool-%d-%d", place, p.lives)
	p.mu.Unlock()
	e, err := platformtest.StartEngine("127.0.0.1", platformtest.EngineSettings{
		ID: id, Service: "pool", DataCentre: "wadi-a", Slots: 64, Work: 100 * time.Millisecond, Events: 10, Pause: 50 * time.Millisecond, Recorder: p,
	})
	if err != nil {
		panic(err)
	}
	e.SetFaults(platformtest.EngineFaults{CrashPart: poisonPart})
	gone := make(chan struct{})
	e.OnCrash(func() {
		p.mu.Lock()
		p.crashed = append(p.crashed, time.Now())
		p.mu.Unlock()
		p.w.logf("%s has crashed", id)
		close(gone)
	})
	p.w.store.Put(platform.TopicRegistry, id, e.Entry(e.Address(), false))
	go func() {
		for {
			select {
			case <-gone:
				time.Sleep(poisonBack)
				p.start(place)
				time.Sleep(600 * time.Millisecond)
				p.w.store.Put(platform.TopicRegistry, id, nil) // Three heartbeats after the crash.
				return
			case <-time.After(1200 * time.Millisecond):
				p.w.store.Put(platform.TopicRegistry, id, e.Entry(e.Address(), false))
			}
		}
	}()
}

// poison sends requests with a part that crashes engines, some at once, beside sound ones.
func poison(w *world, trouble bool) (string, bool) {
	w.store.PublishConfig([]byte(poisonConfig))
	p := &pool{w: w}
	for place := range poolSize {
		p.start(place)
	}
	nodes := []*node{w.addNode("edge-a-1", "127.0.0.1"), w.addNode("edge-a-2", "127.0.0.2")}
	for _, n := range nodes {
		n.start()
	}
	w.awaitReady(nodes...)
	time.Sleep(5 * time.Second) // The nodes are in touch.
	var callers sync.WaitGroup
	var mu sync.Mutex
	whole, sent := 0, 0
	send := func(i int, path, id, parts string) {
		callers.Go(func() {
			r := request{
				method: "POST", path: path, id: id, key: "key-a", deadlineMS: 15000, body: "prompt " + id,
				header: []string{"X-Model: m", "X-Token-Usage: 1460,60", "X-Prefix-Hash: " + parts},
			}
			a := r.do(nodes[i%len(nodes)].address())
			if strings.HasPrefix(id, "poison") {
				w.logf("%s: status %d, complete %v, error %v", id, a.status, a.complete, a.err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.status == 200 && a.complete && strings.Count(a.body, "\n\n") == 10 {
				whole++
				return
			}
			w.logf("%s: status %d, %d of 10 events, complete %v, error %v", id, a.status, strings.Count(a.body, "\n\n"), a.complete, a.err)
		})
	}
	began, bursts := time.Now(), 0
	for i := 0; time.Since(began) < 3*time.Second+poisonBursts*poisonGap; i++ {
		send(i, "/review/x", fmt.Sprintf("sound-review-%d", i), fmt.Sprintf("c0%d:500,5b%d:300,aa%d:660", i%3, i%20, i))
		for k := range 3 {
			send(i+k, "/summary/x", fmt.Sprintf("sound-summary-%d-%d", i, k), fmt.Sprintf("d0%d:100,5d%d:80,ee%d%d:448", k, i%40, i, k))
		}
		if trouble && bursts < poisonBursts && time.Since(began) >= 3*time.Second+time.Duration(bursts)*poisonGap {
			for k := range poisonSize {
				id := fmt.Sprintf("poison-%d-%d", bursts, k)
				send(k, "/review/x", id, fmt.Sprintf("c0%d:500,%s:300,bb%d%d:660", k%3, poisonPart, bursts, k))
			}
			bursts++
		}
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	if len(p.crashed) >= poisonCrashes {
		for _, at := range p.arrived {
			if at.Sub(p.crashed[poisonCrashes-1]) > contact {
				late++
			}
		}
	}
	return fmt.Sprintf("%d crashes; %d requests with the part reached engines, %d of them later than %s after the fifth crash; %d of %d sound streams whole",
		len(p.crashed), len(p.arrived), late, contact, whole, sent), late > poisonAllowed
}
