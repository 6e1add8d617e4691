// Package infra defines the system's interfaces to the platform: its log, host list,
// cloud API and weight store. Each is a narrow interface with an HTTP client, so
// that supporting another protocol takes one new file.
package infra

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append atomically adds records to the end of a stream and returns the first
	// offset. An *Error with Effect EffectUnknown means that they may be in the log.
	Append(ctx context.Context, stream string, records []json.RawMessage) (int64, error)
	// Read returns up to limit records from an offset on. If there are none, it waits
	// up to wait for one. OldestOffset above from means that records were trimmed.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (api.ReadResponse, error)
}

// Hosts is the platform's lagging host list.
type Hosts interface {
	// List returns the platform's current host list.
	List(ctx context.Context) (api.HostList, error)
}

// Cloud is the cloud API.
type Cloud interface {
	// Hosts returns the running hosts of this deployment, with their reclaim notices.
	Hosts(ctx context.Context) (api.CloudHosts, error)
	// Start requests one host; it is idempotent by token.
	Start(ctx context.Context, request api.StartHostRequest) (api.CloudHost, error)
	// Stop returns a host to the platform.
	Stop(ctx context.Context, id string) error
}

// Effect tells whether a failed call may have taken effect.
type Effect string

// Effects of a failed call.
const (
	// EffectNone means that the call had no effect.
	EffectNone Effect = "none"
	// EffectUnknown means that the call may have taken effect.
	EffectUnknown Effect = "unknown"
)

// Error is the error of a failed call to the platform.
type Error struct {
	// Step is the operation that failed.
	Step string
	// Peer is the base URL of the service.
	Peer string
	// Status is the HTTP status; 0 if there was no response.
	Status int
	// Effect tells whether the call may have taken effect.
	Effect Effect
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s (status %d, effect %s): %v", e.Step, e.Peer, e.Status, e.Effect, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
