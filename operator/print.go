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
	// OutputTable is a human-readable table.
	OutputTable = "table"
	// OutputJSON is indented JSON, for programs.
	OutputJSON = "json"
)

// tablePadding is the minimum number of spaces between two columns.
const tablePadding = 2

// Print writes one response of the administration API in a format.
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

// printRow writes one line of a table.
func printRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func printStatus(w io.Writer, report api.StatusReport) {
	printRow(w, "NODE", "STATE", "DATA CENTRE", "VERSION", "LOG READ", "IN FLIGHT", "CONFIGURATION", "INCARNATION")
	for _, node := range report.Nodes {
		printRow(w, node.NodeID, node.State, node.DataCentre, node.ConfigVersion, formatAge(node.ConfigAgeMS), node.InFlight,
			orDefault(node.ConfigState, "follows the log"), node.Incarnation)
	}
	printRow(w)
	states := map[string]int{}
	for _, upstream := range report.Upstreams {
		states[upstream.State]++
	}
	printRow(w, "UPSTREAMS", fmt.Sprintf("%d live, %d suspect, %d leaving", states["live"], states["suspect"], states["leaving"]))
	printUpstreams(w, report.Upstreams)
	printRow(w)
	printRow(w, "REFUSED (by "+report.Node.NodeID+")", "RAN", "COUNT")
	for _, refused := range report.Refusals {
		printRow(w, refused.Code, refused.Ran, refused.Count)
	}
}

func printWorkspaces(w io.Writer, entries []api.WorkspaceEntry) {
	printRow(w, "WORKSPACE", "WEIGHT", "REQUESTS/S", "BURST", "CONCURRENCY", "TOKENS/S", "KEYS (SHA-256)")
	for _, entry := range entries {
		workspace := entry.Workspace
		printRow(w, entry.Name, workspace.Weight, formatBound(workspace.RequestsPerSecond), workspace.Burst,
			formatBound(float64(workspace.Concurrency)), formatBound(workspace.TokensPerSecond), strings.Join(workspace.KeyHashes, ","))
	}
}

func printServices(w io.Writer, entries []api.ServiceEntry) {
	printRow(w, "SERVICE", "KIND", "MODEL VERSION", "FIRST TOKEN", "BETWEEN TOKENS", "CHECKS FENCING", "OPERATIONS")
	for _, entry := range entries {
		service := entry.Service
		printRow(w, entry.Name, service.Kind, orDefault(service.ModelVersion, "any"), formatTarget(service.FirstTokenTargetMS),
			formatTarget(service.BetweenTokensTargetMS), service.ChecksFencing, formatOperations(service.Operations))
	}
}

func formatOperations(list []api.Operation) string {
	texts := make([]string, len(list))
	for i, operation := range list {
		texts[i] = operation.Method + " " + operation.Path
		if !operation.Repeatable {
			texts[i] += " (once)"
		}
	}
	return orDefault(strings.Join(texts, ", "), "-")
}

func printRoutes(w io.Writer, entries []api.RouteEntry) {
	printRow(w, "ROUTE", "WORKSPACE", "SERVICE", "PRIORITY", "DATA CENTRES")
	for _, entry := range entries {
		route := entry.Route
		printRow(w, entry.Name, route.Workspace, route.Service, route.Priority, orDefault(strings.Join(route.DataCentres, ","), "any"))
	}
}

func printUpstreams(w io.Writer, upstreams []api.UpstreamStatus) {
	printRow(w, "UPSTREAM", "STATE", "ROLE", "SERVES", "DATA CENTRE", "CLASS", "ADDRESS", "IN FLIGHT")
	for _, upstream := range upstreams {
		printRow(w, upstream.HostID, upstream.State, upstream.Role, orDefault(upstream.Service, "-"), upstream.DataCentre,
			upstream.MachineClass, upstream.Address, upstream.InFlight)
	}
}

func printPatches(w io.Writer, results []api.PatchResult) {
	printRow(w, "PATCH", "VERDICT", "VERSION", "OFFSET", "IN FORCE", "REASON")
	for _, result := range results {
		printRow(w, result.ID, result.Verdict, result.Version, result.Offset, formatInForce(result), orDefault(result.Reason, "-"))
	}
}

func formatInForce(result api.PatchResult) string {
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

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

func formatBound(value float64) string {
	if value == 0 {
		return "no bound"
	}
	return fmt.Sprint(value)
}

func formatTarget(ms int) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", ms)
}

func orDefault(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}
