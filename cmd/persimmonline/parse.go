package main

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/persimmonline/persimmonline/node"
)

const (
	// unknownFlagPrefix is the prefix of kong's error for an unknown flag.
	unknownFlagPrefix = "unknown flag "
	// missingFlagsPrefix is the prefix of kong's error for missing required flags.
	missingFlagsPrefix = "missing flags: "
	// nodeCommandName is the command whose settings are all validated together.
	nodeCommandName = "node"
)

// faults collects the errors in the arguments, so that one message lists them all.
// Kong stops at the first value that it can't parse; the mappers below record the
// error and continue.
type faults struct {
	list []error
}

// newParser returns a parser that records invalid values in f.
func newParser(commands *cli, f *faults, stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(commands,
		kong.Name("persimmonline"),
		kong.Description("Serves language models and small services on reclaimable hosts.\n\n"+
			"Each flag of the node command can be set in the environment too; docs/operators/settings.md lists both."),
		kong.Writers(stdout, stderr),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.TypeMapper(reflect.TypeFor[time.Duration](), f.mapper("must be a duration, for example 500ms or 5s", parseDuration)),
		kong.KindMapper(reflect.Int, f.mapper("must be a whole number", parseInt)),
		kong.KindMapper(reflect.Int64, f.mapper("must be a whole number", parseInt)),
	)
}

// mapper returns a kong mapper that parses one value; an invalid value is recorded and left
// at zero.
func (f *faults) mapper(message string, parseValue func(string) (int64, error)) kong.MapperFunc {
	return func(ctx *kong.DecodeContext, target reflect.Value) error {
		var text string
		if err := ctx.Scan.PopValueInto("value", &text); err != nil {
			return err
		}
		value, err := parseValue(text)
		if err == nil && !target.OverflowInt(value) {
			target.SetInt(value)
			return nil
		}
		f.add(&node.SettingError{Flag: "--" + ctx.Value.Name, Value: text, Message: message})
		return nil //nolint:nilerr // The fault is recorded, so that parsing continues and finds the next ones.
	}
}

func parseDuration(text string) (int64, error) {
	d, err := time.ParseDuration(text)
	return int64(d), err
}

func parseInt(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) }

// add records a fault once; kong parses a value more than once.
func (f *faults) add(fault error) {
	for _, existing := range f.list {
		if existing.Error() == fault.Error() {
			return
		}
	}
	f.list = append(f.list, fault)
}

// has reports whether a fault of this flag is recorded already.
func (f *faults) has(flag string) bool {
	return slices.ContainsFunc(f.list, func(recorded error) bool {
		var setting *node.SettingError
		return errors.As(recorded, &setting) && setting.Flag == flag
	})
}

// err returns all faults as one error; nil if there are none.
func (f *faults) err() error { return errors.Join(f.list...) }

// parse parses the arguments. The error lists every fault that can be detected.
func parse(args []string, commands *cli, stdout, stderr io.Writer) (*kong.Context, error) {
	found := &faults{}
	parser, err := newParser(commands, found, stdout, stderr)
	if err != nil {
		return nil, err
	}
	parsed, err := parser.Parse(args)
	for flag := unknownFlag(err); flag != ""; flag = unknownFlag(err) {
		found.add(fmt.Errorf("%w", err))
		args = withoutFlag(args, flag)
		parsed, err = parser.Parse(args)
	}
	if len(args) > 0 && args[0] == nodeCommandName {
		return parsed, found.withSettings(commands, err)
	}
	if err != nil {
		found.add(err)
	}
	return parsed, found.err()
}

// withSettings adds the faults of the node's settings. Kong fills in the settings before
// it checks for missing flags, and missing flags are settings faults too.
func (f *faults) withSettings(commands *cli, err error) error {
	if err != nil && !strings.HasPrefix(err.Error(), missingFlagsPrefix) && !strings.Contains(err.Error(), "must be one of") {
		f.add(err)
		return f.err()
	}
	for _, fault := range node.SettingErrors(commands.Node.Settings) {
		if !f.has(fault.Flag) {
			f.add(fault)
		}
	}
	return f.err()
}

// unknownFlag returns the flag that kong's error reports as unknown, or "".
func unknownFlag(err error) string {
	if err == nil {
		return ""
	}
	rest, unknown := strings.CutPrefix(err.Error(), unknownFlagPrefix)
	if !unknown {
		return ""
	}
	flag, _, _ := strings.Cut(rest, ",")
	return flag
}

// withoutFlag removes a flag and its value from the arguments.
func withoutFlag(args []string, flag string) []string {
	for i, arg := range args {
		name, _, hasValue := strings.Cut(arg, "=")
		if name != flag {
			continue
		}
		end := i + 1
		if !hasValue && end < len(args) && !strings.HasPrefix(args[end], "-") {
			end++
		}
		return slices.Concat(args[:i], args[end:])
	}
	// The flag isn't among the arguments under this name, so parsing can't continue past it.
	return nil
}
