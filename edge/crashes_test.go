package edge

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/platform/platformtest"
	"github.com/persimmonline/persimmonline/refusal"
)

const (
	badPart = "bad0"
	// maxCrashes is the number of crashes after which requests with the part may run no more, and
	// maxFurtherRuns the number that may nevertheless reach upstreams later than the contact bound.
	maxCrashes     = 5
	maxFurtherRuns = 3
	// groupSize is the number of requests of a group.
	groupSize = 6
	// engineRestart is how long an engine is away after a crash.
	engineRestart = time.Second
)

const streamConfig = `{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","type":"streaming","timeoutMs":3000,
 "targetLatencyMs":1000,"gapTargetMs":500,"service":"s","maxAttempts":2,"streamResume":true}],"services":[{"name":"s","healthPath":"/healthz"}],
 "limits":{},"tenants":[{"name":"w","apiKeys":["k"],"ratePerS":10000,"burst":10000}]}`

// crashFleet is a fleet of nodes in front of engines that crash on a part of a prompt and start again
// with another id.
type crashFleet struct {
	t     *testing.T
	store storeServer

	mu      sync.Mutex
	nodes   []*Edge
	stops   []func()
	engines []*platformtest.Engine
	started int
	// crashPart is the part of a prompt on which engines crash.
	crashPart string
	// events is the number of events of an answer, pause the time between them.
	events int
	pause  time.Duration
	// closeDelay is the time for which the address of an engine that has crashed still accepts connections.
	closeDelay time.Duration
	crashes    []time.Time
	arrivals   []crashArrival
	served     []time.Time
	failed     []time.Time
	// blamed is the number of sound requests refused as ones that crash engines.
	blamed int
}

type crashArrival struct {
	bad bool
	at  time.Time
}

func (f *crashFleet) RequestArrived(_, _, request string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, crashArrival{strings.HasPrefix(request, "bad"), at})
}

func (f *crashFleet) RequestExecuted(platformtest.Execution) {}

func newCrashFleet(t *testing.T, nodes, engines int) *crashFleet {
	return newCrashFleetOf(t, nodes, engines, 8, 20*time.Millisecond)
}

// newCrashFleetOf is like newCrashFleet; it sets the number of events of an answer and the pause between them.
func newCrashFleetOf(t *testing.T, nodes, engines, events int, pause time.Duration) *crashFleet {
	f := &crashFleet{t: t, crashPart: badPart, events: events, pause: pause}
	f.start(nodes, engines)
	return f
}

// start starts the store, the engines and the nodes.
func (f *crashFleet) start(nodes, engines int) {
	f.store = newStore(f.t)
	f.store.PublishConfig([]byte(streamConfig))
	for range engines {
		f.startEngine()
	}
	f.startNodes(nodes)
}

// startNodes starts nodes in place of those that ran before, and waits until they are ready.
func (f *crashFleet) startNodes(count int) {
	var nodes []*Edge
	var stops []func()
	for i := range count {
		e, stop := start(f.t, settings(f.t, fmt.Sprintf("n%d", i), f.store.address()))
		nodes, stops = append(nodes, e), append(stops, stop)
	}
	for _, e := range nodes {
		require.Eventually(f.t, func() bool { return ready(e) }, eventually, 10*time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes, f.stops = nodes, stops
}

// stopNodes stops all nodes at the same time.
func (f *crashFleet) stopNodes() {
	f.mu.Lock()
	stops := f.stops
	f.nodes, f.stops = nil, nil
	f.mu.Unlock()
	var stopping sync.WaitGroup
	for _, stop := range stops {
		stopping.Go(stop)
	}
	stopping.Wait()
}

// anyNode returns a random node; nil while all are stopped.
func (f *crashFleet) anyNode() *Edge {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.nodes) == 0 {
		return nil
	}
	return f.nodes[rand.IntN(len(f.nodes))]
}

// startEngine starts an engine, and another one some time after it has crashed.
func (f *crashFleet) startEngine() {
	f.mu.Lock()
	f.started++
	id := fmt.Sprintf("i-%d", f.started)
	f.mu.Unlock()
	engine, err := platformtest.StartEngine("127.0.0.1", platformtest.EngineSettings{
		ID: id, Service: "s", DataCentre: "z", Slots: 64, Work: 20 * time.Millisecond, Events: f.events, Pause: f.pause, Recorder: f,
	})
	require.NoError(f.t, err)
	f.mu.Lock()
	engine.SetFaults(platformtest.EngineFaults{CrashPart: f.crashPart})
	f.engines = append(f.engines, engine)
	f.mu.Unlock()
	address := engine.Address()
	var proxy *platformtest.Proxy
	if f.closeDelay > 0 {
		proxy, err = platformtest.StartProxy(address)
		require.NoError(f.t, err)
		f.t.Cleanup(proxy.Close)
		address = proxy.Address()
	}
	engine.OnCrash(func() {
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		f.mu.Unlock()
		if proxy != nil {
			time.AfterFunc(f.closeDelay, proxy.Close)
		}
		time.AfterFunc(engineRestart, func() {
			if f.t.Context().Err() == nil {
				f.store.Put(platform.TopicRegistry, id, nil)
				f.startEngine()
			}
		})
	})
	f.t.Cleanup(engine.Crash)
	f.store.register(id, address)
}

// endEngines ends some engines at the same moment, and starts others in their place some time after.
func (f *crashFleet) endEngines(count int) {
	f.mu.Lock()
	ended := f.engines[:count]
	f.engines = slices.Clone(f.engines[count:])
	f.mu.Unlock()
	for _, engine := range ended {
		go engine.Crash()
		time.AfterFunc(engineRestart, func() {
			if f.t.Context().Err() == nil {
				f.store.Put(platform.TopicRegistry, engine.ID(), nil)
				f.startEngine()
			}
		})
	}
}

// setCrashPart sets the part of a prompt on which engines crash from now on; empty for none.
func (f *crashFleet) setCrashPart(part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashPart = part
	for _, engine := range f.engines {
		engine.SetFaults(platformtest.EngineFaults{CrashPart: part})
	}
}

// request sends a request with the given parts and one of its own to a node.
func (f *crashFleet) request(e *Edge, kind string, parts ...string) {
	own := fmt.Sprintf("%s-%d", kind, rand.Uint64())
	prefix := ""
	for _, part := range append(parts, own) {
		prefix += part + ":100,"
	}
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+e.settings.CallerAddress+"/a/x", strings.NewReader(own))
	if err != nil {
		return
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", own)
	r.Header.Set("X-Token-Usage", "300,10")
	r.Header.Set("X-Prefix-Hash", strings.TrimSuffix(prefix, ","))
	r.Header.Set("Authorization", "Bearer k")
	response, err := http.DefaultClient.Do(r)
	ok := err == nil && response.StatusCode == http.StatusOK
	blamed := err == nil && response.Header.Get("X-Persimmon-Code") == string(refusal.CodeCrashesUpstreams)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if kind == "bad" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if blamed {
		f.blamed++
	}
	if ok && err == nil {
		f.served = append(f.served, time.Now())
	} else {
		f.failed = append(f.failed, time.Now())
	}
}

// load sends requests of a kind at a rate to nodes in random order until the test ends.
func (f *crashFleet) load(kind string, perSecond float64, parts func() []string) {
	var requests sync.WaitGroup
	requests.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-f.t.Context().Done():
				return
			case <-ticker.C:
			}
			if node := f.anyNode(); node != nil {
				requests.Go(func() { f.request(node, kind, parts()...) })
			}
		}
	})
	f.t.Cleanup(requests.Wait)
}

// crashEngines sends sound requests, and then beside them others with the bad part until three engines
// have crashed and on.
func (f *crashFleet) crashEngines() {
	sound := func() []string { return []string{"system", fmt.Sprintf("subject%d", rand.IntN(3))} }
	f.load("sound", 40, sound)
	time.Sleep(time.Second)
	f.load("bad", 6, func() []string { return append(sound(), badPart) })
	require.Eventually(f.t, func() bool { return f.crashedAt(3) != (time.Time{}) }, eventually, 10*time.Millisecond)
}

// sendGroups sends groups of requests with the bad part, each at once to all nodes and longer than the
// contact bound after the one before.
func (f *crashFleet) sendGroups(count int, parts func() []string) {
	var requests sync.WaitGroup
	for range count {
		for i := range groupSize {
			requests.Go(func() { f.request(f.nodes[i%len(f.nodes)], "bad", append(parts(), badPart)...) })
		}
		time.Sleep(contactBound + time.Second)
	}
	requests.Wait()
}

// badAfter returns how many requests with the bad part reached engines after a time.
func (f *crashFleet) badAfter(from time.Time) (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, arrival := range f.arrivals {
		if arrival.bad && arrival.at.After(from) {
			count++
		}
	}
	return count
}

// servedShare returns the share of the sound requests that were served after a time.
func (f *crashFleet) servedShare(from time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	served, failed := 0, 0
	for _, at := range f.served {
		if at.After(from) {
			served++
		}
	}
	for _, at := range f.failed {
		if at.After(from) {
			failed++
		}
	}
	return float64(served) / float64(max(1, served+failed))
}

// crashedAt returns when the nth engine crashed; zero if that has not happened.
func (f *crashFleet) crashedAt(n int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < n {
		return time.Time{}
	}
	return f.crashes[n-1]
}

// Requests with one part in common, no two alike, crash engine after engine.
func TestPromptPartCrashesEngineAfterEngine(t *testing.T) {
	t.Parallel()
	requireBadPartEnds(t, newCrashFleet(t, 3, 6))
}

// The address of an engine that crashes accepts connections for a moment, which made it count as alive.
func TestAddressOfACrashedEngineClosesLate(t *testing.T) {
	t.Parallel()
	f := &crashFleet{t: t, crashPart: badPart, events: 8, pause: 20 * time.Millisecond, closeDelay: 50 * time.Millisecond}
	f.start(3, 6)
	requireBadPartEnds(t, f)
}

// requireBadPartEnds lets requests with the bad part crash engines, and checks that they end and sound ones do not.
func requireBadPartEnds(t *testing.T, f *crashFleet) {
	f.crashEngines()
	time.Sleep(contactBound + 2*time.Second)
	last := f.crashedAt(maxCrashes)
	if last.IsZero() {
		last = f.crashedAt(3)
	}
	time.Sleep(3 * time.Second)
	require.LessOrEqual(t, f.badAfter(last.Add(contactBound)), maxFurtherRuns, "requests with the part are still sent to engines")
	require.Greater(t, f.servedShare(last.Add(contactBound)), 0.98, "sound requests with the same key and first parts")
}

// All nodes restart and forget which part crashes engines.
func TestRestartOfAllNodesForgetsThePart(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 3, 6)
	f.crashEngines()
	time.Sleep(contactBound)
	f.stopNodes()
	f.startNodes(3)
	restarted := time.Now()
	time.Sleep(contactBound)
	require.LessOrEqual(t, f.badAfter(restarted), 1, "requests with the part reach engines again")
	require.Greater(t, f.servedShare(restarted), 0.98)
}

// Groups of requests with a part that crashes engines are so close in time that each group counts as one
// crash; a part with which requests completed before has three times the credit.
func TestGroupsOfPromptsCrashEngines(t *testing.T) {
	t.Parallel()
	for name, served := range map[string]bool{"never served": false, "served before": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet(t, 3, 12)
			sound := func() []string { return []string{"system", fmt.Sprintf("subject%d", rand.IntN(3))} }
			f.load("sound", 40, sound)
			time.Sleep(time.Second)
			if served {
				f.setCrashPart("")
				for _, node := range f.nodes {
					f.request(node, "bad", append(sound(), badPart)...)
				}
				f.setCrashPart(badPart)
				time.Sleep(time.Second)
			}
			f.sendGroups(2, sound)
			fifth := f.crashedAt(maxCrashes)
			require.NotZero(t, fifth)
			require.LessOrEqual(t, f.badAfter(fifth.Add(contactBound)), maxFurtherRuns, "requests with the part are still sent to engines")
			require.Greater(t, f.servedShare(fifth.Add(contactBound)), 0.98, "sound requests with the same key and first parts")
		})
	}
}

// A fault of hosts that ends many engines at once, again and again, is put down to a part of all prompts.
func TestFaultOfHostsIsBlamedOnACommonPart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name         string
		ended, times int
		pause        time.Duration
		served       float64
		events       int
		eventPause   time.Duration
	}{
		{"half, three times", 6, 3, 2 * time.Second, 0.97, 8, 20 * time.Millisecond},
		{"a quarter, six times", 3, 6, time.Second, 0.97, 8, 20 * time.Millisecond},
		{"half, long streams from the start", 6, 1, 2 * time.Second, 0, 25, 100 * time.Millisecond},
		{"all, twice", 12, 2, 3 * time.Second, 0, 8, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newCrashFleetOf(t, 5, 12, c.events, c.eventPause)
			began := time.Now()
			f.load("sound", 80, func() []string { return []string{"system", fmt.Sprintf("subject%d", rand.IntN(5))} })
			time.Sleep(2 * time.Second)
			for range c.times {
				f.endEngines(c.ended)
				time.Sleep(c.pause)
			}
			time.Sleep(time.Second)
			f.mu.Lock()
			blamed := f.blamed
			f.mu.Unlock()
			require.Zero(t, blamed, "sound requests refused")
			require.GreaterOrEqual(t, f.servedShare(began), c.served)
		})
	}
}
