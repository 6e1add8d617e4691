package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/infra/httpclient"
	"github.com/persimmonline/persimmonline/operator"
	"github.com/persimmonline/persimmonline/telemetry"
)

// maxPatchBytes bounds the size of a patch document.
const maxPatchBytes = 4 << 20

// verdictError carries the verdict on a patch to the exit code.
type verdictError struct {
	verdict operator.Verdict
}

// Error implements error.
func (v *verdictError) Error() string {
	if v.verdict == operator.VerdictAccepted {
		return "the patch is accepted, but not known to be in force everywhere yet"
	}
	return "the verdict on the patch is " + string(v.verdict)
}

// exitCode returns the documented exit code of the verdict.
func (v *verdictError) exitCode() int {
	switch v.verdict {
	case operator.VerdictStale:
		return exitStale
	case operator.VerdictInvalid:
		return exitInvalid
	case operator.VerdictUnknown:
		return exitUnknown
	default:
		return exitNotInForce
	}
}

// outputOptions select the output format.
type outputOptions struct {
	Output string `short:"o" help:"Form of the output: table for people, json for programs." enum:"table,json" default:"table"`
}

// adminOptions select the nodes of the administration API and the key.
type adminOptions struct {
	outputOptions
	AdminURL []string `help:"Base URL of a node's administration API; repeat it to try the next node when one is down." env:"PERSIMMON_ADMIN_URL" default:"http://127.0.0.1:18090"`
	AdminKey string   `help:"Operator's key." env:"PERSIMMON_ADMIN_KEY" required:""`
}

// show queries a node and prints the answer.
func show[T any](s *streams, o adminOptions, query func(*operator.Client, context.Context) (T, error)) error {
	ctx, stop := commandContext()
	defer stop()
	client := operator.NewClient(o.AdminURL, o.AdminKey)
	defer client.Close()
	answer, err := query(client, ctx)
	if err != nil {
		return err
	}
	return operator.Print(s.out, o.Output, answer)
}

// commandContext returns a context that ends at a signal. It silences go-zero's log, since
// the returned errors hold the same information.
func commandContext() (context.Context, context.CancelFunc) {
	telemetry.BridgeLogx(zerolog.Nop())
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// showNamed queries one object by name and prints it.
func showNamed[T any](s *streams, o adminOptions, name string, query func(*operator.Client, context.Context, string) (T, error)) error {
	return show(s, o, func(c *operator.Client, ctx context.Context) (T, error) { return query(c, ctx, name) })
}

type statusCommand struct {
	adminOptions
}

// Run implements the command.
func (c *statusCommand) Run(s *streams) error {
	if err := show(s, c.adminOptions, (*operator.Client).Status); err != nil || c.Output == operator.OutputJSON {
		return err
	}
	_, _ = fmt.Fprintln(s.out)
	return show(s, c.adminOptions, (*operator.Client).Plan)
}

type planCommand struct{ adminOptions }

// Run implements the command.
func (c *planCommand) Run(s *streams) error {
	return show(s, c.adminOptions, (*operator.Client).Plan)
}

type workspaceCommand struct {
	List workspaceList `cmd:"" help:"List the workspaces."`
	Get  workspaceGet  `cmd:"" help:"Show one workspace."`
}

type workspaceList struct{ adminOptions }

// Run implements the command.
func (c *workspaceList) Run(s *streams) error {
	return show(s, c.adminOptions, (*operator.Client).Workspaces)
}

type workspaceGet struct {
	adminOptions
	Name string `arg:"" help:"Name of the workspace."`
}

// Run implements the command.
func (c *workspaceGet) Run(s *streams) error {
	return showNamed(s, c.adminOptions, c.Name, (*operator.Client).Workspace)
}

type serviceCommand struct {
	List serviceList `cmd:"" help:"List the services."`
	Get  serviceGet  `cmd:"" help:"Show one service."`
}

type serviceList struct{ adminOptions }

// Run implements the command.
func (c *serviceList) Run(s *streams) error {
	return show(s, c.adminOptions, (*operator.Client).Services)
}

type serviceGet struct {
	adminOptions
	Name string `arg:"" help:"Name of the service."`
}

// Run implements the command.
func (c *serviceGet) Run(s *streams) error {
	return showNamed(s, c.adminOptions, c.Name, (*operator.Client).Service)
}

type routeCommand struct {
	List routeList `cmd:"" help:"List the routes."`
	Get  routeGet  `cmd:"" help:"Show one route."`
}

type routeList struct{ adminOptions }

// Run implements the command.
func (c *routeList) Run(s *streams) error {
	return show(s, c.adminOptions, (*operator.Client).Routes)
}

type routeGet struct {
	adminOptions
	Name string `arg:"" help:"Name of the route."`
}

// Run implements the command.
func (c *routeGet) Run(s *streams) error {
	return showNamed(s, c.adminOptions, c.Name, (*operator.Client).Route)
}

type upstreamCommand struct {
	List upstreamList `cmd:"" help:"List the upstreams."`
	Get  upstreamGet  `cmd:"" help:"Show one upstream."`
}

type upstreamList struct{ adminOptions }

// Run implements the command.
func (c *upstreamList) Run(s *streams) error {
	return show(s, c.adminOptions, (*operator.Client).Upstreams)
}

type upstreamGet struct {
	adminOptions
	Name string `arg:"" help:"Host id of the upstream."`
}

// Run implements the command.
func (c *upstreamGet) Run(s *streams) error {
	return showNamed(s, c.adminOptions, c.Name, (*operator.Client).Upstream)
}

type patchCommand struct {
	Publish   patchPublish   `cmd:"" help:"Publish a patch. Exit code: 0 accepted, 3 stale, 4 invalid, 5 unknown, 6 not in force everywhere in time."`
	Get       patchGet       `cmd:"" help:"Show what became of a patch. Exit code as of publish."`
	List      patchList      `cmd:"" help:"List recent patches with their verdicts."`
	Bootstrap patchBootstrap `cmd:"" help:"Write the first configuration of a new deployment to the log."`
}

type patchPublish struct {
	adminOptions
	File    string        `arg:"" help:"File with the patch document; - reads standard input."`
	Base    int64         `help:"Version that the patch is against; -1 takes the version in force." default:"-1"`
	ID      string        `name:"id" help:"Id of the patch, to publish it again safely. Default: a new one."`
	Format  string        `help:"merge (RFC 7396) or json (RFC 6902)." enum:"merge,json" default:"merge"`
	Wait    bool          `help:"Return only once the patch is in force on every live node."`
	Timeout time.Duration `help:"Longest wait for the verdict and for the patch to be in force." default:"30s"`
}

// Run implements the command.
func (c *patchPublish) Run(s *streams) error {
	document, err := readDocument(s.in, c.File)
	if err != nil {
		return err
	}
	ctx, stop := commandContext()
	defer stop()
	client := operator.NewClient(c.AdminURL, c.AdminKey)
	defer client.Close()
	result, err := client.PublishAndWait(ctx, operator.PublishRequest{
		ID: c.ID, Base: c.Base, Format: c.Format, Patch: document, Wait: c.Wait, Timeout: c.Timeout,
	})
	if err != nil {
		return err
	}
	return printVerdict(s, c.Output, result, c.Wait)
}

type patchGet struct {
	adminOptions
	ID string `arg:"" help:"Id of the patch."`
}

// Run implements the command.
func (c *patchGet) Run(s *streams) error {
	ctx, stop := commandContext()
	defer stop()
	client := operator.NewClient(c.AdminURL, c.AdminKey)
	defer client.Close()
	result, err := client.Patch(ctx, c.ID)
	if err != nil {
		return err
	}
	return printVerdict(s, c.Output, result, false)
}

type patchList struct{ adminOptions }

// Run implements the command.
func (c *patchList) Run(s *streams) error {
	return show(s, c.adminOptions, (*operator.Client).Patches)
}

type patchBootstrap struct {
	outputOptions
	File    string        `arg:"" help:"File with the configuration; - reads standard input."`
	LogURL  string        `help:"Base URL of the log service." env:"PERSIMMON_LOG_URL" required:""`
	ID      string        `name:"id" help:"Id of the patch, to repeat the command safely. Default: a new one."`
	Timeout time.Duration `help:"Longest wait for the verdict." default:"30s"`
}

// Run implements the command.
func (c *patchBootstrap) Run(s *streams) error {
	document, err := readDocument(s.in, c.File)
	if err != nil {
		return err
	}
	ctx, stop := commandContext()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	client := httpclient.NewLogClient(c.LogURL)
	defer client.Close()
	result, err := operator.Bootstrap(ctx, client, c.ID, document)
	if err != nil {
		return err
	}
	return printVerdict(s, c.Output, result, false)
}

// printVerdict prints the result. Any verdict but accepted, and a wait that timed out, is
// returned as an error with its own exit code.
func printVerdict(s *streams, format string, result api.PatchResult, wait bool) error {
	if err := operator.Print(s.out, format, result); err != nil {
		return err
	}
	verdict := operator.Verdict(result.Verdict)
	if verdict == operator.VerdictUnknown {
		_, _ = fmt.Fprintf(s.err, "ask again: persimmonline patch get %s\nor publish the same patch again with --id %s\n", result.ID, result.ID)
	}
	if verdict == operator.VerdictAccepted && (result.InForce || !wait) {
		return nil
	}
	return &verdictError{verdict: verdict}
}

// readDocument reads a JSON document from a file, or from in if the name is "-".
func readDocument(in io.Reader, name string) (json.RawMessage, error) {
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("read patch: %w", err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	document, err := io.ReadAll(io.LimitReader(in, maxPatchBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read patch from %s: %w", name, err)
	}
	if len(document) > maxPatchBytes {
		return nil, fmt.Errorf("read patch from %s: it is larger than %d bytes", name, maxPatchBytes)
	}
	var syntax *json.SyntaxError
	var value json.RawMessage
	if err := json.Unmarshal(document, &value); errors.As(err, &syntax) {
		return nil, fmt.Errorf("read patch from %s: not JSON at byte %d: %w", name, syntax.Offset, err)
	}
	return value, nil
}
