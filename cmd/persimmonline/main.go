// Command persimmonline is the daemon, the operator's command line and the demo.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/persimmonline/persimmonline/node"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// neverForceQuit keeps go-zero from ending the process during a planned stop.
const neverForceQuit = 24 * time.Hour

// cli is the whole command line.
type cli struct {
	Node    nodeCommand    `cmd:"" help:"Run one node."`
	Demo    demoCommand    `cmd:"" help:"Run a whole deployment with stand-ins, on loopback, in one process."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

func main() {
	proc.Setup(proc.ShutdownConf{WrapUpTime: neverForceQuit, WaitTime: 2 * neverForceQuit})
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the arguments and runs a command; it returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	parser, err := kong.New(&cli{},
		kong.Name("persimmonline"),
		kong.Description("Serves language models and small services on reclaimable hosts."),
		kong.Writers(stdout, stderr),
		kong.UsageOnError(),
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailure
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "persimmonline: %v\n", err)
		return exitSettings
	}
	err = parsed.Run(&streams{out: stdout, err: stderr})
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(stderr, "persimmonline: %v\n", err)
	var setting *node.SettingError
	if errors.As(err, &setting) {
		return exitSettings
	}
	return exitFailure
}

// streams are where a command writes.
type streams struct {
	out, err io.Writer
}
