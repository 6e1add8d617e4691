package usage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/usage"
)

const length = 5 * time.Second

func TestWindowsAreCountedFromTheStartOf1970(t *testing.T) {
	m := usage.NewMeter("a", length)
	require.EqualValues(t, 2, m.Window(time.Unix(14, 999_999_999)))
	require.EqualValues(t, 3, m.Window(time.Unix(15, 0)))
	require.Equal(t, time.Unix(15, 0).UnixNano(), m.WindowEnd(2).UnixNano())
}

// Messages may arrive late, twice and out of order; the total is that of the newest counts.
func TestTotalDoesNotDependOnTheOrderOfMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := usage.NewMeter("a", length), usage.NewMeter("b", length)
		var sent []usage.Windows
		counts := rapid.IntRange(1, 30).Draw(t, "counts")
		for range counts {
			sender.Count("w", time.Unix(12, 0))
			sent = append(sent, sender.OwnWindows(usage.RetainedWindows))
		}
		order := rapid.Permutation(sent).Draw(t, "order")
		for _, windows := range append(order, order[0]) {
			receiver.Merge("a", windows)
		}
		receiver.Count("w", time.Unix(13, 0))
		require.EqualValues(t, counts+1, receiver.Total(2)["w"])
		receiver.Merge("b", usage.Windows{2: {"w": 99}})
		require.EqualValues(t, counts+1, receiver.Total(2)["w"], "received counts of its own incarnation are ignored")
	})
}

func TestOldWindowsAreForgotten(t *testing.T) {
	m := usage.NewMeter("a", length)
	m.Merge("dead", usage.Windows{1: {"w": 5}})
	for second := int64(0); second < 200; second += 5 {
		m.Count("w", time.Unix(second, 0))
	}
	require.LessOrEqual(t, len(m.OwnWindows(usage.RetainedWindows)), 6)
	require.NotContains(t, m.AllWindows(usage.RetainedWindows), "dead")
}
