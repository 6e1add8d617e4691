//go:build review

package main

import (
	"bufio"
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

// world is a small deployment on loopback.
type world struct {
	dir    string
	record *os.File
	mu     sync.Mutex
	began  time.Time
	store  *platformtest.Store
	cloud  *platformtest.Cloud
	// storeAddress and cloudAddress are where the nodes find them.
	storeAddress, cloudAddress string
	nodes                      []*node
	children                   []*exec.Cmd
	sequence                   map[string]int
}

// node is a daemon.
type node struct {
	w                   *world
	name, ip            string
	caller, ready, peer int
	memoryMB, maxFDs    int
	settings            string
	command             *exec.Cmd
	ended               chan struct{}
	bootstrap           bool
	log                 *os.File
}

func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, began: time.Now(), store: platformtest.NewStore(), cloud: platformtest.NewCloud(), sequence: map[string]int{}}
	w.storeAddress, w.cloudAddress = serve(w.store), serve(w.cloud)
	return w, nil
}

// serve serves a handler on a free port and returns its address.
func serve(handler http.Handler) string {
	listener := listen("127.0.0.1:0")
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

func listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	return listener
}

// needDescriptors panics if this process may not open so many.
func needDescriptors(count uint64) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < count {
		panic(fmt.Sprintf("the case needs %d descriptors, %d are allowed", count, limit.Cur))
	}
}

// consecutive returns the first of n consecutive free ports below the range of the kernel's own choice.
func consecutive(ip string, n int) int {
	for first := 15000 + os.Getpid()%900*10; first < 31000; first += n {
		free := true
		for port := first; port < first+n && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return first
		}
	}
	panic("no free ports")
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes of the world.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	for _, child := range w.children {
		_ = child.Process.Kill()
		_ = child.Wait()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

const settingsText = `nodeName: "%[1]s"
role: "edge"
machineClass: "edge"
serves: ["edge", "control"]
ip: "%[2]s"
zone: "wadi-a"
region: "om-interior"
zones: {wadi-a: "om-interior", wadi-b: "om-interior"}
listen: {frontend: "%[2]s:%[3]d", readiness: "%[2]s:%[4]d", controlPlane: "%[2]s:%[5]d"}
internalPortRange: [%[5]d, %[6]d]
seeds: []
bootstrap: %[7]t
limits: {cpuFraction: 0.4, cpuCores: 1, memoryMb: %[8]d, maxFds: %[9]d, linkMbps: 1000.0, diskMb: 0}
heartbeatMs: 1200
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200,
  configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevocation: false, revokeMs: 5000, retryBudgetRatio: 0.2,
  retryWindowS: 10, retryBudgetBurst: 52, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 140000, requireFencing: true, leaseMs: 3000,
  thawMs: 300, usageWindowS: 5, usageTolerance: 0.05, usageLateS: 10, recoverS: 12, passMs: 120, retryAfterS: 10}
platform: {address: "%[10]s", form: "log", writesPerS: 400, readsPerS: 2000, parts: 8, keep_s: 300}
cloud: {address: "%[11]s", ratePerS: 50.0, duties: ["metering", "autoscale"], dutiesPerS: 50.0}
`

// addNode adds a node on an address of its own; it is not started.
func (w *world) addNode(name, ip string) *node {
	first := consecutive(ip, 20)
	n := &node{w: w, name: name, ip: ip, caller: first, ready: first + 1, peer: first + 2, memoryMB: 284, maxFDs: 4200, bootstrap: true}
	w.nodes = append(w.nodes, n)
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		panic(err)
	}
	n.log = log
	return n
}

func (n *node) address() string { return fmt.Sprintf("%s:%d", n.ip, n.caller) }

// start starts the daemon with the command of the deploy file.
func (n *node) start() {
	n.settings = filepath.Join(n.w.dir, n.name+".yaml")
	text := fmt.Sprintf(settingsText, n.name, n.ip, n.caller, n.ready, n.peer, n.peer+15, n.bootstrap, n.memoryMB, n.maxFDs, n.w.storeAddress, n.w.cloudAddress)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	n.bootstrap = false
	n.command = exec.Command("target/persimmon-edge")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir, "LANG=C", platform.SettingsVariable + "=" + n.settings}
	n.command.Stdout, n.command.Stderr = n.log, n.log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		panic(err)
	}
	n.ended = make(chan struct{})
	command, ended := n.command, n.ended
	go func() {
		err := command.Wait()
		n.w.logf("%s ended: %v", n.name, err)
		close(ended)
	}()
	n.w.logf("%s started, process %d", n.name, command.Process.Pid)
}

func (n *node) signal(s syscall.Signal) {
	n.w.logf("%s gets %v", n.name, s)
	_ = n.command.Process.Signal(s)
}

func (n *node) kill() {
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Kill()
		<-n.ended
	}
}

func (n *node) alive() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// isReady asks as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, n.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) awaitReady(nodes ...*node) {
	for _, n := range nodes {
		w.await(n.name+" is ready", 20*time.Second, n.isReady)
	}
}

// await panics if a condition does not come true in time.
func (w *world) await(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			w.logf("%s", what)
			return
		}
	}
	panic("not in time: " + what)
}

// peakMemoryMB returns the process's largest resident size.
func (n *node) peakMemoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return -1
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return -1
	}
	kilobytes := 0
	_, _ = fmt.Sscan(strings.Fields(rest)[0], &kilobytes)
	return kilobytes >> 10
}

// register writes the registry's entry of an engine every heartbeat until stop is closed.
// notice returns further fields of the entry; nil for none.
func (w *world) register(id, service, address string, slots int, born int64, notice func() (phase, fields string)) (stop chan struct{}) {
	stop = make(chan struct{})
	beat := func() {
		w.mu.Lock()
		w.sequence[id]++
		sequence := w.sequence[id]
		w.mu.Unlock()
		phase, fields := "ready", ""
		if notice != nil {
			phase, fields = notice()
		}
		w.store.Put(platform.TopicRegistry, id, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"wadi-a","version":"v1","slots":%d,"phase":%q,"coldRemainingMs":0,"sequence":%d,"born":%d%s}`,
			service, address, slots, phase, sequence, born, fields))
	}
	beat()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				beat()
			}
		}
	}()
	return stop
}

// answer is what a client got.
type answer struct {
	status   int
	body     string
	complete bool
	err      error
	header   http.Header
	took     time.Duration
}

// request is one request of a client.
type request struct {
	method, path, id, key, body string
	deadlineMS                  int
	header                      []string
}

func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.id, r.deadlineMS)
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	for _, field := range r.header {
		b.WriteString(field + "\r\n")
	}
	if r.body != "" || r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.String() + "\r\n" + r.body
}

// do sends a request on a new channel and reads its answer to the end.
func (r request) do(address string) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(time.Duration(r.deadlineMS)*time.Millisecond + time.Second))
	if _, err := io.WriteString(conn, r.text()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), complete: err == nil, err: err, header: response.Header}
}
