//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { scripts["proven"] = proven }

const (
	provenEvery  = 4 * time.Second
	provenBefore = 5
	provenAfter  = 13
)

// proven: requests with one part are served for a while; then engines begin to crash on that part.
func proven(w *world) (string, error) {
	if err := w.startCloud(okCloud()); err != nil {
		return "", err
	}
	w.store.PublishConfig([]byte(poisonConfig))
	type arrival struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	var crashes []time.Time
	engines := map[*engineHost]bool{}
	crashing, serial := false, 0
	var start func(zone, address string) error
	start = func(zone, address string) error {
		mu.Lock()
		defer mu.Unlock()
		serial++
		e := &engineHost{
			w: w, id: fmt.Sprintf("i-%04d", serial), service: "pool", zone: zone, slots: 64, work: 30 * time.Millisecond, events: 20,
			pause: 60 * time.Millisecond, address: address,
		}
		if crashing {
			e.crashPart = poisonPart
		}
		e.onArrival = func(e *engineHost, id string, _ *httpRequest) {
			if id[0] != 'b' {
				return
			}
			mu.Lock()
			arrivals = append(arrivals, arrival{id, time.Now()})
			mu.Unlock()
			w.note("%s reaches engine %s", id, e.id)
		}
		e.onCrash = func(e *engineHost) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			delete(engines, e)
			mu.Unlock()
			w.note("engine %s crashes", e.id)
			time.AfterFunc(2500*time.Millisecond, func() {
				if err := start(e.zone, e.address); err != nil {
					w.note("engine not started again: %v", err)
				}
			})
		}
		engines[e] = true
		return e.start()
	}
	for i := range 12 {
		if err := start(zones[i%4], ""); err != nil {
			return "", err
		}
	}
	for range 5 {
		if err := w.addNode(w.storeURL, w.cloudURL).start(true); err != nil {
			return "", err
		}
	}
	if !w.awaitReady(20 * time.Second) {
		return "", fmt.Errorf("nodes are not ready")
	}
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var pending sync.WaitGroup
	sent, lost := 0, 0
	pending.Go(func() {
		for i := 0; sleep(ctx, 40*time.Millisecond); i++ {
			pending.Go(func() {
				id := fmt.Sprintf("s-%d", i)
				a := call(context.Background(), w.nodes[i%5].callers(), "POST", "/summary/x", promptOf(id), map[string]string{
					"X-Request-Id": id, "Authorization": "Bearer key-crews", "X-Deadline-Ms": "12000", "X-Model": "m", "X-Token-Usage": "1000,120",
					"X-Prefix-Hash": fmt.Sprintf("c1:500,e%d:300,own%d:200", i%40, i),
				})
				mu.Lock()
				defer mu.Unlock()
				sent++
				if a.status != 200 || !a.complete {
					lost++
					w.note("sound request %s: status %d, complete %t, %v", id, a.status, a.complete, a.err)
				}
			})
		}
	})
	for i := range provenBefore + provenAfter {
		if i == provenBefore && w.trouble {
			mu.Lock()
			crashing = true
			for e := range engines {
				e.setCrashPart(poisonPart)
			}
			mu.Unlock()
			w.note("engines crash on the part from now on")
		}
		pending.Go(func() {
			id := fmt.Sprintf("b-%d", i+1)
			a := call(context.Background(), w.nodes[i%5].callers(), "POST", "/summary/x", promptOf(id), map[string]string{
				"X-Request-Id": id, "Authorization": "Bearer key-crews", "X-Deadline-Ms": "12000", "X-Model": "m", "X-Token-Usage": "1400,120",
				"X-Prefix-Hash": fmt.Sprintf("c1:500,e%d:300,%s:400,own-%s:200", i%40, poisonPart, id),
			})
			w.note("%s: status %d, complete %t, %v", id, a.status, a.complete, a.err)
		})
		if i < provenBefore {
			time.Sleep(time.Second) // Each machine has served one before it begins.
		} else {
			time.Sleep(provenEvery)
		}
	}
	cancel()
	pending.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.note("%d crashes, %d sound requests, %d of them lost", len(crashes), sent, lost)
	if len(crashes) < 5 {
		return "", nil
	}
	bound := crashes[4].Add(contact)
	late := 0
	for _, a := range arrivals {
		if a.at.After(bound) {
			late++
		}
	}
	w.note("%d requests with the part reached engines later than %v after the fifth crash", late, contact)
	if late > 3 {
		return fmt.Sprintf("BUDGET: %d requests with a part that crashes engines reached engines later than %v after the fifth crash; %d engines crashed, %d of %d sound requests were lost",
			late, contact, len(crashes), lost, sent), nil
	}
	return "", nil
}
