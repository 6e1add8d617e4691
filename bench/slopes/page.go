package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/persimmonline/persimmonline/api"
)

// Markers between which the tables of the page are generated.
const (
	markBegin = "<!-- slopes:begin -->"
	markEnd   = "<!-- slopes:end -->"
)

// pageCommand updates the tables of the capacity page from the report.
type pageCommand struct {
	Report string `help:"File of the report." default:"docs/capacity/slopes.json"`
	Page   string `help:"Capacity page." default:"docs/CAPACITY.md"`
}

// Run implements the command.
func (c *pageCommand) Run() error {
	page, err := generatePage(c.Report, c.Page)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Page, page, 0o600); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// generatePage returns the page with its tables regenerated from the report.
func generatePage(reportFile, pageFile string) ([]byte, error) {
	raw, err := os.ReadFile(reportFile)
	if err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	var report api.SlopeReport
	if err := json.Unmarshal(raw, &report); err != nil {
		return nil, fmt.Errorf("parse report %s: %w", reportFile, err)
	}
	page, err := os.ReadFile(pageFile)
	if err != nil {
		return nil, fmt.Errorf("read page: %w", err)
	}
	head, rest, begins := bytes.Cut(page, []byte(markBegin))
	_, tail, ends := bytes.Cut(rest, []byte(markEnd))
	if !begins || !ends {
		return nil, fmt.Errorf("page %s lacks %s or %s", pageFile, markBegin, markEnd)
	}
	var out bytes.Buffer
	out.Write(head)
	out.WriteString(markBegin + "\n\n")
	out.WriteString(slopeTable(report))
	out.WriteString("\n")
	out.WriteString(fullSizeTable(report))
	out.WriteString("\n" + markEnd)
	out.Write(tail)
	return out.Bytes(), nil
}

// slopeTable lists the fitted slopes.
func slopeTable(report api.SlopeReport) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "Measured with %s on %d processors; each figure is for one node.\n\n", report.GoVersion, report.Processors)
	b.WriteString("| series (x) | quantity | at 0 | for each x | residual |\n|---|---|---|---|---|\n")
	for _, s := range report.Slopes {
		_, _ = fmt.Fprintf(&b, "| %s | %s | %.4g | %.4g | %.3g |\n", s.Series, s.Quantity, s.Base, s.Slope, s.Residual)
	}
	return b.String()
}
