package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/catalog"
)

func rankedTable(priorities ...int) *catalog.Table {
	config := &catalog.Config{
		Services:   []catalog.Service{{Name: "engines", Engine: &catalog.Engine{}}, {Name: "plain"}},
		Workspaces: []catalog.Workspace{{Name: "first", Priority: 0}, {Name: "second", Priority: 1}},
	}
	for _, priority := range priorities {
		config.Routes = append(config.Routes, catalog.Route{
			Priority: priority, Backends: []catalog.Backend{{Service: "engines", Weight: 1}, {Service: "plain", Weight: 1}},
		})
	}
	return catalog.NewTable(config)
}

func TestWorkspacesPriorityGoesBeforeTheRoutes(t *testing.T) {
	table := rankedTable(0, 2)
	routes := table.Config.Routes
	require.Equal(t, 0, table.Rank("engines", "first", &routes[0]))
	require.Equal(t, 1, table.Rank("engines", "first", &routes[1]))
	require.Equal(t, 2, table.Rank("engines", "second", &routes[0]))
	require.Equal(t, 3, table.Rank("engines", "second", &routes[1]))
}

func TestOnlyServicesOfEnginesWithSeveralRanksAreRanked(t *testing.T) {
	require.True(t, rankedTable(1).Ranked("engines"))
	require.False(t, rankedTable(1, 2).Ranked("plain"))
	config := *rankedTable(1).Config
	config.Workspaces = config.Workspaces[:1]
	require.False(t, catalog.NewTable(&config).Ranked("engines"))
}
