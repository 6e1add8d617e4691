//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

// deployment holds the figures of a deployment's page.
type deployment struct {
	kinds  []kind
	routes []map[string]any
	// memoryMB are the machines, the first two in one zone; engineTokens is the memory of a model engine.
	memoryMB     []int
	engineTokens int
}

// Kinds of calls to the plain service.
func plainKinds(perSecond [2]float64, limit time.Duration) []kind {
	return []kind{
		{name: "trigger", path: "/trigger/1", method: http.MethodPost, perSecond: perSecond[0], limit: limit, body: 600},
		{name: "status", path: "/status/1", method: http.MethodGet, perSecond: perSecond[1], limit: limit},
	}
}

// rakeline is the deployment of the Rakeline Router Fleet.
var rakeline = deployment{
	memoryMB: []int{284, 284, 544, 284, 284}, engineTokens: 607437,
	kinds: append([]kind{
		{name: "review", path: "/review/1", method: http.MethodPost, perSecond: 17.1, limit: 15 * time.Second, events: 64, firstMS: 150, tokens: 6610, shared: 5382, body: 12000},
		{name: "summary", path: "/summary/1", method: http.MethodPost, perSecond: 47.8, limit: 12 * time.Second, events: 49, firstMS: 30, tokens: 628, shared: 198, body: 830},
		{name: "check", path: "/check/1", method: http.MethodPost, perSecond: 26.4, limit: 3 * time.Second, events: 4, firstMS: 50, tokens: 1800, shared: 568, body: 2400},
	}, plainKinds([2]float64{22.8, 9.1}, 1500*time.Millisecond)...),
	routes: []map[string]any{
		route("review", "streaming", "models", 15000, 1000, 600, 0, 2, true), route("summary", "streaming", "models", 12000, 1200, 600, 1, 1, false),
		route("check", "streaming", "models", 3000, 2000, 600, 2, 2, true), route("trigger", "unsafe", "calls", 1500, 100, 0, 2, 1, false),
		route("status", "safe", "calls", 1500, 100, 0, 2, 2, false),
	},
}

// kaartenhuis is the deployment of the Kaartenhuis reorder desk.
var kaartenhuis = deployment{
	memoryMB: []int{414, 414, 544, 544, 284}, engineTokens: 624874,
	kinds: append([]kind{
		{name: "proof", path: "/proof/1", method: http.MethodPost, perSecond: 14.7, limit: 12 * time.Second, events: 40, firstMS: 150, tokens: 3720, shared: 13300, body: 17000},
		{name: "layout", path: "/layout/1", method: http.MethodPost, perSecond: 10.9, limit: 6 * time.Second, events: 17, firstMS: 100, tokens: 2890, shared: 6300, body: 9200},
		{name: "reply", path: "/reply/1", method: http.MethodPost, perSecond: 21.7, limit: 15 * time.Second, events: 57, firstMS: 60, tokens: 1110, shared: 350, body: 1500},
	}, plainKinds([2]float64{11.8, 6.8}, 2500*time.Millisecond)...),
	routes: []map[string]any{
		route("proof", "streaming", "models", 12000, 1000, 300, 1, 1, false), route("layout", "streaming", "models", 6000, 800, 300, 0, 2, true),
		route("reply", "streaming", "models", 15000, 600, 300, 2, 1, false), route("trigger", "unsafe", "calls", plainTimeoutMS, 150, 0, 2, 1, false),
		route("status", "safe", "calls", plainTimeoutMS, 150, 0, 2, 2, false),
	},
}

// plainTimeoutMS is the timeout of Kaartenhuis' routes to the plain service.
const plainTimeoutMS = 1200

func route(name, kind, service string, timeoutMS, targetMS, gapMS, priority, attempts int, resume bool) map[string]any {
	return map[string]any{
		"name": name, "host": "app.example", "pathPrefix": "/" + name + "/", "type": kind, "timeoutMs": timeoutMS, "targetLatencyMs": targetMS,
		"priority": priority, "service": service, "maxAttempts": attempts, "public": false, "sessionAffinity": kind == "streaming",
		"streamResume": resume, "gapTargetMs": gapMS,
	}
}

// start starts the machines, twelve model engines and four instances of the plain service. prefill is the
// number of prompt tokens that an engine reads in a millisecond; 0 for no bound.
func (d *deployment) start(w *world, prefill float64) (engines []*engine, status int) {
	zones := []string{"za", "zb", "zc", "zd"}
	for i := range 16 {
		id, service, slots, queue := fmt.Sprintf("i-%d", i), "models", 64, 134
		if i >= 12 {
			service, slots, queue = "calls", 6, 24
		}
		e, err := w.startEngine(id, service, zones[i%4], slots, queue, i >= 12)
		if err != nil {
			w.note("%v", err)
			return nil, notRun
		}
		if !e.plain {
			e.prefill = prefill
		}
		engines = append(engines, e)
	}
	for i, memoryMB := range d.memoryMB {
		if _, err := w.addNode(fmt.Sprintf("edge-%d", i), zones[max(0, i-1)], memoryMB, platformtest.NewCloud()); err != nil {
			w.note("%v", err)
			return nil, notRun
		}
	}
	w.publish(d.routes, []map[string]any{
		{"name": "models", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "engine": map[string]any{
			"slots": 64, "kvCapacity": d.engineTokens, "kvBytes": 163840, "linkMbps": 550000.0,
		}},
		{"name": "calls", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1"},
	}, []map[string]any{{"name": "tenant", "apiKeys": []string{"key-1"}, "priority": 1, "unit": "token", "uncachedTokens": 200, "ratePerS": 0, "burst": 0}})
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			w.note("%v", err)
			return nil, notRun
		}
	}
	if !w.awaitReady(20 * time.Second) {
		w.note("the nodes are not ready")
		return nil, notRun
	}
	return engines, held
}
