package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/persimmonline/persimmonline/api"
)

// Index serves the lookups of the request path on one version. It is immutable.
type Index struct {
	// Version of the configuration.
	Version int64
	// Config is the full configuration.
	Config *api.Configuration

	workspaceByHash map[string]string
	operatorByHash  map[string]string
	routes          map[routeKey]api.Route
}

type routeKey struct {
	workspace, service string
}

// NewIndex returns the index of a state; nil if the state has no configuration.
func NewIndex(s *State) *Index {
	if s.Config == nil {
		return nil
	}
	index := &Index{
		Version:         s.Version,
		Config:          s.Config,
		workspaceByHash: map[string]string{},
		operatorByHash:  map[string]string{},
		routes:          map[routeKey]api.Route{},
	}
	for name, workspace := range s.Config.Workspaces {
		for _, hash := range workspace.KeyHashes {
			index.workspaceByHash[hash] = name
		}
	}
	for name, operator := range s.Config.Operators {
		for _, hash := range operator.KeyHashes {
			index.operatorByHash[hash] = name
		}
	}
	for _, route := range s.Config.Routes {
		index.routes[routeKey{route.Workspace, route.Service}] = route
	}
	return index
}

// HashKey returns the hash under which a key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceOf returns the workspace of a caller's key.
func (i *Index) WorkspaceOf(key string) (string, bool) { return ownerOf(i.workspaceByHash, key) }

// OperatorOf returns the operator of a key.
func (i *Index) OperatorOf(key string) (string, bool) { return ownerOf(i.operatorByHash, key) }

// ownerOf looks up the hash of a key. The key itself is never compared, so that timing
// reveals nothing but the hash of a guessed key.
func ownerOf(ownerByHash map[string]string, key string) (string, bool) {
	if key == "" {
		return "", false
	}
	hash := HashKey(key)
	owner, ok := ownerByHash[hash]
	return owner, ok
}

// Route returns the route from a workspace to a service.
func (i *Index) Route(workspace, service string) (api.Route, bool) {
	route, ok := i.routes[routeKey{workspace, service}]
	return route, ok
}

// Service returns a service by name.
func (i *Index) Service(name string) (api.Service, bool) {
	service, ok := i.Config.Services[name]
	return service, ok
}

// Models returns the names of the model services that a workspace has a route to, sorted.
func (i *Index) Models(workspace string) []string {
	var names []string
	for key := range i.routes {
		if key.workspace == workspace && i.Config.Services[key.service].Kind == api.ServiceKindModel {
			names = append(names, key.service)
		}
	}
	slices.Sort(names)
	return names
}

// OperationOf returns the operation that describes a call of a plain service. A call that
// matches no operation must not be repeated, unless its method is safe as defined by HTTP.
func OperationOf(service api.Service, method, path string) api.Operation {
	for _, operation := range service.Operations {
		if matches(operation, method, path) {
			return operation
		}
	}
	safe := method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	return api.Operation{Method: method, Path: path, Repeatable: safe}
}

func matches(operation api.Operation, method, path string) bool {
	if operation.Method != "*" && !strings.EqualFold(operation.Method, method) {
		return false
	}
	prefix, wildcard := strings.CutSuffix(operation.Path, "*")
	if wildcard {
		return strings.HasPrefix(path, prefix)
	}
	return operation.Path == path
}
