package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/platform/platformtest"
)

const (
	enginesPerService = 4
	heartbeatInterval = 1200 * time.Millisecond
	// lingerTime is how long an engine continues to serve after its notice; the platform's engines
	// do so for slightly longer than the bound on draining.
	lingerTime = drainBound + time.Second

	serviceCalls   = "calls"
	serviceStreams = "streams"
	workspace      = "w"
)

// world is a deployment on loopback: stand-ins of the platform, engines and nodes.
type world struct {
	store    *platformtest.Store
	cloud    *platformtest.Cloud
	nodes    []*node
	callers  *callers
	observed *observations
	key      atomic.Pointer[string]

	mu sync.Mutex
	// arm makes an engine crash on a part of a prompt; nil until such prompts are sent.
	arm      func(engine *engineHost)
	engines  []*engineHost
	version  int
	keys     []string
	lastID   int
	versions []published
}

// engineHost is an engine behind its proxy.
type engineHost struct {
	*platformtest.Engine
	service  string
	proxy    *platformtest.Proxy
	draining bool
	// noticeReserved is set while a fault controls the engine's notices.
	noticeReserved atomic.Bool
}

// published is a version of the configuration with the time of its acknowledgement.
type published struct {
	version int
	at      time.Time
	// revoked is the key that it revokes; empty if none.
	revoked string
}

// newWorld starts the stand-ins and the nodes. The slot is part of the nodes' addresses, so that
// concurrent worlds don't conflict.
func newWorld(t *testing.T, slot int, dir string) *world {
	w := &world{store: platformtest.NewStore(), cloud: platformtest.NewCloud(), observed: newObservations(), keys: []string{"key-0"}}
	w.key.Store(&w.keys[0])
	w.callers = &callers{world: w}
	store, cloud := httptest.NewServer(w.store), httptest.NewServer(w.cloud)
	t.Cleanup(func() { store.CloseClientConnections(); cloud.CloseClientConnections() })
	for i := range *nodesPerWorld {
		n := &node{name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("127.0.%d.%d", 10+slot, i+1), zone: string("ab"[i%2]), dir: dir, hedgeShare: *hedgeShare}
		var err error
		n.store, err = platformtest.StartProxy(strings.TrimPrefix(store.URL, "http://"))
		require.NoError(t, err)
		n.cloud, err = platformtest.StartProxy(strings.TrimPrefix(cloud.URL, "http://"))
		require.NoError(t, err)
		require.NoError(t, n.writeSettings("first"))
		w.nodes = append(w.nodes, n)
		t.Cleanup(func() { n.kill(); n.store.Close(); n.cloud.Close() })
	}
	for range enginesPerService {
		for _, service := range []string{serviceCalls, serviceStreams} {
			require.NoError(t, w.addEngine(service))
		}
	}
	t.Cleanup(func() {
		for _, engine := range w.serving() {
			w.endEngine(engine)
		}
	})
	w.publish("")
	for _, n := range w.nodes {
		require.NoError(t, n.start())
	}
	return w
}

// addEngine starts an engine and registers it.
func (w *world) addEngine(service string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	settings := platformtest.EngineSettings{
		ID: fmt.Sprintf("i-%d", w.lastID), Service: service, DataCentre: string("ab"[w.lastID%2]), Slots: 16,
		Work: 15 * time.Millisecond, Recorder: w.observed,
	}
	if service == serviceStreams {
		settings.Events, settings.Pause = streamEvents, 30*time.Millisecond
	}
	engine, err := platformtest.StartEngine("127.0.0.1", settings)
	if err != nil {
		return err
	}
	front, err := platformtest.StartProxy(engine.Address())
	if err != nil {
		return err
	}
	host := &engineHost{Engine: engine, service: service, proxy: front}
	w.engines = append(w.engines, host)
	if w.arm != nil {
		w.arm(host)
	}
	w.store.Put(platform.TopicRegistry, host.ID(), host.Entry(front.Address(), false))
	return nil
}

// serving returns the running engines.
func (w *world) serving() []*engineHost {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*engineHost(nil), w.engines...)
}

// pickEngine returns an engine that is not draining.
func (w *world) pickEngine(random *rand.Rand) *engineHost {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		if engine := w.engines[random.IntN(len(w.engines))]; !engine.draining {
			return engine
		}
	}
}

// drainEngine announces that an engine is leaving, and returns when the store has acknowledged it.
func (w *world) drainEngine(engine *engineHost) {
	w.mu.Lock()
	engine.draining = true
	w.mu.Unlock()
	w.store.Put(platform.TopicRegistry, engine.ID(), engine.Entry(engine.proxy.Address(), true))
	w.observed.addDrain(engine.ID(), time.Now())
}

// endEngine stops an engine immediately; its registry entry stays.
func (w *world) endEngine(engine *engineHost) {
	w.mu.Lock()
	for i, known := range w.engines {
		if known == engine {
			w.engines = append(w.engines[:i:i], w.engines[i+1:]...)
			break
		}
	}
	w.mu.Unlock()
	engine.Crash()
	engine.proxy.Close()
}

func (w *world) removeEntry(engine *engineHost) {
	w.store.Put(platform.TopicRegistry, engine.ID(), nil)
}

// heartbeat renews the registry entries of the running engines.
func (w *world) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, heartbeatInterval)
		w.mu.Lock()
		for _, engine := range w.engines {
			w.store.Put(platform.TopicRegistry, engine.ID(), engine.Entry(engine.proxy.Address(), engine.draining))
		}
		w.mu.Unlock()
	}
}

// publish writes the next version of the configuration, with a route that only this version has and
// without the revoked key.
func (w *world) publish(revoked string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.version%2
	if revoked != "" {
		for i, key := range w.keys {
			if key == revoked {
				w.keys = append(w.keys[:i:i], w.keys[i+1:]...)
				break
			}
		}
	}
	route := func(path string, service, kind string, resume bool) map[string]any {
		return map[string]any{
			"name": strings.Trim(path, "/"), "host": "soak.example", "pathPrefix": path, "type": kind, "service": service,
			"timeoutMs": callerTimeout.Milliseconds(), "targetLatencyMs": 200, "gapTargetMs": 300, "maxAttempts": 3, "streamResume": resume,
		}
	}
	config, err := json.Marshal(map[string]any{
		"version": w.version,
		"routes": []any{
			route("/unsafe/", serviceCalls, "unsafe", false), route("/safe/", serviceCalls, "safe", false),
			route("/resumable/", serviceStreams, "streaming", true), route("/nonresumable/", serviceStreams, "streaming", false),
			route(markerPath(w.version), serviceCalls, "safe", false),
		},
		"services": []any{
			map[string]any{"name": serviceCalls, "healthPath": "/healthz"}, map[string]any{"name": serviceStreams, "healthPath": "/healthz"},
		},
		"limits":  map[string]any{"idleTimeoutMs": 20000},
		"tenants": []any{map[string]any{"name": workspace, "apiKeys": w.keys}},
	})
	if err != nil {
		panic(err) // Encoding a map of plain values can't fail.
	}
	w.store.PublishConfig(config)
	w.versions = append(w.versions, published{version: w.version, at: time.Now(), revoked: revoked})
}

// markerPath returns the path of the route that only one version has.
func markerPath(version int) string { return fmt.Sprintf("/only-%d/", version) }

// latest returns the two newest versions.
func (w *world) latest() (newest, before published) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := len(w.versions) - 1
	return w.versions[last], w.versions[max(0, last-1)]
}

// rotateKey switches the callers to a new key and revokes the previous one.
func (w *world) rotateKey(ctx context.Context) {
	w.mu.Lock()
	old, fresh := *w.key.Load(), fmt.Sprintf("key-%d", w.version)
	w.keys = append(w.keys, fresh)
	w.mu.Unlock()
	w.publish("")
	sleep(ctx, applyBound+contactSpan)
	w.key.Store(&fresh)
	sleep(ctx, callerTimeout)
	w.publish(old)
}

// probe requests the routes of the two newest versions from random nodes.
func (w *world) probe(ctx context.Context, random *rand.Rand) {
	defer w.callers.workers.Done()
	for ctx.Err() == nil {
		sleep(ctx, 40*time.Millisecond)
		n := w.nodes[random.IntN(len(w.nodes))]
		newest, before := w.latest()
		for _, version := range []int{newest.version, before.version} {
			conn := dial(n)
			if conn == nil {
				break
			}
			s := &sentRequest{
				id: fmt.Sprintf("p-%d", w.callers.lastID.Add(1)), kind: safeCall, method: http.MethodGet, target: markerPath(version) + "probe",
			}
			w.callers.send(conn, s)
			conn.close()
			w.observed.addProbe(s, version)
		}
	}
}

// logDir returns the directory of a world's logs.
func logDir(t *testing.T, seed uint64) string {
	base := *keepLogs
	if base == "" {
		return t.TempDir()
	}
	dir := filepath.Join(base, fmt.Sprintf("seed-%d", seed))
	require.NoError(t, os.MkdirAll(dir, 0o755))
	return dir
}
