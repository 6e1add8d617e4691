package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seeds     = flag.Int("soak.seeds", 3, "number of fresh seeds to play; 0 for none")
	firstSeed = flag.Uint64("soak.first", 0, "first seed; 0 draws one")
	// nodesPerWorld is the number of the daemon's processes in a world.
	nodesPerWorld = flag.Int("soak.nodes", 3, "nodes of a world, at most 250")
	hedgeShare    = flag.Float64("soak.hedge", 0, "limit of second attempts, as a share of all work")
	parallel      = flag.Int("soak.parallel", 4, "worlds that run at the same time")
	// restores is the number of times that the store comes back from an older copy.
	restores = flag.Int("soak.restores", 0, "restores of the store in a world")
	keepLogs = flag.String("soak.logs", "", "directory for the logs of the nodes; they are deleted if it is empty")
)

const (
	// warmUp is the time before the first fault, in which every request must be served.
	warmUp = contactSpan + time.Second
	// faultPeriod is the mean time span in which faults begin, faultsPerWorld their number.
	faultPeriod    = 9 * time.Second
	faultsPerWorld = 9
	// noticesPerWorld is the number of faults that engines announce in their responses, noticeStream
	// the random stream of a seed that selects them, and promptStream that of prompts that crash
	// engines.
	noticesPerWorld = 3
	noticeStream    = 1 << 32
	promptStream    = 1 << 33
	// restoreStream is the random stream of restores of the store.
	restoreStream = 1 << 34
	// plannedOnlyEvery selects the seeds with planned work only: one in so many.
	plannedOnlyEvery = 3
	// recoveryTime is the time after the last fault after which requests must be served again, and
	// measureTime the time over which that is measured.
	recoveryTime = 6 * time.Second
	measureTime  = 2 * time.Second
	// minServedShare is the fraction of the requests that must be served then.
	minServedShare = 0.95
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

// run builds the daemon and runs the tests.
func run(m *testing.M) int {
	if testing.Short() {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemon = filepath.Join(dir, "persimmon-edge")
	build := exec.Command("go", "build", "-o", daemon, "../cmd/persimmon-edge")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the daemon:", err)
		return 1
	}
	return m.Run()
}

// regressions holds seeds that once failed, with the cause.
var regressions = map[uint64]string{
	1033:         "the store deleted its history and all nodes were killed: a window was reported again with different counts",
	7004:         "all links to the store hung when a version was published: it took effect 5.5 s late",
	7007:         "the store lost its history and its newest records lagged: a version never took effect",
	521744363621: "a node was sent SIGTERM while it was suspended: it outlived its grace time",
}

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("processes take their time")
	}
	play := map[uint64]string{}
	for seed, cause := range regressions {
		play[seed] = cause
	}
	first := *firstSeed
	if first == 0 {
		first = rand.Uint64N(1 << 40)
	}
	for i := range *seeds {
		play[first+uint64(i)] = "fresh"
	}
	slots := make(chan int, *parallel)
	for slot := range *parallel {
		slots <- slot
	}
	var worlds sync.WaitGroup
	for seed, cause := range play {
		slot := <-slots
		worlds.Go(func() {
			defer func() { slots <- slot }()
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, seed, slot, cause) })
		})
	}
	worlds.Wait()
}

// runSeed injects one series of faults and fails the test if a guarantee was violated.
func runSeed(t *testing.T, seed uint64, slot int, cause string) {
	random := rand.New(rand.NewPCG(seed, seed))
	dir := logDir(t, seed)
	w := newWorld(t, slot, dir)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rotation := w.nodes
	w.callers.rotation.Store(&rotation)
	go w.heartbeat(ctx)
	require.Eventually(t, func() bool {
		for _, n := range w.nodes {
			if !n.ready() {
				return false
			}
		}
		return true
	}, 10*time.Second, 20*time.Millisecond, "the nodes are ready")
	began := time.Now()
	go w.callers.balance(ctx)
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	w.callers.workers.Add(workers + 1)
	for i := range workers {
		go w.callers.work(traffic, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	go w.probe(traffic, rand.New(rand.NewPCG(seed, workers)))
	sleep(ctx, warmUp)
	timeline := w.injectFaults(ctx, random, rand.New(rand.NewPCG(seed, noticeStream)), rand.New(rand.NewPCG(seed, promptStream)),
		rand.New(rand.NewPCG(seed, restoreStream)), seed%plannedOnlyEvery == 0)
	sleep(ctx, recoveryTime)
	measured := time.Now()
	sleep(ctx, measureTime)
	stopTraffic()
	w.callers.workers.Wait()
	sleep(ctx, callerTimeout) // Late executions of refused requests would show up now.
	cancel()
	for _, n := range w.nodes {
		n.kill()
		for _, line := range n.panics(t) {
			w.observed.violation("%s: %s", n.name, line)
		}
	}
	w.check()
	w.checkRecovery(measured)
	if len(w.observed.violations) > 0 {
		t.Errorf("seed %d (%s), began %s, faults:\n  %s\nviolations:\n  %s", seed, cause, clockTime(began),
			strings.Join(timeline, "\n  "), strings.Join(w.observed.violations[:min(20, len(w.observed.violations))], "\n  "))
	}
	t.Logf("seed %d: %s", seed, w.summary())
}

// injectFaults injects a series of faults that may overlap, faults that engines announce, and prompts
// that crash engines and restores of the store, each drawn from a random source of its own, and returns the
// timeline.
func (w *world) injectFaults(ctx context.Context, random, notices, prompts, restored *rand.Rand, planned bool) []string {
	var timeline []string
	var mu sync.Mutex
	var running sync.WaitGroup
	play := func(chosen fault, faultRandom *rand.Rand) {
		running.Go(func() {
			from := time.Now()
			chosen.run(ctx, w, faultRandom)
			to := time.Now()
			if !chosen.planned {
				w.observed.addFaultSpan(chosen.name, from, to)
			}
			mu.Lock()
			defer mu.Unlock()
			timeline = append(timeline, fmt.Sprintf("%s to %s %s", clockTime(from), clockTime(to), chosen.name))
		})
	}
	running.Go(func() {
		for range noticesPerWorld {
			sleep(ctx, time.Duration(notices.ExpFloat64()*float64(faultPeriod)/(noticesPerWorld+1)))
			play(noticeFaults[notices.IntN(len(noticeFaults))], rand.New(rand.NewPCG(notices.Uint64(), 0)))
		}
	})
	if !planned {
		running.Go(func() {
			sleep(ctx, time.Duration(prompts.ExpFloat64()*float64(faultPeriod)/faultsPerWorld))
			play(badPrompts, prompts)
		})
		running.Go(func() {
			for range *restores {
				sleep(ctx, time.Duration(restored.ExpFloat64()*float64(faultPeriod)/float64(*restores+1)))
				play(storeRestored, rand.New(rand.NewPCG(restored.Uint64(), 0)))
			}
		})
	}
	for range faultsPerWorld {
		chosen := faults[random.IntN(len(faults))]
		for planned && !chosen.planned {
			chosen = faults[random.IntN(len(faults))]
		}
		play(chosen, rand.New(rand.NewPCG(random.Uint64(), 0)))
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(faultPeriod)/faultsPerWorld))
	}
	running.Wait()
	return timeline
}

// checkRecovery checks that callers are served again after the last fault.
func (w *world) checkRecovery(from time.Time) {
	sent, served := 0, 0
	for _, s := range w.callers.snapshot() {
		if s.began.Before(from) || strings.HasPrefix(s.id, "p-") || strings.HasPrefix(s.id, badPrefix) {
			continue
		}
		sent++
		if s.status == http.StatusOK && s.complete {
			served++
		}
	}
	if sent == 0 || float64(served) < minServedShare*float64(sent) {
		w.observed.violation("recovery: %d of %d requests served after %s", served, sent, clockTime(from))
	}
}

// summary counts the results of the requests.
func (w *world) summary() string {
	counts := map[string]int{}
	for _, s := range w.callers.snapshot() {
		switch {
		case strings.HasPrefix(s.id, "p-"):
			counts["probes"]++
		case s.status == http.StatusOK && s.complete:
			counts["served"]++
		case s.failure != nil:
			counts["failed"]++
		default:
			counts[fmt.Sprint(s.status)]++
		}
	}
	return fmt.Sprint(counts)
}
