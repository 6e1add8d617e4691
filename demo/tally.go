package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmonline/persimmonline/standin"
)

const (
	// longestWait is the longest wait that the histograms tell apart.
	longestWait = time.Minute
	// waitDigits is the precision of the histograms, in digits.
	waitDigits = 3
)

// Latencies are the times until the first token, or a plain answer, of one kind.
type Latencies struct {
	// Count of answers.
	Count int64 `json:"count"`
	// P50MS and P95MS are percentiles, in milliseconds.
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
}

// LoadReport is what the callers of the load saw.
type LoadReport struct {
	// Sent requests, resends included.
	Sent int64 `json:"sent"`
	// Complete answers that are right to the last byte.
	Complete int64 `json:"whole"`
	// Wrong answers: whole, but not what was asked for.
	Wrong int64 `json:"wrong"`
	// Truncated answers, which ended without saying so.
	Truncated int64 `json:"cut"`
	// Refused requests by "code/ran".
	Refused map[string]int64 `json:"refused"`
	// RanThoughRefused counts operations that ran though each answer said ran: no.
	RanThoughRefused int64 `json:"ran_though_refused"`
	// FirstToken by kind of request.
	FirstToken map[string]Latencies `json:"first_token"`
}

// tally collects what the callers of the load see.
type tally struct {
	mu     sync.Mutex
	report LoadReport
	waits  map[string]*hdrhistogram.Histogram
	// notRun are the operations whose every answer said that they did not run.
	notRun map[string]bool
}

func newTally() *tally {
	return &tally{
		report: LoadReport{Refused: map[string]int64{}},
		waits:  map[string]*hdrhistogram.Histogram{},
		notRun: map[string]bool{},
	}
}

// outcome is what became of one request.
type outcome struct {
	// kind of the request.
	kind string
	// first is the time to the first token or plain answer.
	first time.Duration
	// whole answers ended as they should; right ones have the right content.
	whole, right bool
	// code and ran of a refusal; empty when there was none.
	code, ran string
	// operation that a call of a plain service asked for, as the ledger names it.
	operation string
}

// add counts an outcome.
func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Sent++
	if o.operation != "" {
		before, seen := t.notRun[o.operation]
		t.notRun[o.operation] = o.code != "" && o.ran == "no" && (!seen || before)
	}
	switch {
	case o.code != "":
		t.report.Refused[o.code+"/"+o.ran]++
	case !o.whole:
		t.report.Truncated++
	case !o.right:
		t.report.Wrong++
	default:
		t.report.Complete++
		t.wait(o.kind).RecordValue(min(o.first, longestWait).Microseconds()) //nolint:errcheck // The value is in range.
	}
}

func (t *tally) wait(kind string) *hdrhistogram.Histogram {
	known, ok := t.waits[kind]
	if !ok {
		known = hdrhistogram.New(1, longestWait.Microseconds(), waitDigits)
		t.waits[kind] = known
	}
	return known
}

// sum returns the report, with the ledger's word on what ran.
func (t *tally) sum(ledger *standin.Ledger) LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.report
	for operation, notRun := range t.notRun {
		if notRun && ledger.Runs(operation) > 0 {
			report.RanThoughRefused++
		}
	}
	report.FirstToken = map[string]Latencies{}
	for kind, waits := range t.waits {
		report.FirstToken[kind] = Latencies{
			Count: waits.TotalCount(),
			P50MS: milliseconds(waits.ValueAtQuantile(50)),
			P95MS: milliseconds(waits.ValueAtQuantile(95)),
		}
	}
	return report
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / float64(time.Millisecond/time.Microsecond)
}
