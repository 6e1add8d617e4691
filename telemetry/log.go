// Package telemetry provides the logs, metrics and traces of a node.
package telemetry

import (
	"fmt"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
)

// BridgeLogx forwards go-zero's log to logger, so that the process writes one
// stream of JSON lines.
func BridgeLogx(logger zerolog.Logger) {
	// go-zero sets up its writer once, with the first server; the set-up must happen before
	// the writer is replaced.
	_ = logx.SetUp(logx.LogConf{Mode: "console", Encoding: "json", Level: "info"})
	logx.DisableStat()
	if logger.GetLevel() > zerolog.DebugLevel {
		logx.SetLevel(logx.ErrorLevel)
	}
	logx.SetWriter(logxWriter{logger: logger.With().Str("component", "go-zero").Logger()})
}

// logxWriter implements go-zero's log writer with zerolog.
type logxWriter struct {
	logger zerolog.Logger
}

func (l logxWriter) Alert(v any) { l.write(zerolog.ErrorLevel, v, nil) }

func (l logxWriter) Close() error { return nil }

func (l logxWriter) Debug(v any, fields ...logx.LogField) { l.write(zerolog.DebugLevel, v, fields) }

func (l logxWriter) Error(v any, fields ...logx.LogField) { l.write(zerolog.ErrorLevel, v, fields) }

func (l logxWriter) Info(v any, fields ...logx.LogField) { l.write(zerolog.DebugLevel, v, fields) }

func (l logxWriter) Severe(v any) { l.write(zerolog.ErrorLevel, v, nil) }

func (l logxWriter) Slow(v any, fields ...logx.LogField) { l.write(zerolog.WarnLevel, v, fields) }

func (l logxWriter) Stack(v any) { l.write(zerolog.ErrorLevel, v, nil) }

func (l logxWriter) Stat(v any, fields ...logx.LogField) { l.write(zerolog.DebugLevel, v, fields) }

func (l logxWriter) write(level zerolog.Level, v any, fields []logx.LogField) {
	event := l.logger.WithLevel(level)
	if l.logger.GetLevel() > level {
		return
	}
	for _, field := range fields {
		event = event.Interface(field.Key, field.Value)
	}
	event.Msg(fmt.Sprint(v))
}
