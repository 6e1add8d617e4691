package operator

import (
	"io"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// printPlan shows what the planner wants and why.
func printPlan(w io.Writer, report api.PlanReport) {
	role := "shown only; another node may hold the planner's lease"
	if report.Acting {
		role = "this node takes the steps"
	}
	row(w, "PLAN", report.Summary)
	row(w, "ROLE", role)
	row(w)
	row(w, "HOST GROUP", "WANTED", "RUNNING", "STARTING", "LEAVING", "WHY")
	for _, group := range report.Groups {
		row(w, group.Name, group.Wanted, group.Running, group.Starting, group.Leaving, group.Reason)
	}
	row(w)
	row(w, "MODEL", "VERSION", "WANTED", "LOADED", "LOADING")
	for _, model := range report.Models {
		row(w, model.Name, orElse(model.Version, "any"), model.Wanted, model.Loaded, model.Loading)
	}
	row(w)
	row(w, "AVOIDED", "DATA CENTRE", "WHY", "REFUSED", "UNTIL")
	for _, place := range report.Places {
		row(w, place.MachineClass, place.DataCentre, place.Reason, place.Refused, at(place.UntilMS))
	}
	row(w)
	row(w, "STEP", "AT", "SUBJECT", "WHY", "RESULT")
	for _, step := range report.Steps {
		row(w, step.Kind, at(step.AtMS), step.Subject, step.Reason, step.Result)
	}
}

// at shows a time, Unix milliseconds, in UTC.
func at(unixMS int64) string { return time.UnixMilli(unixMS).UTC().Format(time.RFC3339) }
