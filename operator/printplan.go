package operator

import (
	"io"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// printPlan prints the planner's targets and steps with their reasons.
func printPlan(w io.Writer, report api.PlanReport) {
	role := "shown only; another node may hold the planner's lease"
	if report.Acting {
		role = "this node takes the steps"
	}
	printRow(w, "PLAN", report.Summary)
	printRow(w, "ROLE", role)
	printRow(w)
	printRow(w, "HOST GROUP", "WANTED", "RUNNING", "STARTING", "LEAVING", "WHY")
	for _, group := range report.Groups {
		printRow(w, group.Name, group.Wanted, group.Running, group.Starting, group.Leaving, group.Reason)
	}
	printRow(w)
	printRow(w, "MODEL", "VERSION", "WANTED", "LOADED", "LOADING")
	for _, model := range report.Models {
		printRow(w, model.Name, orDefault(model.Version, "any"), model.Wanted, model.Loaded, model.Loading)
	}
	printRow(w)
	printRow(w, "AVOIDED", "DATA CENTRE", "WHY", "REFUSED", "UNTIL")
	for _, place := range report.Places {
		printRow(w, place.MachineClass, place.DataCentre, place.Reason, place.Refused, formatTime(place.UntilMS))
	}
	printRow(w)
	printRow(w, "STEP", "AT", "SUBJECT", "WHY", "RESULT")
	for _, step := range report.Steps {
		printRow(w, step.Kind, formatTime(step.AtMS), step.Subject, step.Reason, step.Result)
	}
}

// formatTime formats a time in Unix milliseconds as RFC 3339 in UTC.
func formatTime(unixMS int64) string { return time.UnixMilli(unixMS).UTC().Format(time.RFC3339) }
