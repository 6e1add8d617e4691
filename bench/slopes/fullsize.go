package main

import (
	"fmt"
	"strings"

	"github.com/persimmonline/persimmonline/api"
)

// The design size of a fleet, and the budget of one node for control traffic and work.
const (
	fullNodes             = 1100
	fullDataCentres       = 12
	fullEngines           = 12000
	fullRequestsPerSecond = 24000.0
	fullTokensPerSecond   = 11e6
	fullPatchesPerSecond  = 18000.0 / 86400
	fullChangesPerSecond  = (68 + 2300) / 86400.0
	fullWorkspaces        = 200

	budgetCPUPercent     = 1.6
	budgetMB             = 256.0
	budgetBytesPerSecond = 3000.0
)

// controlTerm is one series at full size: x is the number that affects one node.
type controlTerm struct {
	series      string
	x           float64
	description string
}

// controlTerms lists the parts of a node's control cost at full size. Of the nodes and
// engines only those of the node's own cell count.
var controlTerms = []controlTerm{
	{"nodes", float64(fullNodes) / fullDataCentres, "peers of its cell, a data centre"},
	{"engines", float64(fullEngines) / fullDataCentres, "engines of its cell"},
	{"patches_per_second", fullPatchesPerSecond, "18,000 patches a day"},
	{"workspaces", fullWorkspaces, "workspaces, with a route to each of two services"},
	{"changes_per_second", fullChangesPerSecond, "68 hosts lost and 2,300 processes restarted a day, over the whole fleet"},
}

// fullSizeTable extrapolates the slopes to full size and compares them with the budget.
func fullSizeTable(report api.SlopeReport) string {
	var b strings.Builder
	b.WriteString("Control of one node at full size, worked out from the slopes. The base, of 5 nodes,\n")
	b.WriteString("12 engines and 5 workspaces without patches, is counted once, from the series nodes.\n\n")
	b.WriteString("| part | x | CPU, % of a core | memory, MB | bytes/s |\n|---|---|---|---|---|\n")
	cpu, mb, rate := findSlope(report, "nodes", "cpu_percent").Base, findSlope(report, "nodes", "heap_mb").Base, findSlope(report, "nodes", "control_bytes_per_second").Base
	writeRow(&b, "base", "", cpu, mb, rate)
	for _, t := range controlTerms {
		c := t.x * findSlope(report, t.series, "cpu_percent").Slope
		m := t.x * findSlope(report, t.series, "heap_mb").Slope
		r := t.x * findSlope(report, t.series, "control_bytes_per_second").Slope
		writeRow(&b, t.description, fmt.Sprintf("%.3g", t.x), c, m, r)
		cpu, mb, rate = cpu+max(c, 0), mb+max(m, 0), rate+max(r, 0)
	}
	writeRow(&b, "**sum**", "", cpu, mb, rate)
	writeRow(&b, "**budget**", "", budgetCPUPercent, budgetMB, budgetBytesPerSecond)
	_, _ = fmt.Fprintf(&b, "| **verdict** | | %s | %s | %s |\n", verdict(cpu, budgetCPUPercent), verdict(mb, budgetMB), verdict(rate, budgetBytesPerSecond))
	b.WriteString("\n")
	b.WriteString(dataTable(report))
	return b.String()
}

// dataTable returns the table of the data path's processor time at full size.
func dataTable(report api.SlopeReport) string {
	perRequest := findSlope(report, "requests_per_second", "cpu_percent").Slope / percent
	perToken := findSlope(report, "tokens_per_second", "cpu_percent").Slope / percent
	requests, tokens := fullRequestsPerSecond/fullNodes, fullTokensPerSecond/fullNodes
	var b strings.Builder
	b.WriteString("Data path of one node at full size, each request at its entry; the owner's hop comes on top.\n\n")
	b.WriteString("| part | for each | a second on one node | cores |\n|---|---|---|---|\n")
	_, _ = fmt.Fprintf(&b, "| requests | %.3g ms | %.3g | %.3g |\n", 1e3*perRequest, requests, perRequest*requests)
	_, _ = fmt.Fprintf(&b, "| streamed tokens | %.3g ms | %.4g | %.3g |\n", 1e3*perToken, tokens, perToken*tokens)
	return b.String()
}

func writeRow(b *strings.Builder, part, x string, cpu, mb, rate float64) {
	_, _ = fmt.Fprintf(b, "| %s | %s | %.3g | %.3g | %.4g |\n", part, x, cpu, mb, rate)
}

func verdict(value, budget float64) string {
	if value <= budget {
		return "within"
	}
	return fmt.Sprintf("**RED: %.1f times the budget**", value/budget)
}

func findSlope(report api.SlopeReport, series, quantity string) api.Slope {
	for _, s := range report.Slopes {
		if s.Series == series && s.Quantity == quantity {
			return s
		}
	}
	return api.Slope{}
}
