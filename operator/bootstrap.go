package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/infra"
)

const (
	// bootstrapAuthor is the author of the first patch, since there is no operator yet.
	bootstrapAuthor = "bootstrap"
	// bootstrapPageSize is the number of records that one read requests.
	bootstrapPageSize = 1000
	// bootstrapRetryDelay is the wait after a failed read.
	bootstrapRetryDelay = 500 * time.Millisecond
)

// ErrTrimmed means that the log has deleted the start of the config stream, so the
// deployment has had a configuration before.
var ErrTrimmed = errors.New("the config stream does not start at offset 0: the deployment has a configuration already")

// Bootstrap writes the first configuration directly to the log, since no operator
// exists before it, and reads the log until the verdict is known. The id makes the call
// idempotent; if it is empty, a new one is generated.
func Bootstrap(ctx context.Context, log infra.Log, id string, configuration json.RawMessage) (api.PatchResult, error) {
	if id == "" {
		id = uuid.NewString()
	}
	if err := config.CheckPatch(json.RawMessage(`{}`), api.ConfigPatchFormatMerge, configuration); err != nil {
		return api.PatchResult{ID: id, Verdict: string(VerdictInvalid), Offset: -1, Reason: err.Error()}, nil //nolint:nilerr // The verdict carries the cause.
	}
	record, err := json.Marshal(api.Record{Patch: &api.ConfigPatch{
		ID:            id,
		BaseVersion:   0,
		RuleSet:       config.CurrentRuleSet,
		Format:        api.ConfigPatchFormatMerge,
		Patch:         configuration,
		Author:        bootstrapAuthor,
		PublishedAtMS: time.Now().UnixMilli(),
	}})
	if err != nil {
		return api.PatchResult{}, fmt.Errorf("encode first patch: %w", err)
	}
	_, err = log.Append(ctx, control.ConfigStream, []json.RawMessage{record})
	var failed *infra.Error
	if errors.As(err, &failed) && failed.Effect == infra.EffectNone {
		return api.PatchResult{}, err
	}
	return readVerdict(ctx, log, id)
}

// readVerdict folds the config stream from its start until it has a verdict on the patch.
func readVerdict(ctx context.Context, log infra.Log, id string) (api.PatchResult, error) {
	state := config.Empty()
	for {
		verdict, found := state.Verdict(id)
		if found {
			return api.PatchResult{
				ID: id, Verdict: string(verdict.Verdict), Offset: verdict.Offset, Version: verdict.Version, Reason: verdict.Reason,
			}, nil
		}
		page, err := log.Read(ctx, control.ConfigStream, state.Offset, bootstrapPageSize, time.Second)
		if ctx.Err() != nil {
			return unknownResult(id, ctx.Err()), nil //nolint:nilerr // The verdict carries the cause.
		}
		if err != nil {
			sleep(ctx, bootstrapRetryDelay)
			continue
		}
		if page.OldestOffset > state.Offset {
			return api.PatchResult{}, fmt.Errorf("read config stream from offset %d: %w", state.Offset, ErrTrimmed)
		}
		for _, stored := range page.Records {
			if state, err = config.Fold(state, stored); err != nil {
				return unknownResult(id, err), nil //nolint:nilerr // The verdict carries the cause.
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
