package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"text/template"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

// Ports of all nodes; each node has its own IP address.
const (
	callerPort    = 18221
	readinessPort = 18224
	peerPort      = 17600
)

// Bounds in the nodes' settings; the checks use the same values.
const (
	drainBound  = 2 * time.Second
	graceBound  = 5 * time.Second
	applyBound  = 2 * time.Second
	contactSpan = 3 * time.Second
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retryBurst  = 30
)

var settingsFile = template.Must(template.New("settings").Parse(`nodeName: "{{.Name}}"
role: "edge"
ip: "{{.IP}}"
zone: "{{.Zone}}"
region: "r"
zones: {a: "r", b: "r"}
listen: {frontend: "{{.IP}}:{{.Caller}}", readiness: "{{.IP}}:{{.Ready}}"}
internalPortRange: [{{.Peer}}, {{.PeerEnd}}]
limits: {memoryMb: 256, maxFds: 4096}
heartbeatMs: 1200
bounds: {contactMs: 3000, drainMs: 2000, graceS: 5, configApplyMs: 2000, retryBudgetRatio: {{.Ratio}}, retryWindowS: 10,
  retryBudgetBurst: {{.Burst}}, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 1000, leaseMs: 1500, usageWindowS: 5, usageLateS: 10}
platform: {address: "{{.Store}}"}
cloud: {address: "{{.Cloud}}", duties: ["metering", "autoscale"]}
note: "{{.Note}}"
`))

// daemon is the path of the program under test; TestMain builds it once.
var daemon string

// node is a host with the daemon running as a process on it.
type node struct {
	name, ip, zone string
	dir            string
	store, cloud   *platformtest.Proxy
	// hedgeShare is the operator's limit of second attempts.
	hedgeShare float64

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
}

func (n *node) callerAddress() string { return fmt.Sprintf("%s:%d", n.ip, callerPort) }

func (n *node) settingsPath() string { return filepath.Join(n.dir, n.name+".yaml") }

// writeSettings writes the settings file; the note makes its content differ.
func (n *node) writeSettings(note string) error {
	var text bytes.Buffer
	err := settingsFile.Execute(&text, map[string]any{
		"Name": n.name, "IP": n.ip, "Zone": n.zone, "Caller": callerPort, "Ready": readinessPort, "Peer": peerPort,
		"PeerEnd": peerPort + 15, "Store": n.store.Address(), "Cloud": n.cloud.Address(), "Note": note,
		"Ratio": retryRatio, "Burst": retryBurst,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.settingsPath(), text.Bytes(), 0o600)
}

// start starts the process unless it is running.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	n.starts++
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(daemon)
	process.Env = append(os.Environ(), "PERSIMMONLINE_CONFIG="+n.settingsPath(), fmt.Sprintf("PERSIMMON_HEDGE_SHARE=%v", n.hedgeShare))
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = process, exited
	go func() {
		_ = process.Wait() // The exit status is not checked.
		n.mu.Lock()
		n.process = nil
		n.mu.Unlock()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if there is one.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(sig) // The process may just have ended.
	}
}

// ended returns a channel that is closed when the process has ended.
func (n *node) ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	return n.exited
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after the grace time. It
// reports whether the process had to be killed.
func (n *node) stop() (killed bool) {
	ended := n.ended()
	n.signal(syscall.SIGTERM)
	select {
	case <-ended:
		return false
	case <-time.After(graceBound):
		n.kill()
		return true
	}
}

func (n *node) kill() {
	ended := n.ended()
	n.signal(syscall.SIGKILL)
	<-ended
}

var readiness = http.Client{
	Timeout:   500 * time.Millisecond,
	Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext},
}

// ready performs the load balancer's health check.
func (n *node) ready() bool {
	response, err := readiness.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// panics returns the log lines that report a panic or a fatal error of the daemon.
func (n *node) panics(t *testing.T) []string {
	raw, err := os.ReadFile(filepath.Join(n.dir, n.name+".log"))
	require.NoError(t, err)
	var found []string
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "http: panic") {
			found = append(found, line)
		}
	}
	return found
}
