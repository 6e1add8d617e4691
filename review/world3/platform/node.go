//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a machine of the system with its process.
type node struct {
	world          *world
	index          int
	name, ip, zone string
	path           string
	// down is set while the machine has no power: its process isn't started again.
	mu      sync.Mutex
	down    bool
	process *exec.Cmd
	log     *os.File
}

// command returns the command of the role from the deploy file.
func command() ([]string, error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml names no command")
}

func freePort(ips []string) (int, error) {
	for range 200 {
		listener, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		if port > 60000 {
			continue
		}
		free := true
		for _, ip := range ips {
			for offset := range 3 {
				probe, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+offset))
				if err != nil {
					free = false
					break
				}
				_ = probe.Close()
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func (n *node) frontend() string { return fmt.Sprintf("%s:%d", n.ip, n.world.ports[0]) }

func (n *node) writeSettings(bootstrap bool) error {
	w := n.world
	text := fmt.Sprintf(`nodeName: "%s"
role: "edge"
machineClass: "edge"
serves: ["edge"]
ip: "%s"
zone: "%s"
region: "om-interior"
zones: {wadi-a: "om-interior", wadi-b: "om-interior", wadi-c: "om-interior", wadi-d: "om-interior"}
listen: {frontend: "%s", readiness: "%s:%d"}
internalPortRange: [%d, %d]
seeds: []
bootstrap: %v
limits: {cpuFraction: 0.4, cpuCores: 1, memoryMb: 284, maxFds: 4200, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "tenants", "quota", "leader", "platform"]
faultTolerance: {machineCount: 2, zones: 0, regionCount: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200,
  configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevocation: false, revokeMs: 5000, retryBudgetRatio: 0.2,
  retryWindowS: 10, retryBudgetBurst: 52, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 140000, requireFencing: true,
  leaseMs: 3000, thawMs: 300, usageWindowS: 5, usageTolerance: 0.05, usageLateS: 10, recoverS: 12, passMs: 120, retryAfterS: 10}
platform: {address: "%s", form: "log", writesPerS: 400, readsPerS: 2000, parts: 8, appendMs: 4.0, partitionMbS: 20.0,
  readMbS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 300, partitionMb: 200, ttlMinMs: 1000}
cloud: {address: "%s", ratePerS: 50.0, duties: ["metering", "autoscale"], dutiesPerS: 50.0}
`, n.name, n.ip, n.zone, n.frontend(), n.ip, w.ports[1], w.ports[2], w.ports[2]+2, bootstrap, w.storeAddress, w.cloudAddress)
	return os.WriteFile(n.path, []byte(text), 0o600)
}

// start starts the process, and again whenever it ends, until the machine has no power.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = false
	return n.startLocked()
}

func (n *node) startLocked() error {
	if n.process != nil {
		return nil
	}
	words, err := command()
	if err != nil {
		return err
	}
	if n.log == nil {
		if n.log, err = os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
			return err
		}
	}
	process := exec.Command(words[0], words[1:]...)
	process.Env = []string{"PERSIMMONLINE_CONFIG=" + n.path}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		if value, ok := os.LookupEnv(name); ok {
			process.Env = append(process.Env, name+"="+value)
		}
	}
	process.Stdout, process.Stderr = n.log, n.log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	n.process = process
	n.world.note("process of %s started, pid %d", n.name, process.Process.Pid)
	go func() {
		err := process.Wait()
		n.world.note("process of %s ended: %v", n.name, err)
		n.mu.Lock()
		n.process = nil
		again := !n.down
		n.mu.Unlock()
		if !again || n.world.ended.Load() {
			return
		}
		time.Sleep(500 * time.Millisecond)
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.down && !n.world.ended.Load() {
			_ = n.startLocked()
		}
	}()
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.world.note("%s to %s", sig, n.name)
		_ = n.process.Process.Signal(sig) // It may just have ended.
	}
}

// powerOff kills the process, which isn't started again until start.
func (n *node) powerOff() {
	n.mu.Lock()
	n.down = true
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
}
