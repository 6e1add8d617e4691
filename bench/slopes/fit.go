package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"slices"

	"github.com/persimmonline/persimmonline/api"
)

// fitCommand fits slopes through samples.
type fitCommand struct {
	Output string `help:"File of the report." required:""`
}

// quantity is one measured quantity of a sample.
type quantity struct {
	name string
	of   func(api.SlopeSample) float64
}

var quantities = []quantity{
	{"cpu_percent", func(s api.SlopeSample) float64 { return s.CPUPercent }},
	{"heap_mb", func(s api.SlopeSample) float64 { return s.HeapMB }},
	{"control_bytes_per_second", func(s api.SlopeSample) float64 { return s.ControlBytesPerSecond }},
	{"control_seconds_percent", func(s api.SlopeSample) float64 { return s.ControlSecondsPercent }},
}

// Run implements the command.
func (c *fitCommand) Run() error {
	samples, err := readSamples(os.Stdin)
	if err != nil {
		return err
	}
	report := api.SlopeReport{GoVersion: runtime.Version(), Processors: runtime.NumCPU(), Samples: samples}
	for _, series := range seriesOf(samples) {
		for _, q := range quantities {
			report.Slopes = append(report.Slopes, fit(series, q, samples))
		}
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Output, append(encoded, '\n'), 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func readSamples(r io.Reader) ([]api.SlopeSample, error) {
	decoder := json.NewDecoder(r)
	var samples []api.SlopeSample
	for {
		var sample api.SlopeSample
		err := decoder.Decode(&sample)
		if errors.Is(err, io.EOF) {
			return samples, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read sample %d: %w", len(samples), err)
		}
		samples = append(samples, sample)
	}
}

// seriesOf returns the names of the series in order of first appearance.
func seriesOf(samples []api.SlopeSample) []string {
	var names []string
	for _, sample := range samples {
		if !slices.Contains(names, sample.Series) {
			names = append(names, sample.Series)
		}
	}
	return names
}

// fit returns the least-squares line through the samples of a series.
func fit(series string, q quantity, samples []api.SlopeSample) api.Slope {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, sample := range samples {
		if sample.Series != series {
			continue
		}
		x, y := sample.X, q.of(sample)
		n++
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	line := api.Slope{Series: series, Quantity: q.name}
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		line.Slope = (n*sumXY - sumX*sumY) / spread
	}
	line.Base = (sumY - line.Slope*sumX) / n
	var squares float64
	for _, sample := range samples {
		if sample.Series == series {
			distance := q.of(sample) - line.Base - line.Slope*sample.X
			squares += distance * distance
		}
	}
	line.Residual = math.Sqrt(squares / n)
	return line
}
