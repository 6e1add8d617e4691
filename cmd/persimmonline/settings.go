package main

import (
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/persimmonline/persimmonline/api"
)

// Markers of the generated part of docs/operators/settings.md.
const (
	tableStartMarker = "<!-- settings: start -->"
	tableEndMarker   = "<!-- settings: end -->"
)

// settingsCommand prints the table of the node's settings.
type settingsCommand struct{}

// Run implements the command.
func (settingsCommand) Run(s *streams) error {
	table, err := settingsTable()
	if err != nil {
		return err
	}
	_, err = io.WriteString(s.out, table)
	return err
}

// settingsTable returns the node's settings as a Markdown table, from the type that is
// generated from schema/settings.yaml.
func settingsTable() (string, error) {
	var settings struct{ api.Settings }
	parser, err := kong.New(&settings)
	if err != nil {
		return "", fmt.Errorf("read settings: %w", err)
	}
	var table strings.Builder
	table.WriteString("| flag | environment | default | meaning |\n|---|---|---|---|\n")
	for _, flag := range parser.Model.Flags {
		if flag.Name == "help" {
			continue
		}
		value := "`" + flag.Default + "`"
		switch {
		case flag.Required:
			value = "required"
		case !flag.HasDefault:
			value = "empty"
		}
		help := flag.Help
		if flag.Enum != "" {
			help += " One of " + strings.ReplaceAll(flag.Enum, ",", ", ") + "."
		}
		_, _ = fmt.Fprintf(&table, "| `--%s` (%s) | `%s` | %s | %s |\n",
			flag.Name, kindOf(flag.Target), strings.Join(flag.Envs, ", "), value, help)
	}
	return table.String(), nil
}

// kindOf returns the documented name of a value's type.
func kindOf(target reflect.Value) string {
	switch {
	case target.Type().String() == "time.Duration":
		return "duration"
	case target.CanInt():
		return "number"
	default:
		return "text"
	}
}
