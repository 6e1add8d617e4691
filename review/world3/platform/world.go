//go:build review

// Command world3 plays the scripts of the review: a small deployment on loopback with the project's daemon as
// separate processes, and stand-ins of the platform, its engines, its operator and its requesters.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// world is the deployment.
type world struct {
	dir                        string
	began                      time.Time
	ports                      []int
	storeAddress, cloudAddress string
	store                      *store
	cloud                      *cloud
	engines                    []*engine
	models                     []*model
	nodes                      []*node
	config                     []byte
	ended                      atomic.Bool
	served, failed             atomic.Int64

	lock   sync.Mutex
	record *bufio.Writer
	broken []string
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.lock.Lock()
	defer w.lock.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) ran(id, tenant, engine string) {
	w.note("run %s tenant %s engine %s", id, tenant, engine)
}

// scenario is a script.
type scenario struct {
	// nodes is the number of machines.
	nodes int
	// perNode are the requests a second that each machine gets.
	perNode int
	play    func(w *world, trouble bool) error
	// check returns what was broken.
	check func(w *world) []string
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "scenario")
	folder := flag.String("folder", "", "folder of the case")
	modelID := flag.String("model", "", "id of the model engine to run")
	flag.Parse()
	if *modelID != "" {
		return runModel(*modelID)
	}
	s, known := scenarios[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		return 2
	}
	file, err := os.Create(filepath.Join(*folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "world3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &world{dir: dir, began: time.Now(), record: bufio.NewWriter(file)}
	defer func() {
		w.lock.Lock()
		defer w.lock.Unlock()
		_ = w.record.Flush()
	}()
	// A script may take 120 seconds; the processes of the machines end with this one.
	time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "took too long")
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, with the disruption: %v", *name, trouble)
	if err := w.start(s); err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	err = s.play(w, trouble)
	w.ended.Store(true)
	for _, n := range w.nodes {
		n.powerOff()
	}
	for _, m := range w.models {
		_ = m.process.Process.Kill() // It may have been taken away.
	}
	time.Sleep(200 * time.Millisecond)
	w.note("answered with success: %d, otherwise: %d", w.served.Load(), w.failed.Load())
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken := s.check(w)
	for _, text := range broken {
		w.note("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	if len(broken) > 0 {
		return 1
	}
	w.note("held")
	fmt.Println("held")
	return 0
}

func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

var (
	zones = []string{"wadi-a", "wadi-b", "wadi-c", "wadi-d"}
	// names are those of the machines, two of them in the first zone, as on the small deployments.
	names = []string{"edge-wadi-a-1", "edge-wadi-a-2", "edge-wadi-b-1", "edge-wadi-c-1", "edge-wadi-d-1"}
)

const (
	host    = "ficu95.example"
	service = "rake-app"
	// modelService is that of the model engines.
	modelService = "persim-pool"
)

var keys = []string{"i9n73hh2b9wu3fexd9dn", "q2x7mm4d8s0v5keyl1oa"}

// start starts the stand-ins and the machines, and the requesters once the machines are ready.
func (w *world) start(s scenario) (err error) {
	w.store, w.cloud = newStore(w), newCloud(w)
	if w.storeAddress, err = serve(w.store); err != nil {
		return err
	}
	if w.cloudAddress, err = serve(w.cloud); err != nil {
		return err
	}
	for i := range 4 {
		e, err := w.startEngine(fmt.Sprintf("i-%d", i+1), service, zones[i])
		if err != nil {
			return err
		}
		w.engines = append(w.engines, e)
	}
	for _, e := range w.engines {
		e.beat()
	}
	w.config, _ = json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{
				"name": "r-trigger", "host": host, "pathPrefix": "/trigger/", "type": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 100,
				"priority": 2, "service": service, "maxAttempts": 1, "public": false, "sessionAffinity": false, "streamResume": false,
			},
			map[string]any{
				"name": "r-review", "host": host, "pathPrefix": "/review/", "type": "streaming", "timeoutMs": 15000, "targetLatencyMs": 1000,
				"gapTargetMs": 600, "priority": 0, "service": modelService, "maxAttempts": 2, "public": false, "sessionAffinity": true, "streamResume": true,
			},
		},
		"services": []any{
			map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false},
			map[string]any{
				"name": modelService, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacity": 607437, "kvBytes": 163840, "linkMbps": 1100000.0, "moves": true, "stride": 6, "models": []any{map[string]any{"name": "m"}}},
			},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "hule930", "apiKeys": []string{keys[0]}, "priority": 1, "unit": "request"},
			map[string]any{"name": "fida11", "apiKeys": []string{keys[1]}, "priority": 1, "unit": "request"},
		},
	})
	w.writeConfig()
	go func() {
		for !w.ended.Load() {
			time.Sleep(1200 * time.Millisecond)
			for _, e := range w.engines {
				e.beat()
			}
		}
	}()
	second, third := 64+rand.IntN(128), rand.IntN(250)
	var ips []string
	for i := range s.nodes {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", second, third, i+1))
	}
	for range 3 {
		port, err := freePort(ips)
		if err != nil {
			return err
		}
		w.ports = append(w.ports, port)
	}
	for i, ip := range ips {
		n := &node{world: w, index: i, name: names[i], ip: ip, zone: names[i][len("edge-") : len(names[i])-len("-1")]}
		n.path = filepath.Join(w.dir, n.name+".yaml")
		if err := n.writeSettings(true); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(10 * time.Second); !w.allReady(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("machines not ready in time")
		}
	}
	for _, n := range w.nodes {
		if err := n.writeSettings(false); err != nil {
			return err
		}
		go w.request(n, s.perNode)
	}
	return nil
}

func (w *world) writeConfig() bool { return w.store.put("keyed.op", "config", w.config) }

func (w *world) allReady() bool {
	for _, n := range w.nodes {
		if !w.ready(n) {
			return false
		}
	}
	return true
}

func (w *world) ready(n *node) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, w.ports[1]))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// request sends requests to a machine at a steady rate.
func (w *world) request(n *node, perSecond int) {
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	ticker := time.NewTicker(time.Second / time.Duration(max(1, perSecond)))
	defer ticker.Stop()
	for number := 0; !w.ended.Load(); number++ {
		<-ticker.C
		id := fmt.Sprintf("%s-%d-%016x", n.name, number, rand.Uint64())
		go w.send(client, n, id, keys[number%len(keys)])
	}
}

func (w *world) send(client *http.Client, n *node, id, key string) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+n.frontend()+"/trigger/7", bytes.NewReader([]byte("sweep")))
	request.Host = host
	request.GetBody = nil // The transport must not send it again.
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Bearer "+key)
	w.note("send %s", id)
	response, err := client.Do(request)
	if err != nil {
		w.failed.Add(1)
		w.note("answer %s: %v", id, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(string(body), id) {
		w.served.Add(1)
	} else {
		w.failed.Add(1)
	}
	w.note("answer %s: %d %.80q %v", id, response.StatusCode, body, err)
}

// holder returns the machine that made the last accepted call as the holder of the duties, with its fence.
func (w *world) holder() (n *node, fence int64) {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	fence = w.cloud.highest["/usage"]
	name := w.cloud.holders[fmt.Sprintf("/usage fence %d", fence)]
	for _, known := range w.nodes {
		if known.name == name {
			return known, fence
		}
	}
	return nil, fence
}

// drill takes the store away, and brings it back from a copy of some age. Then the operator and the engines write
// again.
func (w *world) drill(age, away time.Duration) {
	left := time.Now()
	w.note("DISRUPTION: the store goes away; it comes back in %v from a copy %v old", away, age)
	w.store.goAway()
	time.Sleep(away)
	w.store.comeBack(left.Add(-age))
	w.writeConfig()
	for _, e := range w.engines {
		e.beat()
	}
	w.note("the store is back; operator and engines have written again")
}
