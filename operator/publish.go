package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonline/persimmonline/api"
)

// pollEvery is the time between two looks at a patch that is waited for.
const pollEvery = 250 * time.Millisecond

// Verdict is what an operator learns of a patch.
type Verdict string

// Verdicts.
const (
	// VerdictAccepted patches made a new version.
	VerdictAccepted Verdict = "accepted"
	// VerdictStale patches were against a version that is not in force.
	VerdictStale Verdict = "stale"
	// VerdictInvalid patches break a rule.
	VerdictInvalid Verdict = "invalid"
	// VerdictUnknown patches may or may not be in the log.
	VerdictUnknown Verdict = "unknown"
)

// PublishRequest is a patch as an operator gives it.
type PublishRequest struct {
	// ID makes publishing idempotent; empty takes a new one.
	ID string
	// Base is the version that the patch is against; below 0 takes the one in force.
	Base int64
	// Format is merge or json.
	Format string
	// Patch is the document.
	Patch json.RawMessage
	// Wait returns once the patch is in force everywhere.
	Wait bool
	// Timeout bounds the wait for the verdict and for the patch to be in force.
	Timeout time.Duration
}

// PublishAndWait publishes a patch and returns what became of it. The verdict is unknown,
// with the id to ask by, when the patch may be in the log; an error means that
// nothing was published.
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
		result = unknown(wire.ID, err)
	}
	return c.settle(ctx, result, request.Wait), nil
}

// complete fills in what the operator left out.
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

// settle asks until the verdict is known and, if wanted, the patch is in force
// everywhere, or until ctx ends.
func (c *Client) settle(ctx context.Context, result api.PatchResult, wait bool) api.PatchResult {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !settled(result, wait) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return result
		}
		ask := c.Patch
		if wait {
			ask = c.AwaitPatch
		}
		later, err := ask(ctx, result.ID)
		if err == nil && (Verdict(later.Verdict) != VerdictUnknown || Verdict(result.Verdict) == VerdictUnknown) {
			result = later
		}
	}
	return result
}

func settled(result api.PatchResult, wait bool) bool {
	switch Verdict(result.Verdict) {
	case VerdictUnknown:
		return false
	case VerdictAccepted:
		return result.InForce || !wait
	default:
		return true
	}
}

func unknown(id string, cause error) api.PatchResult {
	return api.PatchResult{
		ID: id, Verdict: string(VerdictUnknown), Offset: -1,
		Reason: fmt.Sprintf("a node may have published it: %v", cause),
	}
}
