//go:build review

// Command standins runs the cases of the review: it starts the daemon as the deploy file does,
// and plays the platform, the engines and the clients around it.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/platform/platformtest"
)

// daemon is the program that the deploy file starts, in the root of the repository.
const daemon = "target/persimmon-edge"

// restartDelay is how long the platform takes to start a process that has ended.
const restartDelay = time.Second

// record is the protocol of a run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// world is a deployment: the platform, the nodes and the engines.
type world struct {
	*record
	dir     string
	store   *platformtest.Store
	storeAt string
	nodes   []*node
	version int
	ports   [3]int
}

// node is a machine of the system.
type node struct {
	world    *world
	name, ip string
	zone     string
	memoryMB int
	cloudAt  string
	fresh    bool
	core     int

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	stopped bool
	// outOfMemory counts the ends because of memoryMB; peakKB is the largest resident size.
	outOfMemory, starts int
	peakKB              int
}

func newWorld(file *os.File) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: &record{file: file, began: time.Now()}, dir: dir, store: platformtest.NewStore()}
	w.storeAt, err = serve(w.store)
	return w, err
}

// serve serves a handler on a free port of loopback.
func serve(handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addNode adds a machine, whose process is not started yet. Each has an address of its own, and all
// have the same ports.
func (w *world) addNode(name, zone string, memoryMB int, cloud http.Handler) (*node, error) {
	n := &node{world: w, name: name, zone: zone, memoryMB: memoryMB, ip: fmt.Sprintf("127.73.%d.%d", 1+os.Getpid()%200, len(w.nodes)+1), fresh: true, core: len(w.nodes)}
	if w.ports[0] == 0 {
		if err := w.choosePorts(n.ip); err != nil {
			return nil, err
		}
	}
	cloudAt, err := serve(cloud)
	if err != nil {
		return nil, err
	}
	n.cloudAt = cloudAt
	w.nodes = append(w.nodes, n)
	return n, n.writeSettings()
}

// choosePorts finds free ports for the callers, for readiness, and two in a row for the nodes.
func (w *world) choosePorts(ip string) error {
	for first := 20011 + os.Getpid()%5000; first < 30000; first += 17 {
		free := true
		for port := first; port < first+4; port++ {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			w.ports = [3]int{first, first + 1, first + 2}
			return nil
		}
	}
	return fmt.Errorf("no free ports on %s", ip)
}

// writeSettings writes the settings file, with the figures of the small deployments' pages.
func (n *node) writeSettings() error {
	w := n.world
	text := fmt.Sprintf(`nodeName: %q
role: "edge"
machineClass: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: "r"
zones: {za: "r", zb: "r", zc: "r", zd: "r"}
listen: {frontend: "%s:%d", readiness: "%s:%d"}
internalPortRange: [%d, %d]
seeds: []
bootstrap: %v
inTolerance: false
limits: {cpuFraction: 0.4, cpuCores: 1, memoryMb: %d, maxFds: 4200, linkMbps: 1000.0, diskMb: 0}
dataDir: null
heartbeatMs: 1200
bounds: {contactMs: 3000, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250,
  retryBudgetRatio: 0.2, retryWindowS: 10, retryBudgetBurst: 52, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 140000,
  requireFencing: %v, leaseMs: 3000, thawMs: 300, usageWindowS: 5, usageTolerance: 0.05, usageLateS: 10, recoverS: 12}
platform: {address: %q, form: "log", writesPerS: 400, readsPerS: 2000, parts: 8, keep_s: 300, partitionMb: 200}
cloud: {address: %q, ratePerS: 50.0, duties: ["metering", "autoscale"], dutiesPerS: 50.0}
`, n.name, n.ip, n.zone, n.ip, w.ports[0], n.ip, w.ports[1], w.ports[2], w.ports[2]+1, n.fresh, n.memoryMB, fencing, w.storeAt, n.cloudAt)
	return os.WriteFile(n.settingsPath(), []byte(text), 0o600)
}

// fencing is the deployment's `requireFencing`.
var fencing = true

func (n *node) settingsPath() string { return filepath.Join(n.world.dir, n.name+".yaml") }

func (n *node) callers() string { return net.JoinHostPort(n.ip, strconv.Itoa(n.world.ports[0])) }

// start starts the process, and starts it again when it ends by itself.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command("./" + daemon)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.world.dir, "LANG=C", "PERSIMMONLINE_CONFIG=" + n.settingsPath()}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(process, n.core); err != nil {
		_ = log.Close()
		return err
	}
	n.starts++
	n.stopped = false
	exited := make(chan struct{})
	n.process, n.exited = process, exited
	n.world.note("%s started, process %d", n.name, process.Process.Pid)
	go n.watchMemory(process.Process, exited)
	go func() {
		err := process.Wait()
		_ = log.Close()
		n.mu.Lock()
		n.process = nil
		again := !n.stopped
		n.fresh = false
		n.mu.Unlock()
		n.world.note("%s ended: %v", n.name, err)
		close(exited)
		if again {
			time.Sleep(restartDelay)
			if err := n.writeSettings(); err == nil {
				_ = n.start()
			}
		}
	}()
	return nil
}

// startOnOneCore starts a process that sees one core, as on the machines of the pages.
func startOnOneCore(process *exec.Cmd, core int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one unix.CPUSet
	if unix.SchedGetaffinity(0, &before) == nil {
		var cores []int
		for cpu := range 1024 {
			if before.IsSet(cpu) {
				cores = append(cores, cpu)
			}
		}
		one.Set(cores[core%len(cores)])
		if unix.SchedSetaffinity(0, &one) == nil {
			defer func() { _ = unix.SchedSetaffinity(0, &before) }()
		}
	}
	return process.Start()
}

// watchMemory ends the process when its resident memory exceeds the machine's limit, as the platform
// does.
func (n *node) watchMemory(process *os.Process, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
		size := residentKB(process.Pid)
		n.mu.Lock()
		n.peakKB = max(n.peakKB, size)
		over := size > n.memoryMB<<10
		if over {
			n.outOfMemory++
		}
		n.mu.Unlock()
		if over {
			n.world.note("%s holds %d MB of %d MB and is killed", n.name, size>>10, n.memoryMB)
			_ = process.Signal(syscall.SIGKILL)
			return
		}
	}
}

// residentKB returns the resident memory of a process.
func residentKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			size, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return size
		}
	}
	return 0
}

// end ends the process with a signal, and waits until it has ended. It is not started again.
func (n *node) end(sig syscall.Signal) {
	n.mu.Lock()
	n.stopped = true
	process, exited := n.process, n.exited
	n.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(sig)
	select {
	case <-exited:
	case <-time.After(8 * time.Second):
		_ = process.Process.Kill()
		<-exited
	}
}

// close ends all processes and removes the files; keep leaves the logs.
func (w *world) close() {
	var all sync.WaitGroup
	for _, n := range w.nodes {
		all.Go(func() { n.end(syscall.SIGKILL) })
	}
	all.Wait()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// publish publishes a configuration.
func (w *world) publish(routes, services, tenants []map[string]any) {
	w.version++
	raw, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // Plain values can be encoded.
	}
	w.store.PublishConfig(raw)
	w.note("operator: version %d acknowledged", w.version)
}

// report writes the entry of an engine, and then its status reports until it ends.
func (w *world) report(e *engine, ended <-chan struct{}) {
	for sequence := 1; ; sequence++ {
		raw, err := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "phase": "ready",
			"coldRemainingMs": 0, "sequence": sequence, "born": e.born,
		})
		if err != nil {
			panic(err) // Plain values can be encoded.
		}
		w.store.Put(platform.TopicRegistry, e.id, raw)
		select {
		case <-ended:
			time.Sleep(3 * heartbeat)
			w.store.Put(platform.TopicRegistry, e.id, nil)
			return
		case <-time.After(heartbeat):
		}
	}
}

// heartbeat is the interval of the engines' status reports.
const heartbeat = 1200 * time.Millisecond

// ready reports whether the balancer would send new channels to a node.
func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + net.JoinHostPort(n.ip, strconv.Itoa(n.world.ports[1])) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, n := range w.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
