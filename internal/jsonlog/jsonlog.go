// Package jsonlog creates the logger of all daemons. It is separate from telemetry, since
// go-zero, which telemetry imports, starts collectors on import.
package jsonlog

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes JSON lines to w. Level is one of debug, info, warn and
// error; unknown values are rejected.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, fmt.Errorf("parse log level %q: %w", level, err)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger(), nil
}
