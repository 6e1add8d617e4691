package demo

import (
	"maps"
	"slices"

	dto "github.com/prometheus/client_model/go"

	"github.com/persimmonline/persimmonline/api"
)

// Report is the line that the demo prints at its end.
type Report struct {
	// Accepted requests.
	Accepted int64 `json:"accepted"`
	// Answered requests, with a complete answer.
	Answered int64 `json:"answered_whole"`
	// Refused requests by "code/ran".
	Refused map[string]int64 `json:"refused"`
	// RanTwice counts operations of plain services that ran more than once.
	RanTwice int `json:"ran_twice"`
	// RecomputedTokens counts tokens that were computed more than once.
	RecomputedTokens int64 `json:"recomputed_tokens"`
	// Cost of attempts, in the deployment's currency.
	Cost float64 `json:"cost"`
	// StartedHosts counts hosts started for the planner, RefusedStarts the refused requests.
	StartedHosts  int `json:"started_hosts"`
	RefusedStarts int `json:"refused_starts"`
	// Load holds the results of --load.
	Load LoadReport `json:"load"`
}

// Names of the metrics that the report aggregates.
const (
	metricRequests   = "persimmonline_requests_total"
	metricRefusals   = "persimmonline_refusals_total"
	metricRecomputed = "persimmonline_recomputed_tokens_total"
	metricCost       = "persimmonline_cost_total"
)

// Report aggregates the metrics of all nodes.
func (c *Cluster) Report() Report {
	report := Report{
		Refused:       map[string]int64{},
		RanTwice:      c.Standins.Ledger.DuplicatedOperations(),
		StartedHosts:  c.Standins.Cloud.Started(),
		RefusedStarts: c.Standins.Cloud.RefusedStarts(),
		Load:          c.tally.snapshot(c.Standins.Ledger),
	}
	for _, n := range c.Nodes {
		families, err := n.Metrics().Registry().Gather()
		if err != nil {
			continue
		}
		for _, family := range families {
			report.add(family)
		}
	}
	return report
}

func (r *Report) add(family *dto.MetricFamily) {
	for _, metric := range family.GetMetric() {
		value := metric.GetCounter().GetValue()
		switch family.GetName() {
		case metricRequests:
			r.Accepted += int64(value)
			if label(metric, "result") == "answered" {
				r.Answered += int64(value)
			}
		case metricRefusals:
			r.Refused[label(metric, "code")+"/"+label(metric, "ran")] += int64(value)
		case metricRecomputed:
			r.RecomputedTokens += int64(value)
		case metricCost:
			r.Cost += value
		}
	}
}

func label(metric *dto.Metric, name string) string {
	for _, pair := range metric.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}

// servicesByKind returns the names of the model services and of the plain services.
func servicesByKind(parsed *api.Configuration) (models, services []string) {
	for _, name := range slices.Sorted(maps.Keys(parsed.Services)) {
		if parsed.Services[name].Kind == api.ServiceKindModel {
			models = append(models, name)
			continue
		}
		services = append(services, name)
	}
	return models, services
}
