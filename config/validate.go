package config

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"

	"github.com/persimmonline/persimmonline/api"
)

// maxPriority is the lowest priority; 0 is the highest.
const maxPriority = 9

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// FieldError describes one invalid field of a configuration.
type FieldError struct {
	// Field is the path of the field, separated by dots.
	Field string
	// Message explains what is wrong.
	Message string
}

// Error implements error.
func (f *FieldError) Error() string { return f.Field + ": " + f.Message }

// Validate checks the values of a configuration and returns all errors, joined in a fixed
// order. It is part of every rule set.
func Validate(c *api.Configuration) error {
	v := &validator{}
	v.deployment(c)
	v.workspaces(c)
	v.services(c)
	v.routes(c)
	v.machineClasses(c)
	v.operators(c)
	v.policy(c)
	v.hostGroups(c)
	return errors.Join(v.errs...)
}

// validateParts checks the given parts of a configuration whose other parts are known to be
// valid. It is not ok if a part is invalid, or if parts depend on each other so that
// Validate must check all of them.
func validateParts(before, c *api.Configuration, parts []partRef) (ok bool) {
	v := &validator{}
	for _, ref := range parts {
		if !v.part(before, c, ref) {
			return false
		}
	}
	return len(v.errs) == 0
}

func (v *validator) part(before, c *api.Configuration, ref partRef) bool {
	switch ref.field {
	case fieldDeployment:
		v.deployment(c)
	case fieldPolicy:
		v.policy(c)
	case fieldWorkspaces:
		workspace, has := c.Workspaces[ref.name]
		v.workspace(ref.name, workspace)
		return has && slices.Equal(workspace.KeyHashes, before.Workspaces[ref.name].KeyHashes)
	case fieldServices:
		service, has := c.Services[ref.name]
		v.service(ref.name, service)
		return has && service.Kind == before.Services[ref.name].Kind
	case fieldRoutes:
		route, has := c.Routes[ref.name]
		v.priority("routes."+ref.name+".priority", route.Priority)
		old, had := before.Routes[ref.name]
		return has && had && route.Workspace == old.Workspace && route.Service == old.Service
	case fieldMachineClasses:
		class, has := c.MachineClasses[ref.name]
		v.machineClass(ref.name, class)
		return has
	case fieldOperators:
		operator, has := c.Operators[ref.name]
		v.operator(ref.name, operator)
		return has
	case fieldHostGroups, fieldDataCentres:
		return false
	}
	return true
}

type validator struct {
	errs []error
}

func (v *validator) check(ok bool, field, message string) {
	if !ok {
		v.errs = append(v.errs, &FieldError{Field: field, Message: message})
	}
}

func (v *validator) name(field, name string) {
	v.check(namePattern.MatchString(name), field, "must be a name of lower-case letters, digits, dots and dashes")
}

func (v *validator) hashes(field string, hashes []string) {
	for i, hash := range hashes {
		v.check(hashPattern.MatchString(hash), fmt.Sprintf("%s.%d", field, i), "must be a SHA-256 hash in lower-case hex")
	}
}

func (v *validator) deployment(c *api.Configuration) {
	v.check(namePattern.MatchString(c.Deployment), "deployment", "must be a name of lower-case letters, digits, dots and dashes")
}

func (v *validator) policy(c *api.Configuration) {
	v.check(c.Policy.LatencyWeight >= 0, "policy.latency_weight", "must not be negative")
	v.check(c.Policy.CostWeight >= 0, "policy.cost_weight", "must not be negative")
	v.check(c.Policy.RetryRatio >= 0 && c.Policy.RetryRatio <= 1, "policy.retry_ratio", "must be between 0 and 1")
}

func (v *validator) workspace(name string, workspace api.Workspace) {
	field := "workspaces." + name
	v.name(field, name)
	v.hashes(field+".key_hashes", workspace.KeyHashes)
	v.check(workspace.Weight > 0, field+".weight", "must be above 0")
	v.check(workspace.RequestsPerSecond >= 0, field+".requests_per_second", "must not be negative")
	v.check(workspace.Burst >= 0, field+".burst", "must not be negative")
	v.check(workspace.Concurrency >= 0, field+".concurrency", "must not be negative")
	v.check(workspace.TokensPerSecond >= 0, field+".tokens_per_second", "must not be negative")
}

func (v *validator) workspaces(c *api.Configuration) {
	ownerByHash := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Workspaces)) {
		workspace := c.Workspaces[name]
		field := "workspaces." + name
		v.workspace(name, workspace)
		for _, hash := range workspace.KeyHashes {
			v.check(ownerByHash[hash] == "", field+".key_hashes", "has a key that workspace "+ownerByHash[hash]+" has too")
			ownerByHash[hash] = name
		}
	}
}

func (v *validator) services(c *api.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		v.service(name, c.Services[name])
	}
}

func (v *validator) service(name string, service api.Service) {
	field := "services." + name
	v.name(field, name)
	validKind := service.Kind == api.ServiceKindModel || service.Kind == api.ServiceKindPlain
	v.check(validKind, field+".kind", "must be model or plain")
	v.check(service.FirstTokenTargetMS >= 0, field+".first_token_target_ms", "must not be negative")
	v.check(service.BetweenTokensTargetMS >= 0, field+".between_tokens_target_ms", "must not be negative")
	v.check(service.Replicas >= 0, field+".replicas", "must not be negative")
	for i, operation := range service.Operations {
		at := fmt.Sprintf("%s.operations.%d", field, i)
		v.check(operation.Method != "", at+".method", "must not be empty")
		v.check(operation.Path != "", at+".path", "must not be empty")
		v.check(operation.TimeoutMS >= 0, at+".timeout_ms", "must not be negative")
		v.check(!operation.Hedge || operation.Repeatable, at+".hedge", "needs a repeatable operation")
		v.priority(at+".priority", operation.Priority)
	}
}

func (v *validator) priority(field string, priority int) {
	v.check(priority >= 0 && priority <= maxPriority, field, "must be between 0 and 9")
}

func (v *validator) routes(c *api.Configuration) {
	routeByPair := map[[2]string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		route := c.Routes[name]
		field := "routes." + name
		v.name(field, name)
		_, hasWorkspace := c.Workspaces[route.Workspace]
		v.check(hasWorkspace, field+".workspace", fmt.Sprintf("workspace %q does not exist", route.Workspace))
		_, hasService := c.Services[route.Service]
		v.check(hasService, field+".service", fmt.Sprintf("service %q does not exist", route.Service))
		v.priority(field+".priority", route.Priority)
		key := [2]string{route.Workspace, route.Service}
		v.check(routeByPair[key] == "", field, "joins the same workspace and service as route "+routeByPair[key])
		routeByPair[key] = name
	}
}

func (v *validator) machineClasses(c *api.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(c.MachineClasses)) {
		v.machineClass(name, c.MachineClasses[name])
	}
}

func (v *validator) machineClass(name string, class api.MachineClass) {
	field := "machine_classes." + name
	v.name(field, name)
	v.check(class.PricePerHour >= 0, field+".price_per_hour", "must not be negative")
	v.check(class.ReclaimsPerHour >= 0, field+".reclaims_per_hour", "must not be negative")
}

func (v *validator) operators(c *api.Configuration) {
	v.check(len(c.Operators) > 0, "operators", "must not be empty: nobody could publish the next patch")
	for _, name := range slices.Sorted(maps.Keys(c.Operators)) {
		v.operator(name, c.Operators[name])
	}
}

func (v *validator) operator(name string, operator api.Operator) {
	field := "operators." + name
	v.name(field, name)
	v.hashes(field+".key_hashes", operator.KeyHashes)
}
