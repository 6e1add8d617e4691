package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/config"
)

func TestFoldStopsAtAGap(t *testing.T) {
	state, err := config.Fold(config.Empty(), record(t, 0, firstPatch(t)))
	require.NoError(t, err)
	after, err := config.Fold(state, record(t, 2, mergePatch("late", 1, `{"workspaces":{"incident-review":{"weight":3}}}`)))
	require.ErrorIs(t, err, config.ErrGap)
	require.Same(t, state, after)
}
