package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmonline/persimmonline/standin"
)

const (
	// maxLatency is the largest value in the histograms; larger ones are clamped to it.
	maxLatency = time.Minute
	// latencyDigits is the precision of the histograms, in significant digits.
	latencyDigits = 3
)

// Latencies summarizes the times to the first token, or to a plain answer, of one kind of
// request.
type Latencies struct {
	// Count of answers.
	Count int64 `json:"count"`
	// P50MS and P95MS are percentiles, in milliseconds.
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
}

// LoadReport holds the results of the load as its callers saw them.
type LoadReport struct {
	// Sent requests, including resends.
	Sent int64 `json:"sent"`
	// Complete counts answers that are complete and correct.
	Complete int64 `json:"whole"`
	// Wrong counts answers that are complete but have the wrong content.
	Wrong int64 `json:"wrong"`
	// Truncated counts answers that ended early without an error.
	Truncated int64 `json:"cut"`
	// Refused requests by "code/ran".
	Refused map[string]int64 `json:"refused"`
	// RanThoughRefused counts operations that ran although every answer had ran: no.
	RanThoughRefused int64 `json:"ran_though_refused"`
	// FirstToken by kind of request.
	FirstToken map[string]Latencies `json:"first_token"`
}

// tally collects the outcomes of the load's requests.
type tally struct {
	mu        sync.Mutex
	report    LoadReport
	latencies map[string]*hdrhistogram.Histogram
	// notExecuted is true for the operations whose every answer so far had ran: no.
	notExecuted map[string]bool
}

func newTally() *tally {
	return &tally{
		report:      LoadReport{Refused: map[string]int64{}},
		latencies:   map[string]*hdrhistogram.Histogram{},
		notExecuted: map[string]bool{},
	}
}

// outcome is the outcome of one request.
type outcome struct {
	// kind of the request.
	kind string
	// latency is the time to the first token or to the plain answer.
	latency time.Duration
	// complete is set if the answer ended regularly, correct if its content is right.
	complete, correct bool
	// code and ran of a refusal; empty when there was none.
	code, ran string
	// operation of a call to a plain service, as named in the ledger.
	operation string
}

// add counts an outcome.
func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Sent++
	if o.operation != "" {
		previous, seen := t.notExecuted[o.operation]
		t.notExecuted[o.operation] = o.code != "" && o.ran == "no" && (!seen || previous)
	}
	switch {
	case o.code != "":
		t.report.Refused[o.code+"/"+o.ran]++
	case !o.complete:
		t.report.Truncated++
	case !o.correct:
		t.report.Wrong++
	default:
		t.report.Complete++
		t.histogram(o.kind).RecordValue(min(o.latency, maxLatency).Microseconds()) //nolint:errcheck // The value is in range.
	}
}

func (t *tally) histogram(kind string) *hdrhistogram.Histogram {
	histogram, ok := t.latencies[kind]
	if !ok {
		histogram = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		t.latencies[kind] = histogram
	}
	return histogram
}

// snapshot returns the report, checked against the operations that ran according to the
// ledger.
func (t *tally) snapshot(ledger *standin.Ledger) LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.report
	for operation, notExecuted := range t.notExecuted {
		if notExecuted && ledger.Runs(operation) > 0 {
			report.RanThoughRefused++
		}
	}
	report.FirstToken = map[string]Latencies{}
	for kind, histogram := range t.latencies {
		report.FirstToken[kind] = Latencies{
			Count: histogram.TotalCount(),
			P50MS: milliseconds(histogram.ValueAtQuantile(50)),
			P95MS: milliseconds(histogram.ValueAtQuantile(95)),
		}
	}
	return report
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / float64(time.Millisecond/time.Microsecond)
}
