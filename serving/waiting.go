package serving

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/persimmonline/persimmonline/limit"
	"github.com/persimmonline/persimmonline/refusal"
)

// The load that this file answers: a burst of long prompts fills the engines while live requests keep
// coming. Whoever comes next waits here, where the order can still change, instead of in an engine's
// queue.

const (
	// maxWaitingRequests bounds the requests that wait at this node for a service, whose bodies are in
	// memory.
	maxWaitingRequests = 512
	// minWaitingRetry and maxWaitingRetry bound the delay after which a request that was turned away
	// is asked to come back.
	minWaitingRetry = 100 * time.Millisecond
	maxWaitingRetry = 5 * time.Second
	// waitingLogInterval is the minimum time between two log lines about the waiting requests of a
	// service.
	waitingLogInterval = time.Second
)

// errTurnedAway means that a request would have waited for too long.
var errTurnedAway = errors.New("no place at an engine in time")

// waitingPlace holds the requests for one service that wait for a place at its engines.
type waitingPlace struct {
	queue *limit.Queue
	gate  limit.Gate
	// verdicts tell each waiting request whether it starts.
	verdicts map[uint64]chan bool
	log      *rate.Limiter
}

// waitingPlaces holds the waiting places of the services whose requests differ in rank.
type waitingPlaces struct {
	mu        sync.Mutex
	byService map[string]*waitingPlace
	nextID    uint64
}

// place returns the waiting place of a service, which opens as wide as the view allows. The caller
// holds the lock.
func (p *waitingPlaces) place(service string, view *View) *waitingPlace {
	place := p.byService[service]
	if place == nil {
		place = &waitingPlace{
			queue: limit.NewSharedQueue(1, maxWaitingRequests), verdicts: map[uint64]chan bool{},
			log: rate.NewLimiter(rate.Every(waitingLogInterval), 1),
		}
		p.byService[service] = place
		place.resize(service, view)
	}
	return place
}

// resize sets how many requests this node may run at the service's engines. Nothing waits while this
// node stops, or for a service that is not in the view.
func (p *waitingPlace) resize(service string, view *View) {
	slots := math.MaxInt32
	if room, ranked := view.Rooms[service]; ranked && !view.Draining {
		slots = p.gate.Slots(room, p.queue.Running(), p.queue.Waiting())
	}
	p.queue.Resize(slots, maxWaitingRequests)
}

// deliver tells requests that they start or that their time has passed.
func (p *waitingPlace) deliver(started limit.Started) {
	for _, id := range started.Run {
		p.verdicts[id] <- true
		delete(p.verdicts, id)
	}
	for _, id := range started.Expired {
		p.verdicts[id] <- false
		delete(p.verdicts, id)
	}
}

// ViewChanged applies a new view to the waiting requests and to the runs of engines that leave.
func (h *Handler) ViewChanged(view *View) {
	h.carrier.viewChanged(view)
	h.waiting.mu.Lock()
	defer h.waiting.mu.Unlock()
	for service, place := range h.waiting.byService {
		place.resize(service, view)
		place.deliver(place.queue.StartWaiting(time.Now()))
		waiting := place.queue.Waiting()
		h.Metrics.waiting.WithLabelValues(service).Set(float64(waiting))
		if waiting > 0 && place.log.Allow() {
			room := view.Rooms[service]
			h.Logger.Info().Str("service", service).Int("waiting", waiting).Int("running", place.queue.Running()).
				Int("waiting_elsewhere", room.WaitingElsewhere).Int("places", room.Places).Int("running_all", room.Running).
				Int("free", room.Free).Int("nodes", room.Nodes).Bool("alone", room.Alone).Msg("requests wait for engines")
		}
	}
}

// Waiting returns the number of requests that wait at this node, by service.
func (h *Handler) Waiting() map[string]int {
	h.waiting.mu.Lock()
	defer h.waiting.mu.Unlock()
	var counts map[string]int
	for service, place := range h.waiting.byService {
		if waiting := place.queue.Waiting(); waiting > 0 {
			if counts == nil {
				counts = map[string]int{}
			}
			counts[service] = waiting
		}
	}
	return counts
}

// awaitPlace waits until the engines have a place for the request, and returns the function that gives
// it back. With an error the request must not be sent.
func (r *requestRun) awaitPlace() (release func(), err error) {
	if _, ranked := r.view.Rooms[r.service]; !ranked {
		return func() {}, nil
	}
	p, ticket := &r.handler.waiting, r.ticket()
	p.mu.Lock()
	p.nextID++
	ticket.ID = p.nextID
	place := p.place(r.service, r.view)
	started := place.queue.TryStart(time.Now(), ticket)
	p.mu.Unlock()
	if started {
		return r.releasePlace(place), nil
	}
	r.setDeadlines(&ticket)
	p.mu.Lock()
	decision := place.queue.Submit(time.Now(), ticket)
	verdict := make(chan bool, 1)
	if decision.Verdict == limit.Wait {
		place.verdicts[ticket.ID] = verdict
	}
	p.mu.Unlock()
	switch decision.Verdict {
	case limit.Run:
		return r.releasePlace(place), nil
	case limit.Wait:
		return r.awaitVerdict(place, ticket, verdict)
	case limit.RefuseDeadline:
		r.turnAway("deadline", decision.RetryAfter)
	default:
		r.turnAway("full", decision.RetryAfter)
	}
	return nil, errTurnedAway
}

// awaitVerdict waits until a queued request starts, its time has passed, or the caller disconnects.
func (r *requestRun) awaitVerdict(place *waitingPlace, ticket limit.Ticket, verdict <-chan bool) (release func(), err error) {
	waitedFrom, p := time.Now(), &r.handler.waiting
	defer func() {
		r.waited = time.Since(waitedFrom)
		r.handler.Metrics.wait.WithLabelValues(strconv.Itoa(ticket.Priority)).Observe(r.waited.Seconds())
	}()
	started := false
	select {
	case started = <-verdict:
	case <-r.ctx.Done():
		p.mu.Lock()
		if place.queue.Cancel(ticket.ID) {
			delete(place.verdicts, ticket.ID)
		} else {
			started = <-verdict
		}
		p.mu.Unlock()
	}
	if started {
		release = r.releasePlace(place)
		if r.ctx.Err() == nil {
			return release, nil
		}
		release()
		return nil, r.ctx.Err()
	}
	if r.ctx.Err() == nil {
		p.mu.Lock()
		retryAfter := place.queue.RetryAfter(time.Now(), ticket)
		p.mu.Unlock()
		r.turnAway("expired", retryAfter)
	}
	return nil, errTurnedAway
}

// releasePlace returns the function that gives back a place that is taken now.
func (r *requestRun) releasePlace(place *waitingPlace) func() {
	takenAt := time.Now()
	return func() {
		now := time.Now()
		r.handler.waiting.mu.Lock()
		defer r.handler.waiting.mu.Unlock()
		place.deliver(place.queue.Done(now, now.Sub(takenAt)))
	}
}

// ticket describes the request to the queue.
func (r *requestRun) ticket() limit.Ticket {
	return limit.Ticket{
		Workspace: r.request.Workspace, Priority: r.view.Table.Rank(r.service, r.request.Workspace, r.request.Route),
		Tokens: limit.RequestCost(r.request.PromptTokens, r.request.AnswerTokens), Subject: r.shared.Chain,
	}
}

// setDeadlines sets until when the request may start and be served, and until when it may start and be
// on time.
func (r *requestRun) setDeadlines(ticket *limit.Ticket) {
	var prefill time.Duration
	if choice, err := r.chooseUpstream(r.view); err == nil {
		prefill = time.Duration(choice.Prefill * float64(time.Second))
	}
	ticket.Deadline = r.deadline.Add(-prefill - minRemaining)
	if target := r.request.Route.LatencyTarget; target > 0 {
		ticket.OnTimeBefore = r.request.ArrivedAt.Add(target - prefill)
	}
}

// turnAway records the refusal of a request that waited, or would have waited, for too long.
func (r *requestRun) turnAway(reason string, retryAfter time.Duration) {
	r.handler.Metrics.turnedAway.WithLabelValues(r.service, reason).Inc()
	code := refusal.CodeDeadline
	if reason == "full" {
		code = refusal.CodeOverloaded
	}
	r.turnedAway = refusal.New(http.StatusServiceUnavailable, code, "no engine has a place in time (%s)", reason).
		WithRetryAfter(min(max(retryAfter, minWaitingRetry), maxWaitingRetry))
}

// newWaitingMetrics adds the metrics of waiting requests.
func (m *Metrics) newWaitingMetrics(registry prometheus.Registerer) {
	m.waiting = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "persimmonline_edge_waiting_requests", Help: "Requests that wait for a place at an engine, by service.",
	}, []string{"service"})
	m.wait = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "persimmonline_edge_waited_seconds", Help: "Time that requests waited for a place at an engine, by rank.", Buckets: latencyBuckets,
	}, []string{"rank"})
	m.turnedAway = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "persimmonline_edge_turned_away_total", Help: "Requests that got no place at an engine in time, by service and reason.",
	}, []string{"service", "reason"})
	registry.MustRegister(m.waiting, m.wait, m.turnedAway)
}
