package pacing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/pacing"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// An answer that was under way when the upstream named its limit does not lift it.
func TestOlderAnswerDoesNotLiftALimit(t *testing.T) {
	var gate pacing.Gate
	require.True(t, gate.Hear(pacing.Notice{Limited: true, Rate: 1}, at(1), at(2)))
	require.False(t, gate.Hear(pacing.Notice{}, at(1.5), at(3)))
	require.True(t, gate.Limit().Limited)
	require.False(t, gate.Hear(pacing.Notice{Unclear: true}, at(4), at(4)))
	require.True(t, gate.Limit().Limited, "a limit that can't be read does not lift the last one")
	require.True(t, gate.Hear(pacing.Notice{}, at(5), at(6)))
	require.False(t, gate.Limit().Limited)
}
