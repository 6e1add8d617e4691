package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// Service is a stand-in for a plain service. Every call with an unsafe HTTP method counts as
// one run of the operation that its method, path and body identify.
type Service struct {
	// Name of the service.
	Name string

	ledger        *Ledger
	mu            sync.Mutex
	delay         time.Duration
	dropResponses int
}

// Ledger counts the runs of each operation over all instances of a service.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
	hook RunHook
}

// RunHook is called before a call runs and again after it has, before the response, for all
// instances of a service. It may block, and may panic with http.ErrAbortHandler to abort the
// call.
type RunHook func(r *http.Request, ran bool)

// SetHook sets the hook of runs; nil for none.
func (l *Ledger) SetHook(hook RunHook) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hook = hook
}

func (l *Ledger) callHook(r *http.Request, ran bool) {
	l.mu.Lock()
	hook := l.hook
	l.mu.Unlock()
	if hook != nil {
		hook(r, ran)
	}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// RecordRun counts a run of an operation and returns its number of runs.
func (l *Ledger) RecordRun(operation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[operation]++
	return l.runs[operation]
}

// Runs returns the number of runs of an operation.
func (l *Ledger) Runs(operation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[operation]
}

// DuplicatedOperations returns the number of operations that ran more than once.
func (l *Ledger) DuplicatedOperations() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, runs := range l.runs {
		if runs > 1 {
			count++
		}
	}
	return count
}

// ServiceAnswer is the response of the stand-in.
type ServiceAnswer struct {
	// Service that answered.
	Service string `json:"service"`
	// Method, Path, Query and Body of the call.
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
	// Run is the number of runs of the operation; 0 for a call with a safe HTTP method.
	Run int `json:"run"`
}

// ParseServiceAnswer decodes an answer of a service.
func ParseServiceAnswer(body io.Reader) (ServiceAnswer, error) {
	var answer ServiceAnswer
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("read answer of service: %w", err)
	}
	return answer, nil
}

// NewService returns a service that records its runs in a ledger.
func NewService(name string, ledger *Ledger) *Service {
	return &Service{Name: name, ledger: ledger}
}

// SetDelay delays every call.
func (s *Service) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// DropResponses makes the next n calls take effect without a response.
func (s *Service) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = n
}

// ServeHTTP serves any call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	delay := s.delay
	dropResponse := s.dropResponses > 0
	if dropResponse {
		s.dropResponses--
	}
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	s.ledger.callHook(r, false)
	run := 0
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		run = s.ledger.RecordRun(r.Method + " " + r.URL.Path + " " + string(body))
	}
	s.ledger.callHook(r, true)
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, ServiceAnswer{
		Service: s.Name, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body), Run: run,
	})
}

// hostOf returns the host-list entry of a process.
func hostOf(id string, role api.HostRole, service, address, dataCentre, region, class string) api.Host {
	return api.Host{
		ID: id, Incarnation: id + "-1", Role: role, Service: service, Address: address,
		DataCentre: dataCentre, Region: region, MachineClass: class, State: api.HostStateLive,
	}
}
