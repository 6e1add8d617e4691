package admin

import (
	"maps"
	"net/http"
	"slices"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/refusal"
)

// shownHashDigits is the number of hex digits of a key hash that operators see: enough to
// distinguish keys, too few to test guessed keys against.
const shownHashDigits = 8

// index returns the index of the configuration in force; authenticated guarantees one.
func (a *API) index() *config.Index { return a.Control.Snapshot().Index }

func (a *API) listWorkspaces(w http.ResponseWriter, _ *http.Request, _ string) {
	index := a.index()
	list := api.WorkspaceList{Version: index.Version, Workspaces: []api.WorkspaceEntry{}}
	for _, name := range slices.Sorted(maps.Keys(index.Config.Workspaces)) {
		list.Workspaces = append(list.Workspaces, workspaceEntry(name, index.Config.Workspaces[name]))
	}
	writeJSON(w, http.StatusOK, list)
}

func (a *API) getWorkspace(w http.ResponseWriter, r *http.Request, _ string) {
	name := r.PathValue("name")
	workspace, ok := a.index().Config.Workspaces[name]
	if !ok {
		notFound("workspace", name).Write(w, "")
		return
	}
	writeJSON(w, http.StatusOK, workspaceEntry(name, workspace))
}

func workspaceEntry(name string, workspace api.Workspace) api.WorkspaceEntry {
	workspace.KeyHashes = shortenHashes(workspace.KeyHashes)
	return api.WorkspaceEntry{Name: name, Workspace: workspace}
}

func (a *API) listServices(w http.ResponseWriter, _ *http.Request, _ string) {
	index := a.index()
	list := api.ServiceList{Version: index.Version, Services: []api.ServiceEntry{}}
	for _, name := range slices.Sorted(maps.Keys(index.Config.Services)) {
		list.Services = append(list.Services, api.ServiceEntry{Name: name, Service: index.Config.Services[name]})
	}
	writeJSON(w, http.StatusOK, list)
}

func (a *API) getService(w http.ResponseWriter, r *http.Request, _ string) {
	name := r.PathValue("name")
	service, ok := a.index().Config.Services[name]
	if !ok {
		notFound("service", name).Write(w, "")
		return
	}
	writeJSON(w, http.StatusOK, api.ServiceEntry{Name: name, Service: service})
}

func (a *API) listRoutes(w http.ResponseWriter, _ *http.Request, _ string) {
	index := a.index()
	list := api.RouteList{Version: index.Version, Routes: []api.RouteEntry{}}
	for _, name := range slices.Sorted(maps.Keys(index.Config.Routes)) {
		list.Routes = append(list.Routes, api.RouteEntry{Name: name, Route: index.Config.Routes[name]})
	}
	writeJSON(w, http.StatusOK, list)
}

func (a *API) getRoute(w http.ResponseWriter, r *http.Request, _ string) {
	name := r.PathValue("name")
	route, ok := a.index().Config.Routes[name]
	if !ok {
		notFound("route", name).Write(w, "")
		return
	}
	writeJSON(w, http.StatusOK, api.RouteEntry{Name: name, Route: route})
}

func (a *API) listUpstreams(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, api.UpstreamList{Upstreams: upstreams(a.Control.Snapshot())})
}

func (a *API) getUpstream(w http.ResponseWriter, r *http.Request, _ string) {
	name := r.PathValue("name")
	for _, upstream := range upstreams(a.Control.Snapshot()) {
		if upstream.HostID == name {
			writeJSON(w, http.StatusOK, upstream)
			return
		}
	}
	notFound("upstream", name).Write(w, "")
}

// configuration returns the complete configuration with shortened key hashes.
func (a *API) configuration(w http.ResponseWriter, _ *http.Request, _ string) {
	state := a.Control.Snapshot().Config
	snapshot, err := state.Snapshot()
	if err != nil {
		refusal.FromError(err).Write(w, "")
		return
	}
	writeJSON(w, http.StatusOK, api.ConfigReport{
		Version:       state.Version,
		Offset:        state.Offset,
		Hash:          snapshot.Hash,
		Configuration: withShortHashes(state.Config),
	})
}

// withShortHashes returns c with shortened key hashes. It copies the parts that it changes,
// since the configuration is shared.
func withShortHashes(c *api.Configuration) api.Configuration {
	result := *c
	result.Workspaces = maps.Clone(c.Workspaces)
	for name, workspace := range result.Workspaces {
		workspace.KeyHashes = shortenHashes(workspace.KeyHashes)
		result.Workspaces[name] = workspace
	}
	result.Operators = maps.Clone(c.Operators)
	for name, operator := range result.Operators {
		operator.KeyHashes = shortenHashes(operator.KeyHashes)
		result.Operators[name] = operator
	}
	return result
}

func shortenHashes(hashes []string) []string {
	short := make([]string, len(hashes))
	for i, hash := range hashes {
		short[i] = hash[:min(shownHashDigits, len(hash))] + "…"
	}
	return short
}

func notFound(kind, name string) *refusal.Refusal {
	r := refusal.New(http.StatusNotFound, refusal.CodeNotFound, "%s %q does not exist", kind, name)
	r.Param = "name"
	return r
}
