package gateway_test

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
)

// step is a point between the acceptance of a call and its answer at which the node
// waits for another process.
type step string

const (
	claimArrives   step = "claim arrives at the log"
	claimStored    step = "claim is stored, not answered"
	callArrives    step = "call arrives at the upstream"
	callRan        step = "call ran, not answered"
	outcomeArrives step = "outcome arrives at the log"
	outcomeStored  step = "outcome is stored, not answered"
)

// fault is a failure that is injected at a step.
type fault string

const (
	crash      fault = "node crashes"
	pause      fault = "node waits past a resend"
	lostAnswer fault = "answer is lost"
	logDown    fault = "log goes down"
)

var (
	allSteps  = []step{claimArrives, claimStored, callArrives, callRan, outcomeArrives, outcomeStored}
	allFaults = []fault{crash, pause, lostAnswer, logDown}
)

// injector injects one fault at one step, once, and counts the calls that ran.
type injector struct {
	c      *cluster
	mu     sync.Mutex
	step   step
	fault  fault
	fired  chan struct{}
	resume chan struct{}
	killed chan struct{}
	runs   map[string]int
}

func newInjector(c *cluster) *injector {
	in := &injector{c: c, runs: map[string]int{}}
	c.Standins.Log.SetHook(in.onAppend)
	c.Standins.Ledger.SetHook(in.onRun)
	return in
}

func (in *injector) arm(at step, what fault) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.step, in.fault = at, what
	in.fired, in.resume, in.killed = make(chan struct{}), make(chan struct{}), nil
}

func (in *injector) onAppend(_ string, records []api.RawRecord, effective bool) {
	for _, raw := range records {
		var record api.Record
		if json.Unmarshal(raw.Data, &record) != nil {
			continue
		}
		switch {
		case record.Claim != nil && !effective:
			in.at(claimArrives)
		case record.Claim != nil:
			in.at(claimStored)
		case record.Outcome != nil && !effective:
			in.at(outcomeArrives)
		case record.Outcome != nil:
			in.at(outcomeStored)
		}
	}
}

func (in *injector) onRun(r *http.Request, ran bool) {
	if r.Method != http.MethodPost {
		return
	}
	if !ran {
		in.at(callArrives)
		return
	}
	in.mu.Lock()
	in.runs[r.Header.Get("X-Request-Id")]++
	in.mu.Unlock()
	in.at(callRan)
}

// at injects the fault if it is armed for the step.
func (in *injector) at(reached step) {
	in.mu.Lock()
	if in.step != reached {
		in.mu.Unlock()
		return
	}
	in.step = ""
	what, resume := in.fault, in.resume
	if what == crash {
		in.killed = make(chan struct{})
		victim, killed := in.c.Nodes[0], in.killed
		go func() {
			defer close(killed)
			victim.Kill()
		}()
	}
	in.mu.Unlock()
	defer close(in.fired)
	switch what {
	case crash:
		time.Sleep(50 * time.Millisecond)
		if reached != callArrives && reached != callRan {
			panic(http.ErrAbortHandler)
		}
	case pause:
		in.fired <- struct{}{}
		<-resume
	case lostAnswer:
		panic(http.ErrAbortHandler)
	case logDown:
		in.c.Standins.Log.SetDown(true)
	}
}

// restore ends the fault and waits until the deployment is healthy again.
func (in *injector) restore(t *testing.T) {
	in.mu.Lock()
	in.step = ""
	resume, killed := in.resume, in.killed
	in.mu.Unlock()
	close(resume)
	in.c.Standins.Log.SetDown(false)
	defer in.waitForClaims(t)
	if killed != nil {
		<-killed
		require.NoError(t, in.c.StartNode(context.Background(), 0))
		in.c.base[0] = "http://" + in.c.Nodes[0].CallerAddress()
		for _, n := range in.c.Nodes {
			require.Eventually(t, func() bool { return n.Ready() && n.ConvergedWith(len(in.c.Nodes)-1) }, waitTimeout, 5*time.Millisecond)
		}
	}
}

// waitForClaims waits until every node can claim keys again.
func (in *injector) waitForClaims(t *testing.T) {
	t.Helper()
	for node := range in.c.base {
		require.Eventually(t, func() bool {
			return in.c.call(node, http.MethodPost, trigger, uuid.NewString(), uuid.NewString()).status == http.StatusOK
		}, waitTimeout, 5*time.Millisecond)
	}
}

// checkOutcome checks the outcome reported to a caller against the calls that ran.
func (in *injector) checkOutcome(t *testing.T, who string, answer reply, total int) {
	t.Helper()
	in.mu.Lock()
	own := in.runs[answer.header.Get("X-Request-Id")]
	in.mu.Unlock()
	switch {
	case answer.err != nil:
	case answer.status == http.StatusOK && answer.header.Get("Idempotent-Replayed") == "":
		require.Equal(t, 1, own, who)
	case answer.status == http.StatusOK:
		require.Equal(t, 1, total, who)
	case answer.ran() == "no":
		require.Zero(t, own, "%s: %s with ran: no, although the call ran", who, answer.code())
	default:
		require.Equal(t, "unknown", answer.ran(), "%s: %d %s", who, answer.status, answer.body)
	}
}

// TestEveryStepUnderEveryFault calls a node, injects a fault at a step, repeats the call at
// another node, ends the fault, and repeats the call at both nodes.
func TestEveryStepUnderEveryFault(t *testing.T) {
	keyKinds := []string{"own key", "operation id", "no key"}
	for _, what := range allFaults {
		t.Run(string(what), func(t *testing.T) {
			t.Parallel()
			c := start(t, 2)
			in := newInjector(c)
			for _, keyKind := range keyKinds {
				for _, at := range allSteps {
					if keyKind != "own key" && at != callArrives && at != callRan {
						continue // Without an own key no record is written.
					}
					t.Run(keyKind+"/"+string(at), func(t *testing.T) { in.runCase(t, at, what, keyKind) })
				}
			}
		})
	}
}

// callUntilFired repeats the call while the node refuses it before the step, which may
// happen for some seconds after an outage of the log: it can't agree on a claim, or an
// abandoned claim is not released yet. Only an answer of the service ends the loop.
func (in *injector) callUntilFired(key, body string) reply {
	for deadline := time.Now().Add(waitTimeout); ; {
		answer := in.c.call(0, http.MethodPost, trigger, key, body)
		select {
		case <-in.fired:
			return answer
		default:
		}
		if answer.code() == "" || time.Now().After(deadline) {
			return answer
		}
	}
}

func (in *injector) runCase(t *testing.T, at step, what fault, keyKind string) {
	body := uuid.NewString()
	key := ""
	switch keyKind {
	case "own key":
		key = body
	case "operation id":
		key = in.c.operation(0)
	}
	in.arm(at, what)
	replies := map[string]reply{}
	first := make(chan reply, 1)
	go func() { first <- in.callUntilFired(key, body) }()
	select {
	case <-in.fired:
	case <-time.After(waitTimeout):
		require.Fail(t, "the step was not reached")
	}
	if what != pause {
		replies["first"] = <-first
	}
	if key != "" {
		replies["resend in the fault"] = in.c.call(1, http.MethodPost, trigger, key, body)
	}
	in.restore(t)
	if what == pause {
		replies["first"] = <-first
	}
	if key != "" {
		replies["resend at another node"] = in.c.call(1, http.MethodPost, trigger, key, body)
		replies["resend at the first node"] = in.c.call(0, http.MethodPost, trigger, key, body)
	}
	total := in.c.runs(body)
	require.LessOrEqual(t, total, 1)
	for who, answer := range replies {
		t.Logf("%s: status %d code %q ran %q replayed %q err %v", who, answer.status, answer.code(), answer.ran(),
			answer.header.Get("Idempotent-Replayed"), answer.err)
		in.checkOutcome(t, who, answer, total)
	}
}
