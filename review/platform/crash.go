//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

const (
	// crashEngines is the number of engines, crashAtOnce that of those which crash at the same time.
	crashEngines = 8
	crashAtOnce  = 2
	crashEvery   = 12 * time.Second
	crashes      = 1
	crashDown    = 2 * time.Second
	maxCrashTime = 5 * time.Second
)

// runEngine is the process of one engine. It prints its address and serves until it is killed.
func runEngine(id, zone string) int {
	e, err := listenEngine(id, "models", zone, 64, 134, false)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	e.unframed = true
	fmt.Println(e.address)
	select {}
}

// engineProcess is an engine that runs as a process of its own.
type engineProcess struct {
	*engine
	process *exec.Cmd
	ended   chan struct{}
}

// startEngineProcess starts the process of an engine, and registers it.
func (w *world) startEngineProcess(id, zone string) (*engineProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	process := exec.Command(program, "engine", id, zone)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := process.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		return nil, err
	}
	p := &engineProcess{
		engine:  &engine{id: id, service: "models", zone: zone, address: strings.TrimSpace(line), slots: 64, born: time.Now().UnixMilli()},
		process: process, ended: make(chan struct{}),
	}
	w.note("engine %s started at %s, process %d", id, p.address, process.Process.Pid)
	go w.report(p.engine, p.ended)
	return p, nil
}

// crash kills the process.
func (p *engineProcess) crash() {
	_ = p.process.Process.Kill()
	_ = p.process.Wait()
	close(p.ended)
}

// runCrash plays engines whose streams end with their channel, of which some crash.
func runCrash(w *world, trouble bool) int {
	zones := []string{"za", "zb", "zc", "zd"}
	var engines []*engineProcess
	defer func() {
		for _, e := range engines {
			e.crash()
		}
	}()
	started := 0
	startOne := func() error {
		e, err := w.startEngineProcess(fmt.Sprintf("i-%d", started), zones[started%len(zones)])
		if err == nil {
			engines = append(engines, e)
			started++
		}
		return err
	}
	for range crashEngines {
		if err := startOne(); err != nil {
			w.note("%v", err)
			return notRun
		}
	}
	w.publish(rakeline.routes[:2], []map[string]any{
		{"name": "models", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "engine": map[string]any{"slots": 64, "kvCapacity": rakeline.engineTokens, "kvBytes": 163840, "linkMbps": 550000.0}},
	}, []map[string]any{{"name": "tenant", "apiKeys": []string{"key-1"}, "priority": 1, "unit": "token", "uncachedTokens": 200, "ratePerS": 0, "burst": 0}})
	for i := range 5 {
		n, err := w.addNode(fmt.Sprintf("edge-%d", i), zones[max(0, i-1)], 284, platformtest.NewCloud())
		if err == nil {
			err = n.start()
		}
		if err != nil {
			w.note("%v", err)
			return notRun
		}
	}
	if !w.awaitReady(20 * time.Second) {
		w.note("the nodes are not ready")
		return notRun
	}
	c := newClients(w, "app.example", "key-1")
	until := time.Now().Add((crashes + 1) * crashEvery)
	kinds := slices.Clone(rakeline.kinds[:2])
	kinds[0].perSecond, kinds[1].perSecond = 10, 25
	for _, k := range kinds {
		c.pending.Go(func() { c.run(k, until) })
	}
	for range crashes {
		time.Sleep(crashEvery - maxCrashTime)
		if trouble {
			for range crashAtOnce {
				w.note("engine %s crashes", engines[0].id)
				engines[0].crash()
				engines = engines[1:]
			}
		}
		time.Sleep(crashDown)
		for trouble && len(engines) < crashEngines {
			if err := startOne(); err != nil {
				w.note("%v", err)
				return notRun
			}
		}
		time.Sleep(maxCrashTime - crashDown)
	}
	c.pending.Wait()
	return judgeCrash(w, c, kinds)
}

// judgeCrash counts the streams that ended as complete before their last piece.
func judgeCrash(w *world, c *clients, kinds []kind) int {
	wanted := map[string]int{}
	for _, k := range kinds {
		wanted[k.name] = k.events
	}
	early, cut, whole := 0, 0, 0
	for _, o := range c.outcomes {
		verdict := ""
		switch {
		case o.status == http.StatusOK && o.complete && o.events < wanted[o.kind]:
			early++
			verdict = "ORDER: ended as complete before its last piece"
		case o.status == http.StatusOK && o.complete:
			whole++
		case o.cut:
			cut++
		}
		w.note("request %s sent at %.3f to %s, status %d, complete %v, %d of %d pieces, after %d ms %s",
			o.id, o.sentAt.Sub(w.began).Seconds(), o.node, o.status, o.complete, o.events, wanted[o.kind], o.took.Milliseconds(), verdict)
	}
	w.note("%d requests; streams whole: %d, broken off: %d, ended as complete before their last piece: %d", len(c.outcomes), whole, cut, early)
	if early > 0 {
		return broken
	}
	return held
}
