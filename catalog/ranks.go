package catalog

import (
	"cmp"
	"slices"
)

// rank is the order of the requests of a route by a workspace's callers. The workspace's priority
// takes precedence.
type rank struct {
	workspace, route int
}

// rankRequests records, for each service of model engines, the ranks that its requests may have, from
// the first to the last.
func (t *Table) rankRequests() {
	var workspaces []int
	for i := range t.Config.Workspaces {
		workspaces = append(workspaces, t.Config.Workspaces[i].Priority)
	}
	for i := range t.Config.Routes {
		route := &t.Config.Routes[i]
		for _, backend := range route.Backends {
			service := t.serviceByName[backend.Service]
			if service == nil || service.Engine == nil {
				continue
			}
			if route.Public || !t.RequiresKeys() {
				t.ranks[service.Name] = append(t.ranks[service.Name], rank{route: route.Priority})
				continue
			}
			for _, priority := range workspaces {
				t.ranks[service.Name] = append(t.ranks[service.Name], rank{priority, route.Priority})
			}
		}
	}
	for service, ranks := range t.ranks {
		slices.SortFunc(ranks, func(a, b rank) int {
			return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
		})
		t.ranks[service] = slices.Compact(ranks)
	}
}

// Ranked reports whether the requests of a service differ in rank. Only then does their order matter
// to the operator.
func (t *Table) Ranked(service string) bool { return len(t.ranks[service]) > 1 }

// Rank returns the rank, from 0, of the requests at a service of a route by a workspace's callers.
func (t *Table) Rank(service, workspace string, route *Route) int {
	wanted := rank{route: route.Priority}
	if known := t.workspaceByName[workspace]; known != nil {
		wanted.workspace = known.Priority
	}
	return max(0, slices.Index(t.ranks[service], wanted))
}
