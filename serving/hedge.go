package serving

import (
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/hedge"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/routing"
)

// errLostRace means that the other of two attempts answered first.
var errLostRace = errors.New("another upstream answered first")

// Reasons for no second attempt that package hedge knows nothing of.
const (
	deniedNoUpstream  hedge.Denial = "no_upstream"
	deniedRetryBudget hedge.Denial = "retry_budget"
)

// hedges guards the policy that the requests of a node share.
type hedges struct {
	now     func() time.Time
	mu      sync.Mutex
	policy  *hedge.Policy
	enabled bool
}

func newHedges(settings Settings) *hedges {
	policy := hedge.NewPolicy(settings.HedgeShare)
	return &hedges{now: settings.MonotonicNow, policy: policy, enabled: policy.Enabled()}
}

// with uses the policy, unless hedging is off.
func (h *hedges) with(use func(policy *hedge.Policy, now time.Time)) {
	if !h.enabled {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	use(h.policy, h.now())
}

func (h *hedges) countRequest(service string) {
	h.with(func(p *hedge.Policy, now time.Time) { p.RecordRequest(service, now) })
}

func (r *requestRun) hedgeClass() hedge.Class {
	return hedge.ClassOf(r.service, r.request.Route.Kind == catalog.Streaming, r.request.PromptTokens)
}

// hedgeDelay returns how long the first attempt may take before a second one is considered; ok is false
// if there can't be a second one.
func (r *requestRun) hedgeDelay(first *exchange) (delay time.Duration, ok bool) {
	if first.continues || !r.repeatAllowed() {
		return 0, false
	}
	r.handler.hedges.with(func(p *hedge.Policy, now time.Time) {
		if delay, ok = p.Delay(r.hedgeClass(), forecastOf(first.choice), r.request.Route.LatencyTarget, now); ok {
			p.RecordArmed(r.service, now)
		}
	})
	return delay, ok
}

// forecastOf returns the expected time to the first answer.
func forecastOf(choice routing.Choice) time.Duration {
	return time.Duration((choice.Queue + choice.Prefill) * float64(time.Second))
}

// race waits for the first attempt and, after the delay, for a second one beside it. The first answer is
// forwarded; the other attempt is canceled, and has ended by then.
func (r *requestRun) race(first *exchange, delay time.Duration) outcome {
	opened := make(chan *exchange, 2)
	start := func(x *exchange) {
		go func() {
			x.open()
			opened <- x
		}()
	}
	start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-opened:
		return r.conclude(first)
	case <-timer.C:
	}
	second := r.hedge(first)
	if second == nil {
		return r.conclude(<-opened)
	}
	start(second)
	leader, other := <-opened, second
	if leader == second {
		other = first
	}
	if leader.promising() {
		r.loseRace(other, opened)
		r.countHedge(leader)
		leader.watchSilence(gapTimeout(r.request.Route))
		return r.conclude(leader)
	}
	r.conclude(leader)
	other.watchSilence(other.silenceLeft())
	<-opened
	r.countHedge(other)
	return r.conclude(other)
}

// countHedge counts the second attempt by the exchange that ends the race.
func (r *requestRun) countHedge(last *exchange) {
	result := "lost"
	switch {
	case !last.promising():
		result = "failed"
	case last.hedges:
		result = "won"
	}
	r.handler.Metrics.hedges.result.WithLabelValues(r.service, result).Inc()
}

// promising reports whether an exchange ended in an answer for the caller.
func (x *exchange) promising() bool {
	return x.opened.result == outcomeAnswered && x.opened.streamErr == nil && (x.opened.reader != nil || !x.answeredFailure())
}

// hedge returns the second attempt of a request; nil if there is none.
func (r *requestRun) hedge(first *exchange) *exchange {
	view := r.handler.CurrentView()
	r.view = view
	r.handler.hedges.with(func(p *hedge.Policy, now time.Time) { p.RecordDue(r.service, now) })
	if r.ctx.Err() != nil || view.Draining || r.refusedMeanwhile() {
		// The first attempt, which is under way, ends as it would have without a second one.
		return nil
	}
	choice, denial := r.chooseHedge(first, view)
	if denial != "" {
		r.countDenial(denial)
		return nil
	}
	first.silence.stop()
	if r.reserved.Load() != nil {
		return nil
	}
	if denial = r.takeHedge(choice.Upstream); denial != "" {
		r.countDenial(denial)
		first.watchSilence(first.silenceLeft())
		return nil
	}
	tokens := choice.UncachedTokens(r.request.PromptTokens)
	r.handler.hedges.with(func(p *hedge.Policy, now time.Time) { p.RecordHedge(r.service, tokens, now) })
	r.handler.Metrics.hedges.tokens.WithLabelValues(r.service).Add(float64(tokens))
	second := r.begin(choice)
	second.hedges = true
	return second
}

// takeHedge takes a request from the upstream's limit and a retry from the budget, or says what is lacking.
func (r *requestRun) takeHedge(upstream *routing.Upstream) hedge.Denial {
	if !upstream.Gate.Take(time.Now()) {
		return deniedNoUpstream
	}
	if !r.takeRetry(r.view.RetryBurst) {
		upstream.Gate.Refund()
		return deniedRetryBudget
	}
	return ""
}

func (r *requestRun) countDenial(denial hedge.Denial) {
	r.hedgeDenied = denial
	r.handler.Metrics.hedges.result.WithLabelValues(r.service, "denied_"+string(denial)).Inc()
}

// chooseHedge chooses the upstream of the second attempt, or says why there is none.
func (r *requestRun) chooseHedge(first *exchange, view *View) (routing.Choice, hedge.Denial) {
	choice, err := r.chooseUpstream(view)
	if err != nil || !mayHedgeAt(choice.Upstream) {
		return choice, deniedNoUpstream
	}
	denial := deniedNoUpstream
	r.handler.hedges.with(func(p *hedge.Policy, now time.Time) {
		denial = p.Decide(r.hedgeClass(), time.Since(first.sentAt), r.hedgeCandidate(choice), now)
	})
	return choice, denial
}

// mayHedgeAt reports whether an upstream gets second attempts; one that is suspect, leaves or names a limit
// gets none.
func mayHedgeAt(upstream *routing.Upstream) bool {
	return upstream.Health == membership.StateLive && !upstream.Gate.Restricted()
}

func (r *requestRun) hedgeCandidate(choice routing.Choice) hedge.Candidate {
	return hedge.Candidate{
		Forecast: forecastOf(choice), Load: choice.Load, Tokens: choice.UncachedTokens(r.request.PromptTokens),
	}
}

// loseRace cancels an attempt whose answer is not needed, and waits until it has ended.
func (r *requestRun) loseRace(loser *exchange, opened <-chan *exchange) {
	loser.cancel(errLostRace)
	<-opened
	loser.countRun()
	loser.close()
	if !loser.opened.reached {
		loser.upstream.Gate.Refund()
	}
	r.record(loser, outcomeLost, errLostRace)
	took := loser.opened.at.Sub(loser.sentAt)
	r.handler.hedges.with(func(p *hedge.Policy, now time.Time) { p.RecordLoser(r.service, took, now) })
	r.handler.Metrics.hedges.seconds.WithLabelValues(r.service).Add(took.Seconds())
}

// recordLatency records how long the request waited for its answer. Of an attempt that was given up it is
// known only that it would have taken longer; of the later of two attempts that lost, nothing is.
func (r *requestRun) recordLatency(x *exchange, result outcome, now time.Time) {
	r.handler.hedges.with(func(p *hedge.Policy, monotonic time.Time) {
		p.RecordWork(r.service, now.Sub(x.sentAt), x.choice.UncachedTokens(r.request.PromptTokens), monotonic)
		if r.request.Route.Repeatable() && !x.continues && (x.promising() || x.upstreamSilent() || (result == outcomeLost && !x.hedges)) {
			p.RecordAnswer(r.hedgeClass(), x.opened.at.Sub(x.sentAt), monotonic)
		}
	})
}

// hedgeMetrics counts second attempts and their cost.
type hedgeMetrics struct {
	result, seconds, tokens *prometheus.CounterVec
}

func newHedgeMetrics(registry prometheus.Registerer) hedgeMetrics {
	m := hedgeMetrics{
		result: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonline_edge_hedges_total", Help: "Second attempts beside a slow first one, by service and result.",
		}, []string{"service", "result"}),
		seconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonline_edge_hedge_extra_seconds_total", Help: "Time for which the slower of two attempts ran, by service.",
		}, []string{"service"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonline_edge_hedge_extra_tokens_total", Help: "Prompt tokens of second attempts that are not cached, by service.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.result, m.seconds, m.tokens)
	return m
}
