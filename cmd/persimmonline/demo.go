package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/internal/jsonlog"
	"github.com/persimmonline/persimmonline/telemetry"
)

// reclaimNotice is the time between the notice and the reclaim of the demo's hosts.
const reclaimNotice = 5 * time.Second

// demoCommand runs a complete deployment.
type demoCommand struct {
	Config        string        `help:"Deployment: falaj or bulakan." enum:"falaj,bulakan" default:"falaj"`
	Port          int           `help:"Caller port of the first node; administration is 10 above." default:"18080"`
	For           time.Duration `help:"End after this time; 0 means at a signal."`
	Wave          time.Duration `help:"Reclaim one data centre after this time; 0 means never."`
	Load          bool          `help:"Send the deployment's mix of requests."`
	LogLevel      string        `help:"Log level." enum:"debug,info,warn,error" default:"warn"`
	TraceExporter string        `help:"Where spans go." enum:"none,stdout,otlp" default:"none"`
	TraceEndpoint string        `help:"URL of the OTLP/HTTP collector."`
}

// Run implements the command.
func (c *demoCommand) Run(s *streams) error {
	logger, err := jsonlog.New(s.err, c.LogLevel)
	if err != nil {
		return err
	}
	deployment, err := examples.Load(c.Config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	stopTracing, err := telemetry.StartTracing(ctx, c.TraceExporter, c.TraceEndpoint, "persimmonline-demo", s.err)
	if err != nil {
		return err
	}
	defer func() { _ = stopTracing(context.WithoutCancel(ctx)) }()
	telemetry.BridgeLogx(logger)
	cluster, err := demo.Start(ctx, demo.Options{Deployment: deployment, Port: c.Port, Logger: logger})
	if err != nil && ctx.Err() != nil {
		return nil //nolint:nilerr // A signal during the start is a planned end.
	}
	if err != nil {
		return err
	}
	if err := json.NewEncoder(s.out).Encode(cluster.Announce()); err != nil {
		return fmt.Errorf("print announcement: %w", err)
	}
	c.run(ctx, cluster, deployment)
	err = cluster.Stop(context.WithoutCancel(ctx))
	if printErr := json.NewEncoder(s.out).Encode(cluster.Report()); printErr != nil {
		return fmt.Errorf("print report: %w", printErr)
	}
	return err
}

// run starts the requested load and reclaim, and waits for the end of the demo.
func (c *demoCommand) run(ctx context.Context, cluster *demo.Cluster, deployment api.Deployment) {
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	if c.Wave > 0 {
		reclaim := time.AfterFunc(c.Wave, func() {
			cluster.Standins.Cloud.ReclaimDataCentre(deployment.DataCentres[0], reclaimNotice)
		})
		defer reclaim.Stop()
	}
	if c.Load {
		cluster.GenerateLoad(ctx)
	}
	<-ctx.Done()
}
