// Command persimmon-edge is the daemon that serves on the Trust platform. It is separate
// from persimmonline so that it stays small and starts fast.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog/diode"

	"github.com/persimmonline/persimmonline/edge"
	"github.com/persimmonline/persimmonline/internal/jsonlog"
	"github.com/persimmonline/persimmonline/platform"
)

const (
	exitFailure  = 1
	exitSettings = 2
	// logBuffer bounds the log lines that wait for a slow output; further ones are
	// dropped and counted.
	logBuffer = 4096
	// memoryLimitFraction is the Go runtime's memory limit as a fraction of the memory that the
	// process may use.
	memoryLimitFraction = 0.8
)

// cli holds the daemon's own flags; the host's settings come from the platform's file.
type cli struct {
	LogLevel   string  `help:"Lowest level of log lines." enum:"debug,info,warn,error" default:"info" env:"PERSIMMON_LOG_LEVEL"`
	HedgeShare float64 `help:"Extra work that second attempts at the slowest requests may cause, as a share of all work (0 to 1)." default:"0" env:"PERSIMMON_HEDGE_SHARE"`
	CarryRuns  bool    `help:"Move the streams of engines that leave to other engines, where engines offer it." default:"false" env:"PERSIMMON_CARRY_RUNS"`

	Serve   struct{}       `cmd:"" default:"1" help:"Serve callers (without a command as well)."`
	Explain explainCommand `cmd:"" help:"Say where a request would go now, and why, without sending it."`
}

// Validate is called once the flags are parsed.
func (c *cli) Validate() error {
	if !(c.HedgeShare >= 0 && c.HedgeShare <= 1) {
		return fmt.Errorf("--hedge-share: %v is not between 0 and 1", c.HedgeShare)
	}
	return nil
}

func main() { os.Exit(run()) }

func run() int {
	var flags cli
	command := kong.Parse(&flags, kong.Name("persimmon-edge"), kong.Description("Serves callers on the Trust platform."))
	if strings.HasPrefix(command.Command(), "explain") {
		return flags.Explain.run(os.Stdout, os.Stderr)
	}
	return serve(&flags)
}

func serve(flags *cli) int {
	settings, err := platform.LoadSettings()
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "persimmon-edge: %v\n", err)
		return exitSettings
	}
	settings.HedgeShare = flags.HedgeShare
	settings.CarryRuns = flags.CarryRuns
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	}
	var node atomic.Pointer[edge.Edge]
	output := diode.NewWriter(os.Stdout, logBuffer, 0, func(missed int) {
		if e := node.Load(); e != nil {
			e.CountDroppedLogLines(missed)
		}
	})
	defer func() { _ = output.Close() }()
	logger, err := jsonlog.New(output, flags.LogLevel)
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "persimmon-edge: %v\n", err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	e := edge.New(settings, logger)
	node.Store(e)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			e.Reload()
		}
	}()
	if err := e.Run(ctx); err != nil {
		logger.Error().Err(err).Msg("node ended")
		return exitFailure
	}
	return 0
}
