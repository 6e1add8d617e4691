package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonline/persimmonline/api"
)

// pollInterval is the interval at which the state of a published patch is polled.
const pollInterval = 250 * time.Millisecond

// Verdict is the verdict on a patch as an operator sees it.
type Verdict string

// Verdicts.
const (
	// VerdictAccepted means that the patch created a new version.
	VerdictAccepted Verdict = "accepted"
	// VerdictStale means that the patch was based on a version that is not in force.
	VerdictStale Verdict = "stale"
	// VerdictInvalid means that the patch violates a rule.
	VerdictInvalid Verdict = "invalid"
	// VerdictUnknown means that the patch may or may not be in the log.
	VerdictUnknown Verdict = "unknown"
)

// PublishRequest is a patch as an operator submits it.
type PublishRequest struct {
	// ID makes publishing idempotent; if it is empty, a new one is generated.
	ID string
	// Base is the version that the patch is based on; below 0 means the one in force.
	Base int64
	// Format is merge or json.
	Format string
	// Patch is the document.
	Patch json.RawMessage
	// Wait delays the return until the patch is in force everywhere.
	Wait bool
	// Timeout bounds the wait for the verdict and for the patch to be in force.
	Timeout time.Duration
}

// PublishAndWait publishes a patch and returns its result. If the patch may or may not be
// in the log, the verdict is unknown and the result holds the id to query by; an error
// means that nothing was published.
func (c *Client) PublishAndWait(ctx context.Context, request PublishRequest) (api.PatchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	wire, err := c.complete(ctx, request)
	if err != nil {
		return api.PatchResult{}, err
	}
	result, sent, err := c.Publish(ctx, wire)
	if err != nil && !sent {
		return api.PatchResult{}, err
	}
	if err != nil {
		result = unknownResult(wire.ID, err)
	}
	return c.awaitResult(ctx, result, request.Wait), nil
}

// complete fills in the id and the base version if the operator omitted them.
func (c *Client) complete(ctx context.Context, request PublishRequest) (api.PatchRequest, error) {
	wire := api.PatchRequest{ID: request.ID, BaseVersion: request.Base, Format: request.Format, Patch: request.Patch}
	if !json.Valid(request.Patch) {
		return wire, fmt.Errorf("patch: the document is not JSON")
	}
	if wire.ID == "" {
		wire.ID = uuid.NewString()
	}
	if request.Base >= 0 {
		return wire, nil
	}
	workspaces, err := c.Workspaces(ctx)
	if err != nil {
		return wire, fmt.Errorf("read version in force: %w", err)
	}
	wire.BaseVersion = workspaces.Version
	return wire, nil
}

// awaitResult polls until the verdict is known and, if wait is set, the patch is in force
// everywhere, or until ctx ends.
func (c *Client) awaitResult(ctx context.Context, result api.PatchResult, wait bool) api.PatchResult {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !isFinal(result, wait) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return result
		}
		fetch := c.Patch
		if wait {
			fetch = c.AwaitPatch
		}
		next, err := fetch(ctx, result.ID)
		if err == nil && (Verdict(next.Verdict) != VerdictUnknown || Verdict(result.Verdict) == VerdictUnknown) {
			result = next
		}
	}
	return result
}

func isFinal(result api.PatchResult, wait bool) bool {
	switch Verdict(result.Verdict) {
	case VerdictUnknown:
		return false
	case VerdictAccepted:
		return result.InForce || !wait
	default:
		return true
	}
}

func unknownResult(id string, cause error) api.PatchResult {
	return api.PatchResult{
		ID: id, Verdict: string(VerdictUnknown), Offset: -1,
		Reason: fmt.Sprintf("a node may have published it: %v", cause),
	}
}
