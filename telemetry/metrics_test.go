package telemetry_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/telemetry"
)

func TestEveryMetricIsOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/telemetry.md")
	require.NoError(t, err)
	names := telemetry.NewMetrics().Names()
	require.NotEmpty(t, names)
	for _, name := range names {
		require.Contains(t, string(page), "`"+name+"`")
	}
}
