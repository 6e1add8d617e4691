//go:build review

package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const crowdConfig = `{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "services":[{"name":"app","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],
 "routes":[{"name":"trigger","host":"h.example","pathPrefix":"/trigger/","type":"unsafe","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"app","maxAttempts":1},
  {"name":"status","host":"h.example","pathPrefix":"/status/","type":"safe","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"app","maxAttempts":2},
  {"name":"upload","host":"h.example","pathPrefix":"/upload/","type":"safe","timeoutMs":15000,"targetLatencyMs":1000,"priority":2,"service":"app","maxAttempts":2}],
 "tenants":[{"name":"a","apiKeys":["key-a"],"priority":1},{"name":"b","apiKeys":["key-b"],"priority":1}]}`

const (
	crowdSize    = 2000
	crowdCalm    = 8 * time.Second
	crowdTrouble = 30 * time.Second
	// reopenPause is how long a hostile client waits after the node has closed its channel.
	reopenPause = time.Second
	// contact is contactMs of the settings, and crowdTries the number of ordinary callers that must have tried within it.
	contact    = 3 * time.Second
	crowdTries = 7
)

func init() {
	cases["crowd"] = func(w *world, trouble bool) (string, bool) { return crowd(w, trouble, "key-b") }
}

// crowd lets hostile clients hold chunked bodies just short of their end, beside ordinary callers that open new
// channels.
func crowd(w *world, trouble bool, key string) (string, bool) {
	needDescriptors(4500)
	w.store.PublishConfig([]byte(crowdConfig))
	for i := range 4 {
		id := fmt.Sprintf("i-app-%d", i)
		w.register(id, "app", serve(plainEngine(id, nil)), 6, time.Now().UnixMilli()-60_000, nil)
	}
	n := w.addNode("edge-a-1", "127.0.0.1")
	n.start()
	w.awaitReady(n)
	stop := make(chan struct{})
	var hostile sync.WaitGroup
	var open, opened atomic.Int64
	began := time.Now()
	if trouble {
		time.AfterFunc(crowdCalm, func() {
			w.logf("%d hostile clients begin", crowdSize)
			for range crowdSize {
				hostile.Go(func() { stall(n.address(), key, stop, &open, &opened) })
			}
		})
	}
	type result struct {
		at       time.Duration
		answered bool
	}
	var mu sync.Mutex
	var results []result
	var callers sync.WaitGroup
	notReady := 0
	callers.Go(func() {
		for time.Since(began) < crowdCalm+crowdTrouble {
			if !n.isReady() {
				w.logf("%s says it is not ready", n.name)
				notReady++
			}
			time.Sleep(time.Second)
		}
	})
	for i := 0; time.Since(began) < crowdCalm+crowdTrouble; i++ {
		callers.Go(func() {
			at := time.Since(began)
			r := request{method: "GET", path: "/status/x", id: fmt.Sprintf("ordinary-%d", i), key: "key-a", deadlineMS: 1500}
			if i%2 == 1 {
				r = request{method: "POST", path: "/trigger/x", id: r.id, key: "key-a", deadlineMS: 1500, body: strings.Repeat("b", 600)}
			}
			a := r.do(n.address())
			w.logf("%s: status %d, complete %v, error %v, %d ms; hostile channels: %d open, %d opened so far",
				r.id, a.status, a.complete, a.err, a.took.Milliseconds(), open.Load(), opened.Load())
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result{at, a.status > 0 && a.complete})
		})
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	close(stop)
	hostile.Wait()
	slices.SortFunc(results, func(a, b result) int { return cmp.Compare(a.at, b.at) })
	sent, answered, tries, longest, triesInLongest, from := 0, 0, 0, time.Duration(0), 0, time.Duration(0)
	for _, r := range results {
		if r.at >= crowdCalm {
			sent++
		}
		if r.answered {
			if r.at >= crowdCalm {
				answered++
			}
			tries = 0
			continue
		}
		if tries++; tries == 1 {
			from = r.at
		}
		if span := r.at - from; span > longest {
			longest, triesInLongest = span, tries
		}
	}
	verdict := fmt.Sprintf("from the begin of the crowd on, %d of %d ordinary requests on new channels got an answer; longest span without one: %.1f s with %d tries; not ready %d times; process alive %v, peak %d MB of %d",
		answered, sent, longest.Seconds(), triesInLongest, notReady, n.alive(), n.peakMemoryMB(), n.memoryMB)
	return verdict, notReady == 0 && longest >= contact && triesInLongest >= crowdTries
}

// stall opens a channel, sends a request whose chunked body stops just short of its end, and keeps the channel open
// until the node closes it; then it begins anew.
func stall(address, key string, stop <-chan struct{}, open, opened *atomic.Int64) {
	text := "POST /upload/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: hostile\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer " + key +
		"\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("40\r\n"+strings.Repeat("x", 64)+"\r\n", 4) + "0\r\n"
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		opened.Add(1)
		open.Add(1)
		_, _ = io.WriteString(conn, text)
		done := make(chan struct{})
		go func() {
			select {
			case <-stop:
			case <-done:
			}
			_ = conn.Close()
		}()
		_, _ = io.Copy(io.Discard, conn) // Until the node closes the channel.
		close(done)
		open.Add(-1)
		time.Sleep(reopenPause)
	}
}
