//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { scripts["blame"] = blame }

const (
	blameEvents = 49
	blamePause  = 230 * time.Millisecond
	poisonFor   = 13 * time.Second
	poisonEvery = 250 * time.Millisecond
	soundEvery  = 20 * time.Millisecond
	soundFor    = 34 * time.Second
	calmFrom    = 24 * time.Second
	// blameSubjects is the number of second parts of the prompts.
	blameSubjects = 113
	enoughOfEach  = 20
)

// sound is a sound request: when it was sent, and whether its first attempt began to run.
type sound struct {
	at     time.Duration
	begun  bool
	status int
}

// blame: requests with a part that crashes engines come from the first second of the traffic on, beside sound ones
// that share their first part.
func blame(w *world) (string, error) {
	if err := w.startCloud(okCloud()); err != nil {
		return "", err
	}
	w.store.PublishConfig([]byte(poisonConfig))
	var mu sync.Mutex
	ran := map[string]bool{}
	var crashes []time.Time
	serial := 0
	var start func(zone, address string) error
	start = func(zone, address string) error {
		mu.Lock()
		serial++
		e := &engineHost{
			w: w, id: fmt.Sprintf("i-%04d", serial), service: "pool", zone: zone, slots: 64, work: 30 * time.Millisecond, events: blameEvents,
			pause: blamePause, address: address,
		}
		mu.Unlock()
		if w.trouble {
			e.crashPart = poisonPart
		}
		e.onArrival = func(_ *engineHost, id string, _ *httpRequest) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = true
		}
		e.onCrash = func(e *engineHost) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.note("engine %s crashes", e.id)
			time.AfterFunc(2500*time.Millisecond, func() {
				if err := start(e.zone, e.address); err != nil {
					w.note("engine not started again: %v", err)
				}
			})
		}
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
	time.Sleep(8 * time.Second)
	began := time.Now()
	w.note("traffic starts")
	header := func(id, prefix string) map[string]string {
		return map[string]string{
			"X-Request-Id": id, "Authorization": "Bearer key-crews", "X-Deadline-Ms": "12000", "X-Model": "m",
			"X-Token-Usage": "1000,300", "X-Prefix-Hash": prefix,
		}
	}
	var sounds []sound
	var pending sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), soundFor)
	defer cancel()
	pending.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			pending.Go(func() {
				id, at := fmt.Sprintf("s-%d", i), time.Since(began)
				a := call(context.Background(), w.nodes[i%5].callers(), "POST", "/summary/x", promptOf(id), header(id, fmt.Sprintf("c1:500,e%d:300,own%d:200", i%blameSubjects, i)))
				mu.Lock()
				sounds = append(sounds, sound{at, ran[id], a.status})
				mu.Unlock()
				if a.status != 200 || !a.complete {
					w.note("sound %s, sent at %.2f s: status %d, complete %t, begun %t", id, at.Seconds(), a.status, a.complete, ran[id])
				}
			})
			sleep(ctx, soundEvery)
		}
	})
	bad, stop := context.WithTimeout(context.Background(), poisonFor)
	defer stop()
	var lastPoison time.Duration
	pending.Go(func() {
		for i := 0; bad.Err() == nil; i++ {
			sleep(bad, poisonEvery)
			lastPoison = time.Since(began)
			pending.Go(func() {
				id := fmt.Sprintf("b-%d", i)
				a := call(context.Background(), w.nodes[(i*2+1)%5].callers(), "POST", "/summary/x", promptOf(id), header(id, fmt.Sprintf("c1:500,e%d:300,%s:200,own-%s:200", (i*7)%blameSubjects, poisonPart, id)))
				w.note("%s: status %d, complete %t", id, a.status, a.complete)
			})
		}
	})
	pending.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) == 0 {
		w.note("no engine crashed")
		return "", nil
	}
	last := crashes[min(len(crashes), 5)-1].Sub(began)
	from := last + 2*contact
	count := func(from, to time.Duration) (begun, sent int) {
		for _, s := range sounds {
			if s.at >= from && s.at < to {
				sent++
				if s.begun {
					begun++
				}
			}
		}
		return begun, sent
	}
	for t := time.Duration(0); t < soundFor; t += 2 * time.Second {
		b, s := count(t, t+2*time.Second)
		w.note("sound requests sent from %v on: %d of %d begun", t, b, s)
	}
	begun, sent := count(from, lastPoison)
	calmBegun, calmSent := count(calmFrom, soundFor)
	w.note("%d crashes, the fifth or last at %.2f s; sound requests sent from %.2f to %.2f s: %d of %d begun; in calm, from %.0f s: %d of %d",
		len(crashes), last.Seconds(), from.Seconds(), lastPoison.Seconds(), begun, sent, calmFrom.Seconds(), calmBegun, calmSent)
	if sent >= enoughOfEach && calmSent >= enoughOfEach && 2*begun*calmSent < calmBegun*sent {
		return fmt.Sprintf("LOST: %d of %d sound requests with the same first part began at the first attempt from %v after the fifth crash on; in calm %d of %d",
			begun, sent, 2*contact, calmBegun, calmSent), nil
	}
	return "", nil
}
