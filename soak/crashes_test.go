package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

const (
	// crashPart is the part of a prompt on which engines crash, and badPrefix begins the ids of
	// requests with it.
	crashPart = "crash"
	badPrefix = "b-"
	// badInterval is the interval at which they are sent one by one, badGroup the number of those that are
	// sent at once each badGroupInterval, and engineRestart the time after which another engine takes the
	// place of one that crashed.
	badInterval      = 120 * time.Millisecond
	badGroup         = 6
	badGroupInterval = contactSpan + 500*time.Millisecond
	engineRestart    = time.Second
	// crashesBeforeBound is the number of crashes after which the bound begins, and maxFurtherRuns the
	// number of requests that may nevertheless reach engines later than the contact span.
	crashesBeforeBound = 5
	maxFurtherRuns     = 3
	// minSoundRequests is the number of sound requests that must be served beside them at least
	// half the time.
	minSoundRequests = 20

	badPromptsName = "prompts that crash engines"
)

// badPrompts sends requests with a part on which engines crash. It counts as a fault for callers whose
// requests were under way, but not for the checks of these requests.
var badPrompts = fault{badPromptsName, false, func(ctx context.Context, w *world, random *rand.Rand) {
	w.crashOnPart(ctx)
	size, interval := 1, badInterval
	if random.IntN(2) == 0 {
		size, interval = badGroup, badGroupInterval
	}
	until := time.Now().Add(2*contactSpan + 4*time.Second)
	var sending sync.WaitGroup
	for ctx.Err() == nil && time.Now().Before(until) {
		sleep(ctx, interval)
		rotation := *w.callers.rotation.Load()
		for range size {
			s := &sentRequest{id: fmt.Sprintf("%s%d", badPrefix, w.callers.lastID.Add(1)), kind: nonResumable, method: http.MethodPost}
			s.target = fmt.Sprintf("/%s/x?n=%d", s.kind, random.IntN(1000))
			s.prefix = fmt.Sprintf("%s,%s:30,%s:20", sharedParts(random), crashPart, s.id)
			address := rotation[random.IntN(len(rotation))]
			sending.Go(func() {
				if conn := dial(address); conn != nil {
					w.callers.send(conn, s)
					conn.close()
				}
			})
		}
		if size == 1 {
			sending.Wait()
		}
	}
	sending.Wait()
	w.observed.mu.Lock()
	defer w.observed.mu.Unlock()
	w.observed.badPromptsEndAt = time.Now()
}}

// crashOnPart makes all engines of streams, and those that start later, crash on the part.
func (w *world) crashOnPart(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arm = func(engine *engineHost) {
		if engine.service != serviceStreams {
			return
		}
		engine.SetFaults(platformtest.EngineFaults{CrashPart: crashPart})
		engine.OnCrash(func() {
			w.observed.addCrash(time.Now())
			go w.replaceCrashed(ctx, engine)
		})
	}
	for _, engine := range w.engines {
		w.arm(engine)
	}
}

// replaceCrashed starts another engine some time after one has crashed.
func (w *world) replaceCrashed(ctx context.Context, engine *engineHost) {
	w.endEngine(engine)
	sleep(ctx, engineRestart)
	w.addReplacement(engine.service)
	sleep(ctx, 2*heartbeatInterval)
	w.removeEntry(engine)
}

// setFaults replaces the faults of an engine, which still crashes on the part if it did.
func (w *world) setFaults(engine *engineHost, faults platformtest.EngineFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.arm != nil && engine.service == serviceStreams {
		faults.CrashPart = crashPart
	}
	engine.SetFaults(faults)
}

func (o *observations) addCrash(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.crashes = append(o.crashes, at)
}

// checkCrashes checks that requests with a part that crashes engines no longer reach them, and that
// sound ones are served.
func (w *world) checkCrashes(requests map[string]*sentRequest) {
	crashes := w.observed.crashes
	if len(crashes) == 0 {
		return
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) >= crashesBeforeBound {
		bound := crashes[crashesBeforeBound-1].Add(contactSpan)
		count := 0
		for _, a := range w.observed.arrivals {
			if strings.HasPrefix(a.request, badPrefix) && a.at.After(bound) && w.observed.stable(a.at, a.at, badPromptsName) {
				count++
			}
		}
		if count > maxFurtherRuns {
			w.observed.violation("budget: %d requests with a part that crashes engines reached them after %s; %d engines crashed",
				count, clockTime(bound), len(crashes))
		}
	}
	from := crashes[min(len(crashes), crashesBeforeBound)-1].Add(2 * contactSpan)
	sent, served := 0, 0
	for _, s := range requests {
		if !s.kind.streams() || strings.HasPrefix(s.id, badPrefix) || s.began.Before(from) || s.began.After(w.observed.badPromptsEndAt) ||
			!w.observed.stable(s.began, s.ended, badPromptsName) {
			continue
		}
		sent++
		if s.status == http.StatusOK {
			served++
		}
	}
	if sent >= minSoundRequests && 2*served < sent {
		w.observed.violation("lost: %d of %d sound requests served beside those that crash engines, from %s", served, sent, clockTime(from))
	}
}
