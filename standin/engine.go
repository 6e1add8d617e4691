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
	// batchSlowdown is how much each running request slows a step.
	batchSlowdown = 0.02
	// maxQueue bounds the requests that wait for a slot.
	maxQueue = 256
	// shortestAnswer and answerSpread bound the natural length of an answer, in tokens.
	shortestAnswer = 16
	answerSpread   = 48
	// wordFormat turns a hash into the text of one token.
	wordFormat = " %04x"
)

// EngineConfig describes an engine.
type EngineConfig struct {
	// Models that are loaded at the start.
	Models []api.LoadedModel
	// Slots is the largest batch.
	Slots int
	// PrefillTokensPerSecond of the engine.
	PrefillTokensPerSecond float64
	// Step is the time of one decode step of an empty batch.
	Step time.Duration
	// KVLimitTokens is the size of the prefix cache.
	KVLimitTokens int
	// LoadLag is how old a load report is.
	LoadLag time.Duration
	// CacheEventLag is how late cache events are published.
	CacheEventLag time.Duration
	// CacheEventGap drops every n-th cache event; 0 drops none.
	CacheEventGap int
	// Fetch takes the time that weights take to arrive from the weight store; nil means
	// no time.
	Fetch func(ctx context.Context, model, version string) error
	// EnforceFencing refuses orders with an old fencing number.
	EnforceFencing bool
	// CrashMarker is a text in a prompt that kills the engine; empty means none.
	CrashMarker string
	// OnCrash is called when a prompt kills the engine.
	OnCrash func()
}

// Engine is a stand-in for a model engine that batches continuously. Its answers
// are a function of the prompt, so that a test can tell a whole answer from any other.
type Engine struct {
	config      EngineConfig
	incarnation string
	life        context.Context
	stop        context.CancelFunc

	mu       sync.Mutex
	wake     chan struct{}
	waiting  []*job
	running  []*job
	models   []api.LoadedModel
	role     api.EngineLoadRole
	cache    *prefixCache
	loads    []api.EngineLoad
	slow     float64
	fence    int64
	orders   orderBook
	prefills int64
	exports  exportStore
}

// job is one request in the engine.
type job struct {
	ctx      context.Context
	cancel   context.CancelFunc
	id       string
	priority int
	text     []byte
	blocks   []uint64
	prefill  float64
	cached   int
	offset   int
	end      int
	reason   string
	out      chan token
}

// token is one token of an answer; done ends it.
type token struct {
	offset int
	text   string
	done   bool
	reason string
}

// NewEngine returns an engine; Run must be called to make it work.
func NewEngine(config EngineConfig) *Engine {
	life, stop := context.WithCancel(context.Background())
	return &Engine{
		config:      config,
		incarnation: uuid.NewString()[:8],
		life:        life,
		stop:        stop,
		wake:        make(chan struct{}, 1),
		models:      slices.Clone(config.Models),
		role:        api.EngineLoadRoleMixed,
		cache:       newPrefixCache(config.KVLimitTokens/prompt.BlockTokens, config.CacheEventLag, config.CacheEventGap),
		slow:        1,
		orders:      newOrderBook(),
		exports:     newExportStore(config.KVLimitTokens),
	}
}

// Incarnation returns the id of this engine process.
func (e *Engine) Incarnation() string { return e.incarnation }

// SetSlow makes every step slower by a factor.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// SetLoadLag is how old a load report is from now on.
func (e *Engine) SetLoadLag(lag time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config.LoadLag = lag
}

// SetCacheFaults is how late cache events are from now on, and that every n-th is
// dropped; 0 drops none.
func (e *Engine) SetCacheFaults(lag time.Duration, gap int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.lag = lag
	e.cache.gap = gap
}

// SetEnforceFencing says whether the engine refuses orders with an old fencing number.
func (e *Engine) SetEnforceFencing(checks bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config.EnforceFencing = checks
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
	return e.prefills
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

// step admits waiting requests, prefills and emits one token for each request that
// is prefilled. It returns how long the step takes.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	if len(e.running) == 0 {
		e.report()
		return 0, false
	}
	pause := time.Duration(float64(e.config.Step) * e.slow * (1 + batchSlowdown*float64(len(e.running))))
	budget := e.config.PrefillTokensPerSecond * e.config.Step.Seconds()
	remaining := e.running[:0]
	for _, j := range e.running {
		if j.ctx.Err() != nil {
			close(j.out)
			continue
		}
		if j.prefill > 0 {
			used := min(budget, j.prefill)
			budget -= used
			j.prefill -= used
			remaining = append(remaining, j)
			continue
		}
		if e.emit(j) {
			remaining = append(remaining, j)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	e.report()
	return pause, true
}

// emit sends the next token of a job and returns whether the job goes on.
func (e *Engine) emit(j *job) bool {
	if j.offset < j.end {
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
		j.cached += e.cache.hit(j.blocks) * prompt.BlockTokens
		j.prefill = max(0, float64(prompt.Tokens(j.text)+j.offset-j.cached))
		e.prefills += int64(j.prefill)
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

// report keeps the load as it is now for reports that lag.
func (e *Engine) report() {
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
		load.QueuedTokens += int(j.prefill)
	}
	e.loads = append(e.loads, load)
	cut := now.Add(-e.config.LoadLag).UnixMilli()
	for len(e.loads) > 1 && e.loads[1].AtMS <= cut {
		e.loads = e.loads[1:]
	}
}

// load returns the newest report that is as old as the lag.
func (e *Engine) load() api.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report()
	load := e.loads[0]
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
	return fmt.Sprintf(wordFormat, hash&0xffff)
}

// AnswerLength returns the length of the whole answer to a prompt and its finish reason.
func AnswerLength(text []byte, maxTokens int) (int, string) {
	natural := shortestAnswer + int(prompt.Fingerprint(text)%answerSpread)
	if maxTokens > 0 && maxTokens < natural {
		return maxTokens, "length"
	}
	return natural, "stop"
}

// Answer returns the whole answer to a prompt.
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
