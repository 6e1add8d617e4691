package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/prompt"
)

const (
	// batchSlowdown is the fraction by which each running request slows a step.
	batchSlowdown = 0.02
	// maxQueue bounds the requests that wait for a slot.
	maxQueue = 256
	// minAnswerTokens and answerTokensRange bound the length of an answer without a limit.
	minAnswerTokens   = 16
	answerTokensRange = 48
	// tokenFormat formats a hash as the text of one token.
	tokenFormat = " %04x"
)

// EngineConfig describes an engine.
type EngineConfig struct {
	// Models that are loaded initially.
	Models []api.LoadedModel
	// Slots is the maximum batch size.
	Slots int
	// PrefillTokensPerSecond of the engine.
	PrefillTokensPerSecond float64
	// Step is the time of one decode step of an empty batch.
	Step time.Duration
	// KVLimitTokens is the size of the prefix cache.
	KVLimitTokens int
	// LoadLag is the age of a load report.
	LoadLag time.Duration
	// CacheEventLag is the delay of cache events.
	CacheEventLag time.Duration
	// CacheEventGap is the interval, in events, at which a cache event is dropped; 0 drops none.
	CacheEventGap int
	// Fetch blocks for the duration of the transfer from the weight store; with nil, models
	// load at once.
	Fetch func(ctx context.Context, model, version string) error
	// EnforceFencing makes the engine refuse orders with an old fencing number.
	EnforceFencing bool
	// CrashMarker is a text in a prompt that crashes the engine; empty means none.
	CrashMarker string
	// OnCrash is called when a prompt crashes the engine.
	OnCrash func()
}

// Engine is a stand-in for a model engine with continuous batching. Its answers are a function
// of the prompt, so that a test can verify that an answer is complete.
type Engine struct {
	config      EngineConfig
	incarnation string
	lifetime    context.Context
	stop        context.CancelFunc

	mu              sync.Mutex
	wake            chan struct{}
	waiting         []*job
	running         []*job
	models          []api.LoadedModel
	role            api.EngineLoadRole
	cache           *prefixCache
	loadHistory     []api.EngineLoad
	slowdown        float64
	fence           int64
	orders          orderHistory
	prefilledTokens int64
	exports         exportStore
}

// job is one request in the engine.
type job struct {
	ctx              context.Context
	cancel           context.CancelFunc
	id               string
	priority         int
	text             []byte
	blocks           []uint64
	remainingPrefill float64
	cachedTokens     int
	offset           int
	endOffset        int
	reason           string
	out              chan token
}

// token is one token of an answer; done ends it.
type token struct {
	offset int
	text   string
	done   bool
	reason string
}

// NewEngine returns an engine, which processes requests while Run is running.
func NewEngine(config EngineConfig) *Engine {
	lifetime, stop := context.WithCancel(context.Background())
	return &Engine{
		config:      config,
		incarnation: uuid.NewString()[:8],
		lifetime:    lifetime,
		stop:        stop,
		wake:        make(chan struct{}, 1),
		models:      slices.Clone(config.Models),
		role:        api.EngineLoadRoleMixed,
		cache:       newPrefixCache(config.KVLimitTokens/prompt.BlockTokens, config.CacheEventLag, config.CacheEventGap),
		slowdown:    1,
		orders:      newOrderHistory(),
		exports:     newExportStore(config.KVLimitTokens),
	}
}

// Incarnation returns the id of this engine process.
func (e *Engine) Incarnation() string { return e.incarnation }

// SetSlowdown slows every step by a factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetLoadLag sets the age of load reports.
func (e *Engine) SetLoadLag(lag time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config.LoadLag = lag
}

// SetCacheFaults sets the delay of cache events and the interval, in events, at which one is
// dropped; a gap of 0 drops none.
func (e *Engine) SetCacheFaults(lag time.Duration, gap int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.lag = lag
	e.cache.gap = gap
}

// SetEnforceFencing sets whether the engine refuses orders with an old fencing number.
func (e *Engine) SetEnforceFencing(enforce bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config.EnforceFencing = enforce
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// PrefilledTokens returns the number of prompt tokens that were computed.
func (e *Engine) PrefilledTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefilledTokens
}

// Run steps the batch until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	defer e.stop()
	for ctx.Err() == nil {
		pause, busy := e.step()
		if busy {
			sleepContext(ctx, pause)
			continue
		}
		select {
		case <-e.wake:
		case <-ctx.Done():
		}
	}
}

// step admits waiting requests, prefills, and emits one token for each request whose prefill is
// complete. It returns the duration of the step and whether there was any work.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	if len(e.running) == 0 {
		e.recordLoad()
		return 0, false
	}
	pause := time.Duration(float64(e.config.Step) * e.slowdown * (1 + batchSlowdown*float64(len(e.running))))
	budget := e.config.PrefillTokensPerSecond * e.config.Step.Seconds()
	remaining := e.running[:0]
	for _, j := range e.running {
		if j.ctx.Err() != nil {
			close(j.out)
			continue
		}
		if j.remainingPrefill > 0 {
			used := min(budget, j.remainingPrefill)
			budget -= used
			j.remainingPrefill -= used
			remaining = append(remaining, j)
			continue
		}
		if e.emit(j) {
			remaining = append(remaining, j)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	e.recordLoad()
	return pause, true
}

// emit sends the next token of a job. It returns false when the answer is complete.
func (e *Engine) emit(j *job) bool {
	if j.offset < j.endOffset {
		j.out <- token{offset: j.offset, text: TokenText(j.text, j.offset)}
		j.offset++
		e.exports.put(j.id, kvOf(j))
		return true
	}
	j.out <- token{offset: j.offset, done: true, reason: j.reason}
	close(j.out)
	return false
}

func (e *Engine) admit() {
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		best := 0
		for i, j := range e.waiting {
			if j.priority < e.waiting[best].priority {
				best = i
			}
		}
		j := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		j.cachedTokens += e.cache.hitLength(j.blocks) * prompt.BlockTokens
		j.remainingPrefill = max(0, float64(prompt.Tokens(j.text)+j.offset-j.cachedTokens))
		e.prefilledTokens += int64(j.remainingPrefill)
		e.cache.add(j.blocks)
		e.running = append(e.running, j)
	}
}

// submit queues a job; false means that the queue is full.
func (e *Engine) submit(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= maxQueue {
		return false
	}
	e.waiting = append(e.waiting, j)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// recordLoad adds the current load to the history from which lagging reports are made.
func (e *Engine) recordLoad() {
	now := time.Now()
	load := api.EngineLoad{
		AtMS:          now.UnixMilli(),
		Incarnation:   e.incarnation,
		Role:          e.role,
		Running:       len(e.running),
		BatchSlots:    e.config.Slots,
		KVUsedTokens:  e.cache.size() * prompt.BlockTokens,
		KVLimitTokens: e.config.KVLimitTokens,
		Models:        slices.Clone(e.models),
	}
	for _, j := range e.waiting {
		load.QueuedTokens += prompt.Tokens(j.text)
	}
	for _, j := range e.running {
		load.QueuedTokens += int(j.remainingPrefill)
	}
	e.loadHistory = append(e.loadHistory, load)
	cutoff := now.Add(-e.config.LoadLag).UnixMilli()
	for len(e.loadHistory) > 1 && e.loadHistory[1].AtMS <= cutoff {
		e.loadHistory = e.loadHistory[1:]
	}
}

// load returns the newest report that is at least as old as the lag.
func (e *Engine) load() api.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad()
	load := e.loadHistory[0]
	load.Models = slices.Clone(e.models)
	return load
}

func (e *Engine) hasModel(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.models, func(m api.LoadedModel) bool { return m.Name == name })
}

// TokenText returns the text of the answer's token at an offset.
func TokenText(text []byte, offset int) string {
	hash := xxhash.Sum64(fmt.Appendf(nil, "%x/%d", prompt.Fingerprint(text), offset))
	return fmt.Sprintf(tokenFormat, hash&0xffff)
}

// AnswerLength returns the length of the complete answer to a prompt, in tokens, and its finish
// reason.
func AnswerLength(text []byte, maxTokens int) (int, string) {
	length := minAnswerTokens + int(prompt.Fingerprint(text)%answerTokensRange)
	if maxTokens > 0 && maxTokens < length {
		return maxTokens, "length"
	}
	return length, "stop"
}

// Answer returns the complete answer to a prompt.
func Answer(text []byte, maxTokens int) string {
	count, _ := AnswerLength(text, maxTokens)
	var answer []byte
	for i := range count {
		answer = append(answer, TokenText(text, i)...)
	}
	return string(answer)
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
