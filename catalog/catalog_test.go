package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/catalog"
)

func TestRouteWithTheLongestPrefixIsFound(t *testing.T) {
	table := catalog.NewTable(&catalog.Config{Routes: []catalog.Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/", "short"},
		{"a.example", "/x", "root"},
		{"A.Example", "/", "root"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
	}
	for _, c := range cases {
		route := table.Route(c.host, c.path)
		if c.want == "" {
			require.Nil(t, route, "%s%s", c.host, c.path)
			continue
		}
		require.NotNil(t, route, "%s%s", c.host, c.path)
		require.Equal(t, c.want, route.Name, "%s%s", c.host, c.path)
	}
}

func TestOnlySafeRequestsAndResumableStreamsMayBeRepeated(t *testing.T) {
	require.True(t, (&catalog.Route{Kind: catalog.Safe}).Repeatable())
	require.False(t, (&catalog.Route{Kind: catalog.Unsafe, Resumable: true}).Repeatable())
	require.False(t, (&catalog.Route{Kind: catalog.Streaming}).Repeatable())
	require.True(t, (&catalog.Route{Kind: catalog.Streaming, Resumable: true}).Repeatable())
}

func TestKeysFindTheirWorkspace(t *testing.T) {
	table := catalog.NewTable(&catalog.Config{Workspaces: []catalog.Workspace{{Name: "a", Keys: []string{"k1", "k2"}}}})
	require.True(t, table.RequiresKeys())
	require.Equal(t, "a", table.WorkspaceByKey("k2").Name)
	require.Nil(t, table.WorkspaceByKey("k3"))
	require.False(t, catalog.NewTable(&catalog.Config{}).RequiresKeys())
}
