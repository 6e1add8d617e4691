package main

import (
	"context"
	"fmt"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/internal/jsonlog"
	"github.com/persimmonline/persimmonline/node"
	"github.com/persimmonline/persimmonline/telemetry"
)

// nodeCommand runs one node until a signal or a reclaim triggers a planned stop.
type nodeCommand struct {
	Settings api.Settings `embed:""`
}

// Run implements the command.
func (c *nodeCommand) Run(s *streams) error {
	logger, err := jsonlog.New(s.err, c.Settings.LogLevel)
	if err != nil {
		return err
	}
	started, err := node.New(c.Settings, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	stopTracing, err := telemetry.StartTracing(ctx, c.Settings.TraceExporter, c.Settings.TraceEndpoint, "persimmonline", s.out)
	if err != nil {
		return err
	}
	defer func() { _ = stopTracing(context.WithoutCancel(ctx)) }()
	telemetry.BridgeLogx(logger)
	if err := started.Start(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-started.Reclaimed():
	}
	return started.Stop(context.WithoutCancel(ctx))
}

// versionCommand prints the version.
type versionCommand struct{}

// Run implements the command.
func (versionCommand) Run(s *streams) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("read version: the binary has no build information")
	}
	_, err := fmt.Fprintf(s.out, "persimmonline %s %s\n", info.Main.Version, info.GoVersion)
	return err
}
