package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

// observations holds what engines and probes recorded, the injected faults, and the violations found.
type observations struct {
	mu         sync.Mutex
	runs       map[string][]platformtest.Execution
	arrivals   []arrival
	leaving    map[string]time.Time
	probes     []probe
	faultSpans []timeSpan
	restarts   []timeSpan
	notices    []noticeSpan
	// crashes are the times at which requests crashed engines; they were sent until badPromptsEndAt.
	crashes         []time.Time
	badPromptsEndAt time.Time
	violations      []string
}

// arrival is the arrival of a request at an engine.
type arrival struct {
	engine, service, request string
	at                       time.Time
}

// probe is a request for a route that exists in only one version.
type probe struct {
	*sentRequest
	version int
}

// timeSpan is the time span of a fault or a restart.
type timeSpan struct {
	name     string
	from, to time.Time
}

func newObservations() *observations {
	return &observations{runs: map[string][]platformtest.Execution{}, leaving: map[string]time.Time{}}
}

// RequestArrived implements platformtest.Recorder.
func (o *observations) RequestArrived(engine, service, request string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals = append(o.arrivals, arrival{engine, service, request, at})
}

// RequestExecuted implements platformtest.Recorder.
func (o *observations) RequestExecuted(run platformtest.Execution) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[run.Request] = append(o.runs[run.Request], run)
}

func (o *observations) addDrain(engine string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving[engine] = at
}

func (o *observations) addProbe(s *sentRequest, version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probes = append(o.probes, probe{s, version})
}

func (o *observations) addFaultSpan(name string, from, to time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faultSpans = append(o.faultSpans, timeSpan{name, from, to})
}

// violation records a violated guarantee.
func (o *observations) violation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// undisturbed reports whether no unplanned fault but the excepted ones occurred in a span, or so shortly
// before it that the nodes may still be recovering.
func (o *observations) undisturbed(from, to time.Time, except ...string) bool {
	for _, t := range o.faultSpans {
		if slices.Contains(except, t.name) {
			continue
		}
		if t.from.Before(to) && t.to.Add(contactSpan).After(from) {
			return false
		}
	}
	return true
}

func clockTime(at time.Time) string { return at.Format("15:04:05.000") }
