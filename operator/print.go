package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// Output formats.
const (
	// OutputTable is for people.
	OutputTable = "table"
	// OutputJSON is for programs.
	OutputJSON = "json"
)

// tablePadding is the number of spaces between two columns.
const tablePadding = 2

// Print writes one answer of the administration API in a format.
func Print(w io.Writer, format string, answer any) error {
	if format == OutputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	table := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	switch answer := answer.(type) {
	case api.StatusReport:
		printStatus(table, answer)
	case api.PlanReport:
		printPlan(table, answer)
	case api.WorkspaceList:
		printWorkspaces(table, answer.Workspaces)
	case api.WorkspaceEntry:
		printWorkspaces(table, []api.WorkspaceEntry{answer})
	case api.ServiceList:
		printServices(table, answer.Services)
	case api.ServiceEntry:
		printServices(table, []api.ServiceEntry{answer})
	case api.RouteList:
		printRoutes(table, answer.Routes)
	case api.RouteEntry:
		printRoutes(table, []api.RouteEntry{answer})
	case api.UpstreamList:
		printUpstreams(table, answer.Upstreams)
	case api.UpstreamStatus:
		printUpstreams(table, []api.UpstreamStatus{answer})
	case api.PatchList:
		printPatches(table, answer.Verdicts)
	case api.PatchResult:
		printPatches(table, []api.PatchResult{answer})
	default:
		return fmt.Errorf("print %T: no table for it", answer)
	}
	return table.Flush()
}

// row writes one line of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func printStatus(w io.Writer, report api.StatusReport) {
	row(w, "NODE", "STATE", "DATA CENTRE", "VERSION", "LOG READ", "IN FLIGHT", "CONFIGURATION", "INCARNATION")
	for _, node := range report.Nodes {
		row(w, node.NodeID, node.State, node.DataCentre, node.ConfigVersion, age(node.ConfigAgeMS), node.InFlight,
			orElse(node.ConfigState, "follows the log"), node.Incarnation)
	}
	row(w)
	states := map[string]int{}
	for _, upstream := range report.Upstreams {
		states[upstream.State]++
	}
	row(w, "UPSTREAMS", fmt.Sprintf("%d live, %d suspect, %d leaving", states["live"], states["suspect"], states["leaving"]))
	printUpstreams(w, report.Upstreams)
	row(w)
	row(w, "REFUSED (by "+report.Node.NodeID+")", "RAN", "COUNT")
	for _, refused := range report.Refusals {
		row(w, refused.Code, refused.Ran, refused.Count)
	}
}

func printWorkspaces(w io.Writer, entries []api.WorkspaceEntry) {
	row(w, "WORKSPACE", "WEIGHT", "REQUESTS/S", "BURST", "CONCURRENCY", "TOKENS/S", "KEYS (SHA-256)")
	for _, entry := range entries {
		workspace := entry.Workspace
		row(w, entry.Name, workspace.Weight, bound(workspace.RequestsPerSecond), workspace.Burst,
			bound(float64(workspace.Concurrency)), bound(workspace.TokensPerSecond), strings.Join(workspace.KeyHashes, ","))
	}
}

func printServices(w io.Writer, entries []api.ServiceEntry) {
	row(w, "SERVICE", "KIND", "MODEL VERSION", "FIRST TOKEN", "BETWEEN TOKENS", "CHECKS FENCING", "OPERATIONS")
	for _, entry := range entries {
		service := entry.Service
		row(w, entry.Name, service.Kind, orElse(service.ModelVersion, "any"), target(service.FirstTokenTargetMS),
			target(service.BetweenTokensTargetMS), service.ChecksFencing, operations(service.Operations))
	}
}

func operations(list []api.Operation) string {
	texts := make([]string, len(list))
	for i, operation := range list {
		texts[i] = operation.Method + " " + operation.Path
		if !operation.Repeatable {
			texts[i] += " (once)"
		}
	}
	return orElse(strings.Join(texts, ", "), "-")
}

func printRoutes(w io.Writer, entries []api.RouteEntry) {
	row(w, "ROUTE", "WORKSPACE", "SERVICE", "PRIORITY", "DATA CENTRES")
	for _, entry := range entries {
		route := entry.Route
		row(w, entry.Name, route.Workspace, route.Service, route.Priority, orElse(strings.Join(route.DataCentres, ","), "any"))
	}
}

func printUpstreams(w io.Writer, upstreams []api.UpstreamStatus) {
	row(w, "UPSTREAM", "STATE", "ROLE", "SERVES", "DATA CENTRE", "CLASS", "ADDRESS", "IN FLIGHT")
	for _, upstream := range upstreams {
		row(w, upstream.HostID, upstream.State, upstream.Role, orElse(upstream.Service, "-"), upstream.DataCentre,
			upstream.MachineClass, upstream.Address, upstream.InFlight)
	}
}

func printPatches(w io.Writer, results []api.PatchResult) {
	row(w, "PATCH", "VERDICT", "VERSION", "OFFSET", "IN FORCE", "REASON")
	for _, result := range results {
		row(w, result.ID, result.Verdict, result.Version, result.Offset, inForce(result), orElse(result.Reason, "-"))
	}
}

func inForce(result api.PatchResult) string {
	switch {
	case Verdict(result.Verdict) != VerdictAccepted:
		return "-"
	case result.InForce:
		return "everywhere"
	case len(result.Silent) > 0:
		return "not at " + strings.Join(result.WaitingFor, ",") + " (silent: " + strings.Join(result.Silent, ",") + ")"
	case len(result.WaitingFor) > 0:
		return "not at " + strings.Join(result.WaitingFor, ",")
	default:
		return "not asked"
	}
}

func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

func bound(value float64) string {
	if value == 0 {
		return "no bound"
	}
	return fmt.Sprint(value)
}

func target(ms int) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", ms)
}

func orElse(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}
