package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An engine spends a fixed time on each prompt, whatever its length. Counted as reading time, it
// made engines look three times slower than they are, so that long prompts were copied or sent
// elsewhere for nothing.
func TestShortPromptsDoNotMakeAnEngineLookSlow(t *testing.T) {
	const rate, fixed = 50_000.0, 0.05
	tracker := Tracker{LinearPrefill: true}
	now := epoch
	for i := range 60 {
		tokens := []int{1_000, 1_200, 4_000, 900, 12_000}[i%5]
		attempt := tracker.Begin(now, 0, tokens, 0)
		now = now.Add(time.Duration((fixed + float64(tokens)/rate) * float64(time.Second)))
		attempt.RecordFirstToken(now)
		attempt.End(now, 1)
	}
	learned := tracker.speeds(ReadingSamples{}, now)
	require.InEpsilon(t, rate, learned.rate.value, 0.05)
	require.InEpsilon(t, fixed, learned.overhead.value, 0.05)
}

// Prompts of one length say nothing of the fixed part, and those that take less time the longer they
// are say nothing of the rate.
func TestReadingModelWithoutASlope(t *testing.T) {
	var model ReadingSamples
	for range 10 {
		model.observe(1_000, 0.1, epoch)
	}
	rate, overhead := model.estimate()
	require.InEpsilon(t, 10_000, rate.value, 0.01)
	require.Zero(t, overhead.value)
	model = ReadingSamples{}
	for i := range 10 {
		model.observe(float64(1_000*(i+1)), 1-0.05*float64(i), epoch)
	}
	rate, _ = model.estimate()
	require.Positive(t, rate.value)
}

// No node of a large fleet sends enough to one engine to learn its speed, and long prompts went to slow
// engines as often as to fast ones.
func TestLongPromptAvoidsAnEngineThatOtherNodesKnowToBeSlow(t *testing.T) {
	request := Request{Service: service, PromptTokens: 20_000, AnswerTokens: 10, FirstTokenTarget: time.Second, GapTarget: 500 * time.Millisecond}
	for _, rates := range [][2]float64{{60_000, 150_000}, {150_000, 60_000}} {
		engines := [2]*Upstream{engine("a", nil), engine("b", nil)}
		for i, rate := range rates {
			engines[i].Tracker.LinearPrefill = true
			for _, tokens := range []float64{1_000, 8_000, 2_000, 6_000, 4_000} {
				engines[i].Reading.observe(tokens, tokens/rate, epoch)
			}
		}
		require.Equal(t, rates[0] > rates[1], pickFor(t, &request, engines[:]...) == "a")
	}
}
