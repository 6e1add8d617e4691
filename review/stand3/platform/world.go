//go:build review

// Command stand3 runs the scripts of an independent review: it starts the daemons of the platform as
// processes on loopback, beside stand-ins of the store, the cloud API, the engines and the callers.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/platform/platformtest"
)

const (
	heartbeat = 1200 * time.Millisecond
	contact   = 3 * time.Second
)

// world is a small deployment.
type world struct {
	dir      string
	daemon   string
	trouble  bool
	store    *platformtest.Store
	storeURL string
	cloud    http.Handler
	cloudURL string
	memoryMB int
	fencing  bool
	port     int

	mu     sync.Mutex
	record *os.File
	began  time.Time
	nodes  []*node
}

// node is a machine of the system with its process.
type node struct {
	w            *world
	name, ip     string
	zone         string
	store, cloud string
	process      *exec.Cmd
	exited       chan struct{}
	log          string
}

func newWorld(folder string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	daemon, err := filepath.Abs("target/persimmon-edge")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(daemon); err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, daemon: daemon, trouble: os.Getenv("TROUBLE") != "0", store: platformtest.NewStore(), memoryMB: 284, fencing: true,
		record: record, began: time.Now(),
	}
	if w.port, err = freePorts(); err != nil {
		return nil, err
	}
	if w.storeURL, err = serve(w.store); err != nil {
		return nil, err
	}
	return w, nil
}

// startCloud starts the stand-in of the cloud API.
func (w *world) startCloud(handler http.Handler) (err error) {
	w.cloud = handler
	w.cloudURL, err = serve(handler)
	return err
}

func serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// freePorts returns the first of 20 ports that are free on the addresses of the nodes.
func freePorts() (int, error) {
	for first := 21000 + os.Getpid()%400*20; first < 32000; first += 20 {
		free := true
		for port := first; port < first+20 && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

const settingsText = `nodeName: "%s"
role: "edge"
machineClass: "edge"
serves: ["edge"]
ip: "%s"
zone: "%s"
region: "om-interior"
zones: {wadi-a: "om-interior", wadi-b: "om-interior", wadi-c: "om-interior", wadi-d: "om-interior"}
listen: {frontend: "%s:%d", readiness: "%s:%d", controlPlane: "%s:%d"}
internalPortRange: [%d, %d]
seeds: []
bootstrap: %t
limits: {cpuFraction: 0.4, cpuCores: 1, memoryMb: %d, maxFds: 4200, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200,
  configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevocation: false, revokeMs: 5000, retryBudgetRatio: 0.2,
  retryWindowS: 10, retryBudgetBurst: 52, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 140000, requireFencing: %t, leaseMs: 3000,
  thawMs: 300, usageWindowS: 5, usageTolerance: 0.05, usageLateS: 10, recoverS: 12, passMs: 120, retryAfterS: 10}
platform: {address: "%s", form: "log", writesPerS: 400, readsPerS: 2000, parts: 8, appendMs: 4.0, partitionMbS: 20.0, readMbS: 80.0,
  recordBytes: 262144, callBytes: 2097152, keep_s: 300, partitionMb: 200, ttlMinMs: 1000}
cloud: {address: "%s", ratePerS: 50.0, duties: ["metering", "autoscale"], dutiesPerS: 50.0}
`

var zones = []string{"wadi-a", "wadi-b", "wadi-c", "wadi-d"}

// addNode adds a machine; store and cloud are the addresses that it is told.
func (w *world) addNode(store, cloud string) *node {
	i := len(w.nodes)
	n := &node{w: w, name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("127.0.%d.%d", 40+i, 1), zone: zones[max(0, i-1)%len(zones)], store: store, cloud: cloud}
	n.log = filepath.Join(w.dir, n.name+".log")
	w.nodes = append(w.nodes, n)
	return n
}

func (n *node) callers() string   { return fmt.Sprintf("%s:%d", n.ip, n.w.port) }
func (n *node) readiness() string { return fmt.Sprintf("%s:%d", n.ip, n.w.port+1) }

func (n *node) start(bootstrap bool) error {
	path := filepath.Join(n.w.dir, n.name+".yaml")
	p := n.w.port
	text := fmt.Sprintf(settingsText, n.name, n.ip, n.zone, n.ip, p, n.ip, p+1, n.ip, p+2, p+3, p+18, bootstrap, n.w.memoryMB, n.w.fencing, n.store, n.cloud)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(n.w.daemon)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERSIMMONLINE_CONFIG=" + path}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	n.process, n.exited = process, make(chan struct{})
	exited := n.exited
	go func() {
		_ = process.Wait() // How it ended is not checked here.
		close(exited)
	}()
	n.w.note("started %s at %s, pid %d", n.name, n.ip, process.Process.Pid)
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	n.w.note("%s gets %v", n.name, sig)
	_ = n.process.Process.Signal(sig) // Fails only if it has ended.
}

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// ready makes the balancer's check.
func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + n.readiness() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) awaitReady(timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, n := range w.nodes {
			all = all && n.ready()
		}
		if all {
			return true
		}
	}
	return false
}

// close ends all processes that were started and removes the folder.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.process != nil {
			_ = n.process.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	_ = w.record.Close()
}

// engineHost is one lifetime of an engine.
type engineHost struct {
	w                 *world
	id, service, zone string
	slots             int
	work, pause       time.Duration
	events            int
	crashPart         string
	kvList            func(w http.ResponseWriter, r *http.Request)
	onArrival         func(e *engineHost, id string, r *http.Request)
	onCrash           func(e *engineHost)

	address  string
	born     int64
	server   *http.Server
	listener net.Listener
	sequence int64
	mu       sync.Mutex
	dead     bool
	draining bool
	active   int
	stop     chan struct{}
}

// start listens, at the address that it had if there is one, and begins to register itself.
func (e *engineHost) start() error {
	listen := "127.0.9.1:0"
	if e.address != "" {
		listen = e.address
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	e.listener, e.address, e.born, e.stop = listener, listener.Addr().String(), time.Now().UnixMilli(), make(chan struct{})
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	go e.beat()
	return nil
}

func (e *engineHost) register() {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return
	}
	e.sequence++
	phase := "ready"
	if e.draining {
		phase = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "phase": phase,
		"coldRemainingMs": 0, "stage": "unified", "sequence": e.sequence, "born": e.born,
	})
	e.mu.Unlock()
	e.w.store.Put(platform.TopicRegistry, e.id, entry)
}

func (e *engineHost) beat() {
	for {
		e.register()
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// setCrashPart makes the engine crash on a part from now on.
func (e *engineHost) setCrashPart(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashPart = part
}

// crash ends the engine as the kernel ends a process that dies: its connections are closed and nothing listens.
// Its entry lapses after three heartbeats. A dead engine does not crash again.
func (e *engineHost) crash() {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return
	}
	e.dead = true
	close(e.stop)
	e.mu.Unlock()
	if e.onCrash != nil {
		e.onCrash(e)
	}
	_ = e.server.Close()
	id := e.id
	time.AfterFunc(3*heartbeat, func() { e.w.store.Put(platform.TopicRegistry, id, nil) })
}

func (e *engineHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	switch r.URL.Path {
	case "/kv-list":
		if e.kvList != nil {
			e.kvList(w, r)
			return
		}
		_, _ = io.WriteString(w, `{"epoch":1,"next":0,"held":[]}`)
		return
	case "/report", "/healthz":
		header.Set("X-Instance-Id", e.id)
		_, _ = io.WriteString(w, `{"stage":"unified"}`)
		return
	}
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	header.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.onArrival != nil {
		e.onArrival(e, id, r)
	}
	e.mu.Lock()
	e.active++
	full := e.active > e.slots
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	if full {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	header.Set("X-Response-Signature", e.id+"."+id)
	if !sleep(r.Context(), e.work) {
		return
	}
	e.mu.Lock()
	crashPart := e.crashPart
	e.mu.Unlock()
	if crashPart != "" && strings.Contains(r.Header.Get("X-Prefix-Hash"), crashPart+":") {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if e.events == 0 {
		_, _ = fmt.Fprintf(w, "%s %s %d", id, r.RequestURI, len(body))
		return
	}
	header.Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := 1; i <= e.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i); err != nil {
			return
		}
		_ = controller.Flush()
		if i < e.events && !sleep(r.Context(), e.pause) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// answer is what a caller got.
type answer struct {
	status   int
	body     string
	complete bool
	err      error
	took     time.Duration
}

// call sends a request on a new connection.
func call(ctx context.Context, address, method, path, body string, header map[string]string) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	request.Host = "h.example"
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(raw), complete: err == nil, err: err}
}

// promptOf returns the body of a request; no two are alike.
func promptOf(id string) string { return fmt.Sprintf(`{"model":"m","prompt":"%s"}`, id) }
