package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

// notes hold what engines and probes have seen, and what has gone wrong.
type notes struct {
	mu       sync.Mutex
	runs     map[string][]platformtest.Execution
	arrivals []arrival
	leaving  map[string]time.Time
	probes   []probe
	trouble  []trouble
	restarts []trouble
	notices  []noticed
	breaches []string
}

// arrival is a request at an engine.
type arrival struct {
	engine, service, request string
	at                       time.Time
}

// probe is a request for a route that only one version has.
type probe struct {
	*sent
	version int
}

// trouble is a span in which something unplanned went wrong.
type trouble struct {
	name     string
	from, to time.Time
}

func newNotes() *notes {
	return &notes{runs: map[string][]platformtest.Execution{}, leaving: map[string]time.Time{}}
}

// RequestArrived implements platformtest.Recorder.
func (n *notes) RequestArrived(engine, service, request string, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arrivals = append(n.arrivals, arrival{engine, service, request, at})
}

// RequestExecuted implements platformtest.Recorder.
func (n *notes) RequestExecuted(run platformtest.Execution) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs[run.Request] = append(n.runs[run.Request], run)
}

func (n *notes) drained(engine string, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving[engine] = at
}

func (n *notes) probed(s *sent, version int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.probes = append(n.probes, probe{s, version})
}

func (n *notes) troubled(name string, from, to time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.trouble = append(n.trouble, trouble{name, from, to})
}

// breach notes a broken promise.
func (n *notes) breach(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.breaches = append(n.breaches, fmt.Sprintf(format, args...))
}

// calm says that nothing unplanned went wrong in a span, or so shortly before it that the
// nodes may still be recovering.
func (n *notes) calm(from, to time.Time) bool {
	for _, t := range n.trouble {
		if t.from.Before(to) && t.to.Add(contactSpan).After(from) {
			return false
		}
	}
	return true
}

func clockTime(at time.Time) string { return at.Format("15:04:05.000") }
