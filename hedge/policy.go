package hedge

import (
	"maps"
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The load that this file answers: a few upstreams of many are slow or hang, while the others have
// room; and, without a hedge, all of them are slow at once.

const (
	// minQuantile bounds the share of requests that come to their delay, whatever the operator allows.
	minQuantile = 0.9
	// medianFactor is the multiple of the median before which a second attempt, which takes a median
	// itself, can't be expected to come first.
	medianFactor = 2.5
	// forecastFactor is the multiple of the first attempt's forecast until which it is on time.
	forecastFactor = 1.5
	// targetFactor is the part of the target before which nobody gains by a second attempt: what is left
	// suffices for it.
	targetFactor = 0.5
	// minDelay is the shortest delay.
	minDelay = 5 * time.Millisecond
	// soonerFactor is by how much sooner the second attempt has to be.
	soonerFactor = 1.25
	// maxLoad is the load of an upstream, as a share of its slots, up to which it gets a second attempt.
	maxLoad = 0.75
	// shortPromptBits and bitsPerSize divide prompts into classes: up to 512 tokens, and in steps of
	// eight times as many.
	shortPromptBits = 9
	bitsPerSize     = 3
)

// Denial is the reason for which a request is not sent a second time; empty for none.
type Denial string

// Reasons.
const (
	DeniedFewSamples Denial = "few_samples"
	DeniedAllSlow    Denial = "all_slow"
	DeniedShare      Denial = "share"
	DeniedSeconds    Denial = "engine_seconds"
	DeniedTokens     Denial = "prompt_tokens"
	DeniedBusy       Denial = "busy"
	DeniedNotSooner  Denial = "not_sooner"
)

// Class groups requests whose times to the first answer can be compared.
type Class struct {
	// Service that answers.
	Service string
	// Streaming requests are answered by their first event.
	Streaming bool
	// Size of the prompt.
	Size int
}

// anySize is the class of all prompts of a service, by which a node goes that has few answers of one size.
const anySize = -1

// ClassOf returns the class of a request.
func ClassOf(service string, streaming bool, promptTokens int) Class {
	size := max(0, bits.Len(uint(max(0, promptTokens)))-shortPromptBits)
	return Class{Service: service, Streaming: streaming, Size: (size + bitsPerSize - 1) / bitsPerSize}
}

// Candidate is the upstream that would get the second attempt.
type Candidate struct {
	// Forecast of the time to its first answer.
	Forecast time.Duration
	// Load is the share of its slots that are taken.
	Load float64
	// Tokens that it would read.
	Tokens int
}

// Policy holds what a node knows of the answers to its requests. It is not safe for concurrent use.
type Policy struct {
	share     float64
	latencies map[Class]*latencies
	accounts  map[string]*account
}

// NewPolicy returns a policy that allows a share of extra work.
func NewPolicy(share float64) *Policy {
	return &Policy{share: share, latencies: map[Class]*latencies{}, accounts: map[string]*account{}}
}

// Enabled reports whether any extra work is allowed.
func (p *Policy) Enabled() bool { return p.share > 0 }

// RecordRequest counts a request for a service.
func (p *Policy) RecordRequest(service string, now time.Time) {
	p.account(service).at(now).all.requests++
}

// RecordWork counts the work of an attempt that has ended.
func (p *Policy) RecordWork(service string, took time.Duration, tokens int, now time.Time) {
	current := p.account(service).at(now)
	current.all = current.all.plus(work{seconds: took.Seconds(), tokens: float64(tokens)})
}

// RecordAnswer records the time to the first answer of a request.
func (p *Policy) RecordAnswer(class Class, took time.Duration, now time.Time) {
	for _, class := range []Class{class, class.ofAnySize()} {
		known := p.latencies[class]
		if known == nil {
			p.forget(now)
			known = newLatencies(now)
			p.latencies[class] = known
		}
		known.record(took, now)
	}
}

// forget drops the classes and services without recent requests, lest they add up as services come and go.
func (p *Policy) forget(now time.Time) {
	maps.DeleteFunc(p.latencies, func(_ Class, known *latencies) bool { return now.Sub(known.rotatedAt) > 2*latencyWindow })
	maps.DeleteFunc(p.accounts, func(_ string, known *account) bool {
		return known.sum(accountSlices, now).all.requests == 0
	})
}

func (c Class) ofAnySize() Class {
	c.Size = anySize
	return c
}

// recent returns the recent answers to requests of a class, or to those of any size; nil if both are too few.
func (p *Policy) recent(class Class, now time.Time) *hdrhistogram.Histogram {
	for _, class := range []Class{class, class.ofAnySize()} {
		if known := p.latencies[class]; known != nil {
			if recent := known.recent(now); recent != nil {
				return recent
			}
		}
	}
	return nil
}

// RecordHedge counts a second attempt that is sent now.
func (p *Policy) RecordHedge(service string, tokens int, now time.Time) {
	current := p.account(service).at(now)
	current.extra = current.extra.plus(work{requests: 1, tokens: float64(tokens)})
}

// RecordLoser counts the time for which the slower of two attempts ran.
func (p *Policy) RecordLoser(service string, took time.Duration, now time.Time) {
	p.account(service).at(now).extra.seconds += took.Seconds()
}

// Delay returns how long the first attempt of a request may take before a second one is considered;
// ok is false if that can't be told. forecast is the first attempt's, target the time in which the answer
// is due; 0 for none.
func (p *Policy) Delay(class Class, forecast, target time.Duration, now time.Time) (delay time.Duration, ok bool) {
	recent := p.recent(class, now)
	if recent == nil {
		return 0, false
	}
	slowest := quantile(recent, max(minQuantile, 1-p.account(class.Service).slowestShare(p.share, now)))
	return max(minDelay, slowest, scale(quantile(recent, 0.5), medianFactor), scale(forecast, forecastFactor),
		scale(target, targetFactor)), true
}

// RecordArmed counts a request that may be sent a second time after its delay.
func (p *Policy) RecordArmed(service string, now time.Time) { p.account(service).at(now).armed++ }

// RecordDue counts a request that has come to its delay.
func (p *Policy) RecordDue(service string, now time.Time) { p.account(service).at(now).due++ }

// Decide returns why a request is not sent a second time; empty if it is.
func (p *Policy) Decide(class Class, waited time.Duration, candidate Candidate, now time.Time) Denial {
	recent := p.recent(class, now)
	if recent == nil {
		return DeniedFewSamples
	}
	account := p.account(class.Service)
	if account.surging(now) {
		return DeniedAllSlow
	}
	if denial := account.exceeded(p.share, candidate.Tokens, now); denial != "" {
		return denial
	}
	if candidate.Load > maxLoad {
		return DeniedBusy
	}
	typical := quantile(recent, 0.5)
	left := max(meanExcess(recent, waited), waited-typical)
	if scale(max(typical, candidate.Forecast), soonerFactor) > left {
		return DeniedNotSooner
	}
	return ""
}

func (p *Policy) account(service string) *account {
	known := p.accounts[service]
	if known == nil {
		known = &account{}
		p.accounts[service] = known
	}
	return known
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
