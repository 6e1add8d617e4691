package serving

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/hedge"
	"github.com/persimmonline/persimmonline/limit"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/routing"
)

// notConsidered marks an upstream that the decision did not look at: it is not in the sample of a large
// service, or another part of the node keeps it from such requests.
const notConsidered = "not_considered"

// maxQuestionTokens bounds the tokens of a question's prompt and answer.
const maxQuestionTokens = 1 << 24

// Explain says where a request would go now. It decides as for a request, and sends, counts and charges
// nothing.
func (h *Handler) Explain(question *Question) (*Explanation, *refusal.Refusal) {
	view, now := h.CurrentView(), time.Now()
	request, refused := h.requestOf(view, question, now)
	if refused != nil {
		return nil, refused
	}
	run := &requestRun{
		handler: h, view: view, request: request, ctx: context.Background(), shared: sharedPrefix(request.Parts),
		deadline: deadlineOf(request), excluded: map[string]bool{},
	}
	run.blocks = run.shared.Blocks()
	for _, list := range view.CacheLists {
		list.learn(view.Fleet.Prefixes, run.shared, request.Parts)
	}
	run.service = pickBackend(request.Route.Backends, h.nextRandom())
	explanation := &Explanation{
		ConfigVersion: request.ConfigVersion, ViewAgeMS: ms(now.Sub(view.PublishedAt)), RegistryAgeMS: ms(now.Sub(view.RegistryReadAt)),
		Route: explainRoute(request.Route, run.service), Admission: run.explainAdmission(now),
	}
	run.trace = &routing.Trace{}
	choice, err := run.chooseUpstream(view)
	explanation.Candidates = run.explainCandidates(choice.Upstream, now)
	if err == nil {
		run.explainNext(explanation, choice)
	} else {
		explanation.Error = err.Error()
	}
	return explanation, nil
}

// explainNext adds the choice and what would follow it.
func (r *requestRun) explainNext(explanation *Explanation, choice routing.Choice) {
	r.trace, r.excluded[choice.Upstream.ID] = nil, true
	fallback, err := r.chooseUpstream(r.view)
	if err != nil {
		fallback = routing.Choice{}
	} else {
		explanation.Fallback = fallback.Upstream.ID
	}
	explanation.Choice, explanation.Hedge = choice.Upstream.ID, r.explainHedge(choice, fallback)
}

// requestOf returns the request that a question describes, or why it would be refused for good.
func (h *Handler) requestOf(view *View, question *Question, now time.Time) (*Request, *refusal.Refusal) {
	if view.Table == nil {
		return nil, noConfiguration()
	}
	if !question.valid() {
		return nil, refusal.New(http.StatusBadRequest, refusal.CodeInvalidField, "tokens must be between 0 and %d", maxQuestionTokens)
	}
	request := &Request{
		Method: http.MethodPost, Target: question.Path, Host: question.Host, Path: question.Path, Key: question.Key,
		PromptTokens: question.PromptTokens, AnswerTokens: question.AnswerTokens,
		DeclaresTokens: question.PromptTokens+question.AnswerTokens > 0, Parts: question.Parts,
		ArrivedAt: now, ConfigVersion: view.Table.Config.Version,
	}
	if question.Workspace != "" {
		key, known := keyOf(view.Table.Config, question.Workspace)
		if !known {
			return nil, refusal.New(http.StatusNotFound, refusal.CodeNotFound, "no workspace %s", question.Workspace)
		}
		request.Key = key
	}
	refused := authorise(view.Table, request)
	if refused != nil && view.ConfigUnconfirmed {
		refused = unconfirmedRefusal(refused)
	}
	return request, refused
}

// valid reports whether all counts of tokens are within bounds.
func (q *Question) valid() bool {
	within := func(tokens int) bool { return tokens >= 0 && tokens <= maxQuestionTokens }
	sum := 0
	for _, part := range q.Parts {
		if !within(part.Tokens) {
			return false
		}
		sum += part.Tokens
	}
	return within(sum) && within(q.PromptTokens) && within(q.AnswerTokens)
}

// keyOf returns a key of a workspace.
func keyOf(config *catalog.Config, name string) (string, bool) {
	for i := range config.Workspaces {
		if workspace := &config.Workspaces[i]; workspace.Name == name && len(workspace.Keys) > 0 {
			return workspace.Keys[0], true
		}
	}
	return "", false
}

func explainRoute(route *catalog.Route, service string) RouteExplanation {
	weights := map[string]int{}
	for _, backend := range route.Backends {
		weights[backend.Service] = backend.Weight
	}
	return RouteExplanation{
		Name: route.Name, Kind: route.Kind.String(), Service: service, Weights: weights, MaxAttempts: route.MaxAttempts,
		LatencyTargetMS: ms(route.LatencyTarget),
	}
}

func (r *requestRun) explainAdmission(now time.Time) AdmissionExplanation {
	h, request := r.handler, r.request
	admission := AdmissionExplanation{Workspace: request.Workspace, Priority: request.Priority, RetriesLeft: h.retriesLeft(r.service, r.view.RetryBurst)}
	if request.Workspace != "" {
		h.LedgerLock.Lock()
		level, limited := h.Ledger.Levels(h.MonotonicNow())[request.Workspace]
		h.LedgerLock.Unlock()
		if limited {
			admission.QuotaLeft, admission.QuotaCost = &level, quotaCost(r.view.Table, request)
		}
	}
	switch {
	case r.view.RefusingRequests:
		admission.Refused = string(refusal.CodeDraining)
	case r.refusesPart():
		admission.Refused = string(refusal.CodeCrashesUpstreams)
	case admission.QuotaLeft != nil && *admission.QuotaLeft < admission.QuotaCost:
		admission.Refused = string(refusal.CodeWorkspaceLimit)
	}
	admission.Queue = r.explainQueue(now)
	return admission
}

var queueVerdicts = map[limit.Verdict]string{limit.Run: "run", limit.Wait: "wait", limit.RefuseFull: "full", limit.RefuseDeadline: "deadline"}

// explainQueue says where the request would wait; nil if the service's requests do not differ in rank.
func (r *requestRun) explainQueue(now time.Time) *QueueExplanation {
	if _, ranked := r.view.Rooms[r.service]; !ranked {
		return nil
	}
	ticket := r.ticket()
	r.setDeadlines(&ticket)
	p := &r.handler.waiting
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.place(r.service, r.view).queue
	preview := queue.Preview(now, ticket)
	return &QueueExplanation{
		Verdict: queueVerdicts[preview.Verdict], Rank: ticket.Priority, Ahead: preview.Ahead, Waiting: queue.Waiting(), Running: queue.Running(),
		ExpectedMS: ms(preview.Wait),
	}
}

// refusesPart reports whether a part of the prompt is refused; the trait of the whole request, which
// includes its body, is not known here.
func (r *requestRun) refusesPart() bool {
	for _, trait := range traitsOf(r.request)[1:] {
		if r.view.RefusedTraits[trait.Hash] {
			return true
		}
	}
	return false
}

// retriesLeft returns what is left of this node's part of a service's retry budget.
func (h *Handler) retriesLeft(service string, burst float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget(service).Left(h.MonotonicNow(), burst)
}

// explainCandidates lists all upstreams of the service.
func (r *requestRun) explainCandidates(chosen *routing.Upstream, now time.Time) []CandidateExplanation {
	verdicts := map[*routing.Upstream]routing.Verdict{}
	for _, verdict := range r.trace.Verdicts {
		verdicts[verdict.Upstream] = verdict
	}
	candidates := []CandidateExplanation{}
	for _, upstream := range r.view.Fleet.ByService[r.service] {
		verdict, considered := verdicts[upstream]
		if !considered {
			verdict = routing.Verdict{Upstream: upstream, Removed: notConsidered}
		}
		candidates = append(candidates, explainCandidate(verdict, now))
	}
	rank := func(c CandidateExplanation) int {
		switch {
		case chosen != nil && c.Upstream == chosen.ID:
			return 0
		case c.Removed != "":
			return 3
		case c.LastResort:
			return 2
		}
		return 1
	}
	slices.SortStableFunc(candidates, func(a, b CandidateExplanation) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Price, b.Price))
	})
	return candidates
}

func explainCandidate(verdict routing.Verdict, now time.Time) CandidateExplanation {
	upstream := verdict.Upstream
	waiting, _ := upstream.Tracker.AwaitingFirstToken()
	c := CandidateExplanation{
		Upstream: upstream.ID, DataCentre: upstream.DataCentre, Health: string(upstream.Health), Removed: string(verdict.Removed),
		LastResort: verdict.LastResort, Price: verdict.Price, Prices: map[string]float64{},
		QueueMS: toMS(verdict.Forecast.Queue), PrefillMS: toMS(verdict.Forecast.Prefill),
		CachedTokens: verdict.Forecast.CachedTokens, FetchTokens: verdict.Forecast.FetchTokens,
		InFlight: upstream.Tracker.InFlight.Load(), Waiting: waiting,
	}
	for _, price := range verdict.Prices {
		c.Prices[price.Scorer] = price.Price
	}
	if upstream.Load != nil {
		age := ms(now.Sub(time.UnixMilli(upstream.Load.AtMS)))
		c.LoadAgeMS = &age
	}
	if limit := upstream.Gate.Limit(); limit.Limited {
		age := ms(now.Sub(limit.At))
		c.LimitAgeMS, c.Limit = &age, &limit.Rate
	}
	return c
}

// explainHedge says whether a second attempt would be sent to the fallback.
func (r *requestRun) explainHedge(choice, fallback routing.Choice) HedgeExplanation {
	switch {
	case !r.handler.hedges.enabled:
		return HedgeExplanation{Denied: "off"}
	case !r.repeatAllowed():
		return HedgeExplanation{Denied: "not_repeatable"}
	case fallback.Upstream == nil || !mayHedgeAt(fallback.Upstream):
		return HedgeExplanation{Denied: string(deniedNoUpstream)}
	}
	explanation := HedgeExplanation{Denied: string(hedge.DeniedFewSamples)}
	r.handler.hedges.with(func(p *hedge.Policy, now time.Time) {
		if delay, ok := p.Delay(r.hedgeClass(), forecastOf(choice), r.request.Route.LatencyTarget, now); ok {
			after := ms(delay)
			explanation.AfterMS = &after
			explanation.Denied = string(p.Decide(r.hedgeClass(), delay, r.hedgeCandidate(fallback), now))
		}
	})
	return explanation
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// toMS converts a forecast in seconds.
func toMS(forecast float64) float64 { return ms(time.Duration(forecast * float64(time.Second))) }
