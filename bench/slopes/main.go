// Command slopes measures how the control cost of a node grows with the size of the fleet
// and the configuration, with real nodes and small stand-ins in a few processes; see
// run.sh.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/telemetry"
)

// cli defines the command line.
type cli struct {
	Standins standinsCommand `cmd:"" help:"Run the stand-ins until the time is over."`
	Nodes    nodesCommand    `cmd:"" help:"Run nodes, measure them and print a sample."`
	Callers  callersCommand  `cmd:"" help:"Send requests to a node at a rate."`
	Fit      fitCommand      `cmd:"" help:"Fit slopes through the samples on standard input."`
	Page     pageCommand     `cmd:"" help:"Write the figures of the report into the capacity page."`
}

func main() {
	parsed := kong.Parse(&cli{}, kong.Name("slopes"))
	telemetry.BridgeLogx(zerolog.Nop())
	if err := parsed.Run(); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "slopes: %v\n", err)
		os.Exit(1)
	}
}
