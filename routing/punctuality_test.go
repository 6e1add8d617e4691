package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readingEngine returns an engine that has shown a reading rate in tokens per second, and pauses
// between tokens while it reads.
func readingEngine(id string, rate float64, pause time.Duration) *Upstream {
	e := engine(id, nil)
	e.Tracker.LinearPrefill = true
	now := epoch
	for i := range 20 {
		tokens := []int{1_000, 8_000}[i%2]
		long := e.Tracker.Begin(now, 0, tokens, 0)
		answer := e.Tracker.Begin(now, 0, 0, 0)
		answer.RecordFirstToken(now)
		answer.RecordToken(now)
		if tokens >= minPauseTokens {
			answer.RecordToken(now.Add(pause))
		}
		long.RecordFirstToken(now.Add(time.Duration(float64(tokens) / rate * float64(time.Second))))
		long.End(now, 1)
		answer.End(now, 1)
	}
	return e
}

// run adds answers that are being generated.
func run(e *Upstream, answers int) {
	for range answers {
		e.Tracker.Begin(epoch, 0, 0, 0).RecordFirstToken(epoch)
	}
}

func pickFor(t *testing.T, request *Request, upstreams ...*Upstream) string {
	choice, err := PickWith(ContinuousScorers, fleetOf(nil, epoch, upstreams...), request, Weights{Latency: 1}, epoch)
	require.NoError(t, err)
	return choice.Upstream.ID
}

// Engines read slowly, and while one reads a long prompt every answer in its batch pauses for longer
// than its target. A long prompt joins the engine that reads one already, and not the one with answers.
func TestLongPromptAvoidsAnswersThatItWouldStall(t *testing.T) {
	request := Request{Service: service, PromptTokens: 8_000, AnswerTokens: 10, FirstTokenTarget: 2 * time.Second, GapTarget: 300 * time.Millisecond}
	answering, reading := readingEngine("answering", 18_000, 360*time.Millisecond), readingEngine("reading", 18_000, 360*time.Millisecond)
	run(answering, 5)
	reading.Tracker.Begin(epoch, 0, 8_000, 0)
	run(reading, 4)
	require.Equal(t, "reading", pickFor(t, &request, answering, reading))
}

// Engines that read fast cause no pause that is too long, so that nothing is kept apart.
func TestFastEnginesShareLongPromptsAndAnswers(t *testing.T) {
	request := Request{Service: service, PromptTokens: 8_000, AnswerTokens: 10, FirstTokenTarget: 2 * time.Second, GapTarget: 300 * time.Millisecond}
	answering, reading := readingEngine("answering", 50_000, 100*time.Millisecond), readingEngine("reading", 50_000, 100*time.Millisecond)
	run(answering, 5)
	reading.Tracker.Begin(epoch, 0, 8_000, 0)
	run(reading, 4)
	require.Equal(t, "answering", pickFor(t, &request, answering, reading))
}

// A wait within the target costs little; one that makes the answer late is avoided at the price of
// reading the prompt again.
func TestRequestLeavesTheHolderOnlyWhenItWouldBeLate(t *testing.T) {
	prefixes := NewPrefixIndex(1 << 16)
	blocks := make([]uint64, 8)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	pick := func(target time.Duration) string {
		holder, other := readingEngine("holder", 18_000, 100*time.Millisecond), readingEngine("other", 18_000, 100*time.Millisecond)
		holder.Holder, other.Holder = prefixes.AddHolder("holder", "1", 1024), prefixes.AddHolder("other", "1", 1024)
		prefixes.Add(holder.Holder, blocks...)
		holder.Tracker.Begin(epoch, 0, 9_000, 0)
		run(other, 1)
		request := Request{Service: service, Blocks: blocks, PromptTokens: 5_000, AnswerTokens: 10, FirstTokenTarget: target}
		fleet := fleetOf(prefixes, epoch, holder, other)
		fleet.BlockTokens = 512
		choice, err := PickWith(ContinuousScorers, fleet, &request, Weights{Latency: 1}, epoch)
		require.NoError(t, err)
		return choice.Upstream.ID
	}
	require.Equal(t, "holder", pick(2*time.Second))
	require.Equal(t, "other", pick(600*time.Millisecond))
}
