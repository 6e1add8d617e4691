// Command persimmonline is the daemon, the operator's command line and the demo.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/zeromicro/go-zero/core/proc"

	"github.com/persimmonline/persimmonline/node"
)

// Exit codes; docs/operators/commands.md explains them.
const (
	// exitOK means success, or an accepted patch.
	exitOK = 0
	// exitFailure means that the command failed.
	exitFailure = 1
	// exitSettings means that a flag, an argument or a setting is invalid.
	exitSettings = 2
	// exitStale means that a patch was based on a version that is not in force.
	exitStale = 3
	// exitInvalid means that a patch violates a rule.
	exitInvalid = 4
	// exitUnknown means that a patch may or may not be in the log.
	exitUnknown = 5
	// exitNotInForce means that a patch is accepted but not yet known to be in force everywhere.
	exitNotInForce = 6
)

// forceQuitDelay is a time so long that go-zero does not end the process during a planned
// stop.
const forceQuitDelay = 24 * time.Hour

// cli is the command line.
type cli struct {
	Node      nodeCommand      `cmd:"" help:"Run one node."`
	Status    statusCommand    `cmd:"" help:"Show nodes, upstreams, what is in flight and what is refused."`
	Plan      planCommand      `cmd:"" help:"Show which hosts and models the planner wants, and why."`
	Patch     patchCommand     `cmd:"" help:"Publish patches of the configuration and see what became of them."`
	Workspace workspaceCommand `cmd:"" help:"Show workspaces."`
	Service   serviceCommand   `cmd:"" help:"Show services."`
	Route     routeCommand     `cmd:"" help:"Show routes."`
	Upstream  upstreamCommand  `cmd:"" help:"Show upstreams."`
	Demo      demoCommand      `cmd:"" help:"Run a whole deployment with stand-ins, on loopback, in one process."`
	Settings  settingsCommand  `cmd:"" help:"Print the node settings as a table, as in docs/operators/settings.md."`
	Version   versionCommand   `cmd:"" help:"Print the version."`
}

func main() {
	proc.Setup(proc.ShutdownConf{WrapUpTime: forceQuitDelay, WaitTime: 2 * forceQuitDelay})
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run parses the arguments and runs a command; it returns the exit code.
func run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	parsed, err := parse(args, &cli{}, stdout, stderr)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "persimmonline: %v\n", err)
		return exitSettings
	}
	err = parsed.Run(&streams{in: stdin, out: stdout, err: stderr})
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(stderr, "persimmonline: %v\n", err)
	var verdict *verdictError
	if errors.As(err, &verdict) {
		return verdict.exitCode()
	}
	var setting *node.SettingError
	if errors.As(err, &setting) {
		return exitSettings
	}
	return exitFailure
}

// streams are the standard streams of a command.
type streams struct {
	in       io.Reader
	out, err io.Writer
}
