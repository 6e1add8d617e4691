package main

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
)

const (
	reportFile = "../../docs/capacity/slopes.json"
	pageFile   = "../../docs/CAPACITY.md"
)

func TestCapacityPageHasTheFiguresOfTheReport(t *testing.T) {
	generated, err := generatePage(reportFile, pageFile)
	require.NoError(t, err)
	page, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	require.Equal(t, string(generated), string(page), "run make page")
}

func TestFitFindsALineAndItsResidual(t *testing.T) {
	samples, err := readSamples(strings.NewReader(`
		{"series":"s","x":0,"cpu_percent":1}{"series":"s","x":10,"cpu_percent":3}{"series":"s","x":20,"cpu_percent":5}
		{"series":"other","x":3,"cpu_percent":99}`))
	require.NoError(t, err)
	require.Equal(t, []string{"s", "other"}, seriesOf(samples))
	require.Equal(t, api.Slope{Series: "s", Quantity: "cpu_percent", Base: 1, Slope: 0.2}, fit("s", quantities[0], samples))
	samples[1].CPUPercent = 6
	require.InDelta(t, 1.41, fit("s", quantities[0], samples).Residual, 0.01)
}

func TestBrokenSampleNamesItsPlace(t *testing.T) {
	_, err := readSamples(strings.NewReader(`{"series":"s"} {"series":7}`))
	require.ErrorContains(t, err, "read sample 1")
}
