package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/persimmonline/persimmonline/serving"
)

// newTable returns a table and what writes a named line of it.
func newTable(out io.Writer) (table *tabwriter.Writer, line func(name, format string, args ...any)) {
	table = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	return table, func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
}

// printExplanation prints an explanation for people.
func printExplanation(out io.Writer, e *serving.Explanation) error {
	table, line := newTable(out)
	line("route", "%s, %s, target %.0f ms, at most %d attempts", e.Route.Name, e.Route.Kind, e.Route.LatencyTargetMS, e.Route.MaxAttempts)
	line("service", "%s of %s", e.Route.Service, weights(e.Route.Weights))
	line("workspace", "%s, rank %d", cmp.Or(e.Admission.Workspace, "none"), e.Admission.Priority)
	if e.Admission.QuotaLeft != nil {
		line("quota left", "%.0f, the request costs %.0f", *e.Admission.QuotaLeft, e.Admission.QuotaCost)
	}
	line("retries left", "%.1f", e.Admission.RetriesLeft)
	line("admitted", "%s", cmp.Or(e.Admission.Refused, "yes"))
	if q := e.Admission.Queue; q != nil {
		line("queue", "%s, rank %d, %d ahead of it, %d wait and %d run here, about %.0f ms", q.Verdict, q.Rank, q.Ahead, q.Waiting, q.Running, q.ExpectedMS)
	}
	line("known since", "configuration %d, decided on a view of %.0f ms, registry read %.0f ms ago", e.ConfigVersion, e.ViewAgeMS, e.RegistryAgeMS)
	line("choice", "%s", cmp.Or(e.Choice, e.Error))
	line("fallback", "%s", cmp.Or(e.Fallback, "none"))
	line("hedge", "%s", hedgeText(e.Hedge))
	_, _ = fmt.Fprint(table, "\nupstream\tdata centre\tprice\tprices\tqueue ms\tprefill ms\tcached\tin flight\twaiting\tload age ms\tremoved\n")
	for _, c := range e.Candidates {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.4f\t%s\t%.0f\t%.0f\t%d\t%d\t%d\t%s\t%s\n", c.Upstream, c.DataCentre, c.Price, prices(c.Prices),
			c.QueueMS, c.PrefillMS, c.CachedTokens, c.InFlight, c.Waiting, age(c.LoadAgeMS), removed(c))
	}
	return table.Flush()
}

// printRecent prints what was decided about a request for people.
func printRecent(out io.Writer, e *serving.RecentExplanation) error {
	table, line := newTable(out)
	line("request", "%s, %.0f s ago, took %.0f ms", e.ID, e.AgeMS/1000, e.TookMS)
	line("route", "%s, service %s, workspace %s", cmp.Or(e.Route, "none"), cmp.Or(e.Service, "none"), cmp.Or(e.Workspace, "none"))
	line("tokens", "%d, of which %d shared", e.PromptTokens, e.SharedTokens)
	line("known since", "configuration %d, decided on a view of %.0f ms", e.ConfigVersion, e.ViewAgeMS)
	line("result", "%s", strings.TrimSpace(fmt.Sprintf("%s, status %d %s", e.Result, e.Status, e.Refused)))
	line("waited", "%.0f ms, first byte after %s ms", e.WaitedMS, age(e.FirstByteMS))
	line("retry denied", "%t", e.RetryDenied)
	line("hedge denied", "%s", cmp.Or(e.HedgeDenied, "no"))
	_, _ = fmt.Fprint(table, "\nupstream\tversion\toutcome\tprice\tqueue ms\tcached\tfetched\ttook ms\terror\n")
	for _, a := range e.Attempts {
		outcome := a.Outcome
		if a.Hedge {
			outcome += " (hedge)"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.4f\t%.0f\t%d\t%d\t%.0f\t%s\n", a.Upstream, cmp.Or(a.Version, "-"), outcome, a.Price,
			a.QueueMS, a.CachedTokens, a.FetchTokens, a.TookMS, cmp.Or(a.Error, "-"))
	}
	return table.Flush()
}

func weights(byService map[string]int) string {
	var texts []string
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		texts = append(texts, fmt.Sprintf("%s (weight %d)", service, byService[service]))
	}
	return strings.Join(texts, ", ")
}

// prices lists the parts of a price that are not zero.
func prices(byScorer map[string]float64) string {
	var texts []string
	for _, scorer := range slices.Sorted(maps.Keys(byScorer)) {
		if price := byScorer[scorer]; price != 0 {
			texts = append(texts, fmt.Sprintf("%s %.4f", scorer, price))
		}
	}
	return cmp.Or(strings.Join(texts, " "), "-")
}

func age(ms *float64) string {
	if ms == nil {
		return "-"
	}
	return fmt.Sprintf("%.0f", *ms)
}

func removed(c serving.CandidateExplanation) string {
	if c.Removed == "" && c.LastResort {
		return "(last resort)"
	}
	return cmp.Or(c.Removed, "-")
}

func hedgeText(h serving.HedgeExplanation) string {
	switch {
	case h.AfterMS == nil:
		return "no: " + h.Denied
	case h.Denied != "":
		return fmt.Sprintf("considered after %.0f ms; now it would be denied: %s", *h.AfterMS, h.Denied)
	}
	return fmt.Sprintf("after %.0f ms", *h.AfterMS)
}
