// Package examples holds the two deployments that the demo can start.
package examples

import (
	"embed"
	"encoding/json"
	"fmt"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
)

//go:embed falaj/deployment.json bulakan/deployment.json
var files embed.FS

// Names of the deployments.
const (
	Falaj   = "falaj"
	Bulakan = "bulakan"
)

// Load returns a deployment by name, with the hashes of its keys filled in.
func Load(name string) (api.Deployment, error) {
	var deployment api.Deployment
	raw, err := files.ReadFile(name + "/deployment.json")
	if err != nil {
		return deployment, fmt.Errorf("load deployment %q: %w", name, err)
	}
	if err := json.Unmarshal(raw, &deployment); err != nil {
		return deployment, fmt.Errorf("parse deployment %q: %w", name, err)
	}
	deployment.Configuration, err = withKeys(deployment)
	if err != nil {
		return deployment, fmt.Errorf("configure deployment %q: %w", name, err)
	}
	return deployment, nil
}

// withKeys returns the deployment's configuration with the hashes of its keys filled in.
func withKeys(deployment api.Deployment) (json.RawMessage, error) {
	parsed, err := config.Parse(deployment.Configuration)
	if err != nil {
		return nil, err
	}
	for name, key := range deployment.APIKeys {
		workspace := parsed.Workspaces[name]
		workspace.KeyHashes = []string{config.HashKey(key)}
		parsed.Workspaces[name] = workspace
	}
	for name := range parsed.Operators {
		parsed.Operators[name] = api.Operator{KeyHashes: []string{config.HashKey(deployment.AdminKey)}}
	}
	return json.Marshal(parsed)
}
