package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/platform/platformtest"
)

const (
	// memoryMB and maxFDs are the limits in the settings of every process, and the bounds of the checks.
	memoryMB = 112
	maxFDs   = 256
	// maxBody and maxHeader are the limits of the configuration.
	maxBody   = 4 << 20
	maxHeader = 16 << 10
	// hangTime is the time after which a test counts something as hung.
	hangTime = 60 * time.Second
	// ordinaryTimeoutMS is how long an ordinary request waits.
	ordinaryTimeoutMS = 10_000
)

const settingsText = `nodeName: "n"
ip: "127.0.0.1"
zone: "a"
region: "r"
zones: {a: "r"}
listen: {frontend: "127.0.0.1:%d", readiness: "127.0.0.1:%d"}
internalPortRange: [%d, %d]
limits: {memoryMb: %d, maxFds: %d}
heartbeatMs: 1200
bounds: {contactMs: 3000, drainMs: 2000, graceS: 5, configApplyMs: 2000, retryBudgetRatio: 0.2, retryWindowS: 10,
  retryBudgetBurst: 30, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 1000, leaseMs: 1500, usageWindowS: 5, usageLateS: 10}
platform: {address: "%s"}
`

const configText = `{"version":1,"limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "services":[{"name":"plain","healthPath":"/healthz"},{"name":"model","healthPath":"/healthz","engine":{"slots":64,"kvCapacity":600000,"kvBytes":163840,"linkMbps":1000}},
  {"name":"faulty","healthPath":"/healthz"}],
 "routes":[
  {"name":"plain","host":"h.example","pathPrefix":"/plain/","type":"unsafe","timeoutMs":10000,"targetLatencyMs":1000,"service":"plain","maxAttempts":1},
  {"name":"model","host":"h.example","pathPrefix":"/model/","type":"unsafe","timeoutMs":10000,"targetLatencyMs":1000,"service":"model","maxAttempts":1},
  {"name":"faulty","host":"h.example","pathPrefix":"/faulty/","type":"unsafe","timeoutMs":10000,"targetLatencyMs":1000,"service":"faulty","maxAttempts":1},
  {"name":"stream","host":"h.example","pathPrefix":"/stream/","type":"streaming","timeoutMs":10000,"targetLatencyMs":1000,"service":"faulty","maxAttempts":1}],
 "tenants":[{"name":"busy","apiKeys":["busy"]},{"name":"other","apiKeys":["other"]}]}`

// daemon is the path of the program under test.
var daemon string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemon = filepath.Join(dir, "persimmon-edge")
	build := exec.Command("go", "build", "-o", daemon, "../cmd/persimmon-edge")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build the daemon: %v\n%s", err, output))
	}
	return m.Run()
}

// process is a daemon under test.
type process struct {
	store                        *platformtest.Store
	callers, readiness, peerPort string
	command                      *exec.Cmd
	exited                       chan struct{}
	log                          bytes.Buffer
	peakFDs                      atomic.Int64
	// storeFails makes the store answer all calls without end.
	storeFails atomic.Bool
}

// startProcess starts a daemon and an ordinary upstream for the services plain and model. An answer of the
// upstream takes as long as the request's header X-Work-Ms asks for.
func startProcess(t *testing.T) *process {
	p := &process{store: platformtest.NewStore(), exited: make(chan struct{})}
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.storeFails.Load() {
			p.store.ServeHTTP(w, r)
			return
		}
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			writeLong("200 OK", "\r\n", "x")(conn, "")
			_ = conn.Close()
		}
	}))
	t.Cleanup(func() { store.CloseClientConnections() })
	ports := freePorts(t)
	p.callers, p.readiness, p.peerPort = loopback(ports), loopback(ports+1), loopback(ports+2)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(settingsText, ports, ports+1, ports+2, ports+9, memoryMB, maxFDs, strings.TrimPrefix(store.URL, "http://"))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	p.command = exec.Command(daemon)
	p.command.Env = append(os.Environ(), "PERSIMMONLINE_CONFIG="+path)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.command.Start())
	go func() {
		_ = p.command.Wait() // The checks ask whether it has ended, not how.
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // Fails only if it has ended.
		<-p.exited
		if t.Failed() {
			log := p.log.String()
			t.Logf("end of the log: %s", log[max(0, len(log)-1000):])
		}
	})
	go p.watchDescriptors()
	p.store.PublishConfig(fmt.Appendf(nil, configText, maxHeader, maxBody))
	ordinary := httptest.NewServer(http.HandlerFunc(answerOrdinarily))
	t.Cleanup(func() { ordinary.CloseClientConnections() })
	for _, service := range []string{"plain", "model"} {
		p.register(service, strings.TrimPrefix(ordinary.URL, "http://"))
	}
	require.Eventually(t, func() bool { return p.ready() && p.ordinaryRequest() == http.StatusOK }, hangTime, 50*time.Millisecond)
	return p
}

func answerOrdinarily(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	work, _ := strconv.Atoi(r.Header.Get("X-Work-Ms")) // Absent means none.
	time.Sleep(time.Duration(work) * time.Millisecond)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "signature")
	_, _ = io.WriteString(w, "done")
}

func (p *process) register(service, address string) { p.registerAs("i-"+service, service, address) }

func (p *process) registerAs(id, service, address string) {
	p.store.Put(platform.TopicRegistry, id, fmt.Appendf(nil,
		`{"service":"%s","address":"%s","zone":"a","slots":512,"phase":"ready","sequence":1,"born":1700000000000}`, service, address))
}

func loopback(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

// freePorts returns the first of ten ports below the range from which connections get theirs.
func freePorts(t *testing.T) int {
	for first := 12_000 + os.Getpid()%700*10; first < 20_000; first += 10 {
		free := true
		for port := first; port < first+10 && free; port++ {
			listener, err := net.Listen("tcp", loopback(port))
			free = err == nil
			if free {
				require.NoError(t, listener.Close())
			}
		}
		if free {
			return first
		}
	}
	require.Fail(t, "no free ports")
	return 0
}

func (p *process) ready() bool {
	response, err := http.Get("http://" + p.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ordinaryRequest sends a request within all limits to the ordinary upstream, and returns its status.
func (p *process) ordinaryRequest() int { return p.request("/plain/x") }

// request sends a request within all limits on a new connection, and returns its status; 0 for none.
func (p *process) request(path string) int { return p.post(path, strings.Repeat("b", 1000)) }

// post sends a body on a new connection, and returns the status of the whole answer; 0 for none.
func (p *process) post(path, body string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.callers+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host, r.Close = "h.example", true
	r.Header.Set("X-Request-Id", "ordinary")
	r.Header.Set("Authorization", "Bearer other")
	r.Header.Set("X-Deadline-Ms", strconv.Itoa(ordinaryTimeoutMS))
	client := http.Client{Timeout: ordinaryTimeoutMS * time.Millisecond}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// watchDescriptors records the largest number of open descriptors.
func (p *process) watchDescriptors() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)); err == nil {
			p.peakFDs.Store(max(p.peakFDs.Load(), int64(len(entries))))
		}
	}
}

// peakMemoryMB returns the largest resident size so far.
func (p *process) peakMemoryMB(t *testing.T) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	require.True(t, found, "the process has ended")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kilobytes >> 10
}

// requireSound checks the process while the crowd stays as it is: it answers an ordinary request, and it
// lives within its memory and its descriptors.
func (p *process) requireSound(t *testing.T) {
	require.Eventually(t, func() bool { return p.ordinaryRequest() == http.StatusOK }, hangTime, 100*time.Millisecond)
	select {
	case <-p.exited:
		require.Fail(t, "the process has ended")
	default:
	}
	memory, descriptors := p.peakMemoryMB(t), p.peakFDs.Load()
	t.Logf("at most %d MB of %d and %d descriptors of %d", memory, memoryMB, descriptors, maxFDs)
	require.LessOrEqual(t, memory, memoryMB)
	require.LessOrEqual(t, descriptors, int64(maxFDs))
}
