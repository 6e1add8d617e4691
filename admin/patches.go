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
	// verdictWait bounds the wait until a published patch is read back from the log.
	verdictWait = 5 * time.Second
	// maxInForceWait bounds one wait until a patch is in force everywhere; a client repeats the
	// request to wait longer.
	maxInForceWait = 4 * time.Second
	// queryWait is the query parameter that requests this wait.
	queryWait = "wait"
	// maxPatchBytes bounds the body of a published patch.
	maxPatchBytes = 4 << 20
	// verdictUnknown is the verdict until a patch has been read back from the log.
	verdictUnknown = "unknown"
	// unknownFieldPrefix is the prefix of encoding/json's error for an unknown field.
	unknownFieldPrefix = "json: unknown field "
	// maxPatchIDBytes bounds the id of a patch, in bytes.
	maxPatchIDBytes = 128
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
	if _, exists := a.Control.Snapshot().Config.Verdict(request.ID); exists {
		a.writeVerdict(w, r, request.ID)
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
	a.writeVerdict(w, r, request.ID)
}

// readPatchRequest refuses unknown fields, so that a misspelt field is not treated as an
// absent one.
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
	case len(request.ID) > maxPatchIDBytes:
		return refusal.InvalidField("id", "id has more than %d bytes", maxPatchIDBytes)
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

// writeVerdict waits for the verdict and sends it; if the wait times out, it sends unknown.
func (a *API) writeVerdict(w http.ResponseWriter, r *http.Request, id string) {
	ctx, cancel := context.WithTimeout(r.Context(), verdictWait)
	defer cancel()
	found := a.waitFor(ctx, func(s *control.Snapshot) bool {
		_, ok := s.Config.Verdict(id)
		return ok
	})
	if !found {
		writeJSON(w, http.StatusAccepted, a.result(id, nil))
		return
	}
	result := a.resultAfterWait(r, id)
	writeJSON(w, statusOf(result.Verdict), result)
}

// resultAfterWait returns the result of a patch as this node knows it; with the query wait=1
// it first probes the other nodes until all have the patch or maxInForceWait has elapsed.
func (a *API) resultAfterWait(r *http.Request, id string) api.PatchResult {
	verdict, known := a.Control.Snapshot().Config.Verdict(id)
	accepted := known && verdict.Verdict == api.PatchVerdictVerdictAccepted
	if !accepted || r.URL.Query().Get(queryWait) != "1" {
		return a.result(id, nil)
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxInForceWait)
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

// result returns the result of a patch as this node knows it.
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
	result.InForce = covered.complete()
	return result
}

func (a *API) getPatch(w http.ResponseWriter, r *http.Request, _ string) {
	writeJSON(w, http.StatusOK, a.resultAfterWait(r, r.PathValue("id")))
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
