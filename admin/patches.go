package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/refusal"
)

const (
	// verdictWait bounds the wait for the log to show a published patch.
	verdictWait = 5 * time.Second
	// maxWait bounds one wait until a patch is in force everywhere; ask again for more.
	maxWait = 4 * time.Second
	// queryWait is the query parameter that asks for that wait.
	queryWait = "wait"
	// maxPatchBytes bounds the body of a published patch.
	maxPatchBytes = 4 << 20
	// verdictUnknown is what is said while the log has not shown a patch.
	verdictUnknown = "unknown"
	// unknownFieldPrefix starts encoding/json's error on a field that a type does not have.
	unknownFieldPrefix = "json: unknown field "
	// maxPatchID bounds the id of a patch, in bytes.
	maxPatchID = 128
)

// publish appends a patch to the log and answers with its verdict. The query
// wait=1 waits until it is in force everywhere.
func (a *API) publish(w http.ResponseWriter, r *http.Request, operator string) {
	request, refused := readPatchRequest(http.MaxBytesReader(w, r.Body, maxPatchBytes))
	if refused != nil {
		refused.Write(w, "")
		return
	}
	if refused := checkPatch(request); refused != nil {
		refused.Write(w, "")
		return
	}
	if _, known := a.Control.Snapshot().Config.Verdict(request.ID); known {
		a.answer(w, r, request.ID)
		return
	}
	if err := a.append(r.Context(), request, operator); err != nil {
		refused := refusal.New(http.StatusServiceUnavailable, refusal.CodeLogUnavailable,
			"the patch is not in the log; publish it again with the same id").WithCause("append patch", "log", err)
		var failed *infra.Error
		if errors.As(err, &failed) && failed.Effect == infra.EffectNone {
			refused.Write(w, "")
			return
		}
	}
	a.answer(w, r, request.ID)
}

// readPatchRequest refuses fields that the request does not have, so that a typing
// error is not taken for an absent field.
func readPatchRequest(body io.Reader) (api.PatchRequest, *refusal.Refusal) {
	var request api.PatchRequest
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&request)
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return request, nil
	case errors.As(err, &tooLarge):
		return request, refusal.New(http.StatusRequestEntityTooLarge, refusal.CodeBodyTooLarge,
			"the body is larger than %d bytes", tooLarge.Limit)
	case errors.As(err, &wrongType):
		return request, refusal.InvalidField(wrongType.Field, "%s must not be a %s", wrongType.Field, wrongType.Value)
	}
	if name, unknown := strings.CutPrefix(err.Error(), unknownFieldPrefix); unknown {
		name = strings.Trim(name, `"`)
		return request, refusal.InvalidField(name, "%s is not a field of a patch request", name)
	}
	return request, refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "the body can't be read: %v", err)
}

func checkPatch(request api.PatchRequest) *refusal.Refusal {
	switch {
	case request.ID == "":
		return refusal.InvalidField("id", "id is missing")
	case len(request.ID) > maxPatchID:
		return refusal.InvalidField("id", "id has more than %d bytes", maxPatchID)
	case request.Format != string(api.ConfigPatchFormatMerge) && request.Format != string(api.ConfigPatchFormatJSON):
		return refusal.InvalidField("format", "format %q is not merge or json", request.Format)
	case len(request.Patch) == 0:
		return refusal.InvalidField("patch", "patch is missing")
	case request.BaseVersion < 0:
		return refusal.InvalidField("base_version", "base_version must not be negative")
	}
	return nil
}

func (a *API) append(ctx context.Context, request api.PatchRequest, operator string) error {
	record, err := json.Marshal(api.Record{Patch: &api.ConfigPatch{
		ID:            request.ID,
		BaseVersion:   request.BaseVersion,
		RuleSet:       config.CurrentRuleSet,
		Format:        api.ConfigPatchFormat(request.Format),
		Patch:         request.Patch,
		Author:        operator,
		PublishedAtMS: time.Now().UnixMilli(),
	}})
	if err != nil {
		return err
	}
	_, err = a.Log.Append(ctx, control.ConfigStream, []json.RawMessage{record})
	return err
}

// answer waits for the verdict and sends it; without one the answer is unknown.
func (a *API) answer(w http.ResponseWriter, r *http.Request, id string) {
	ctx, cancel := context.WithTimeout(r.Context(), verdictWait)
	defer cancel()
	known := a.waitFor(ctx, func(s *control.Snapshot) bool {
		_, ok := s.Config.Verdict(id)
		return ok
	})
	if !known {
		writeJSON(w, http.StatusAccepted, a.result(id, nil))
		return
	}
	result := a.waitedResult(r, id)
	writeJSON(w, statusOf(result.Verdict), result)
}

// waitedResult is what this node knows of a patch; with the query wait=1 it asks the
// other nodes first, until all have the patch or the wait ends.
func (a *API) waitedResult(r *http.Request, id string) api.PatchResult {
	verdict, known := a.Control.Snapshot().Config.Verdict(id)
	accepted := known && verdict.Verdict == api.PatchVerdictVerdictAccepted
	if !accepted || r.URL.Query().Get(queryWait) != "1" {
		return a.result(id, nil)
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxWait)
	defer cancel()
	confirmed := a.waitInForce(ctx, verdict.Offset)
	return a.result(id, confirmed)
}

func statusOf(verdict string) int {
	switch verdict {
	case string(api.PatchVerdictVerdictStale):
		return http.StatusConflict
	case string(api.PatchVerdictVerdictInvalid):
		return http.StatusUnprocessableEntity
	case verdictUnknown:
		return http.StatusAccepted
	default:
		return http.StatusOK
	}
}

// result is what this node knows of a patch.
func (a *API) result(id string, confirmed map[string]bool) api.PatchResult {
	snapshot := a.Control.Snapshot()
	verdict, ok := snapshot.Config.Verdict(id)
	if !ok {
		return api.PatchResult{
			ID: id, Verdict: verdictUnknown, Offset: -1, Version: snapshot.Config.Version,
			Reason:   "the log has not shown this patch to this node; ask again, or publish it again with the same id",
			AskAgain: "/admin/v1/patches/" + url.PathEscape(id),
		}
	}
	return a.resultOf(snapshot, verdict, confirmed)
}

func (a *API) resultOf(snapshot *control.Snapshot, verdict api.PatchVerdict, confirmed map[string]bool) api.PatchResult {
	result := api.PatchResult{
		ID:      verdict.ID,
		Verdict: string(verdict.Verdict),
		Offset:  verdict.Offset,
		Version: verdict.Version,
		Reason:  verdict.Reason,
	}
	if verdict.Verdict != api.PatchVerdictVerdictAccepted {
		return result
	}
	covered := coverageOf(snapshot, a.OwnHeartbeat(), verdict.Offset, time.Now(), confirmed)
	result.Silent = slices.Sorted(maps.Values(covered.silent))
	result.WaitingFor = slices.Concat(slices.Sorted(maps.Values(covered.waiting)), result.Silent)
	result.InForce = covered.everywhere()
	return result
}

func (a *API) getPatch(w http.ResponseWriter, r *http.Request, _ string) {
	writeJSON(w, http.StatusOK, a.waitedResult(r, r.PathValue("id")))
}

func (a *API) listPatches(w http.ResponseWriter, _ *http.Request, _ string) {
	snapshot := a.Control.Snapshot()
	state := snapshot.Config
	list := api.PatchList{Version: state.Version, Verdicts: []api.PatchResult{}}
	for _, verdict := range state.Verdicts() {
		list.Verdicts = append(list.Verdicts, a.resultOf(snapshot, verdict, nil))
	}
	writeJSON(w, http.StatusOK, list)
}
