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
	// unknownFlagPrefix starts kong's error on a flag that a command does not have.
	unknownFlagPrefix = "unknown flag "
	// missingFlagsPrefix starts kong's error on required flags that are absent.
	missingFlagsPrefix = "missing flags: "
	// nodeCommandName is the command whose settings are checked whole.
	nodeCommandName = "node"
)

// faults collects what is wrong with the arguments, so that one message names all of
// it. Kong stops at the first value that it can't read; the mappers below note the
// fault and go on.
type faults struct {
	list []error
}

// newParser returns a parser whose value faults go to f.
func newParser(commands *cli, f *faults, stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(commands,
		kong.Name("persimmonline"),
		kong.Description("Serves language models and small services on reclaimable hosts.\n\n"+
			"Each flag of the node command can be set in the environment too; docs/operators/settings.md lists both."),
		kong.Writers(stdout, stderr),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.TypeMapper(reflect.TypeFor[time.Duration](), f.mapper("must be a duration, for example 500ms or 5s", readDuration)),
		kong.KindMapper(reflect.Int, f.mapper("must be a whole number", readInt)),
		kong.KindMapper(reflect.Int64, f.mapper("must be a whole number", readInt)),
	)
}

// mapper reads one value; a value that can't be read is noted and left at zero.
func (f *faults) mapper(message string, read func(string) (int64, error)) kong.MapperFunc {
	return func(ctx *kong.DecodeContext, target reflect.Value) error {
		var text string
		if err := ctx.Scan.PopValueInto("value", &text); err != nil {
			return err
		}
		value, err := read(text)
		if err == nil && !target.OverflowInt(value) {
			target.SetInt(value)
			return nil
		}
		f.add(&node.SettingError{Flag: "--" + ctx.Value.Name, Value: text, Message: message})
		return nil //nolint:nilerr // The fault is noted, so that the next ones are found too.
	}
}

func readDuration(text string) (int64, error) {
	d, err := time.ParseDuration(text)
	return int64(d), err
}

func readInt(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) }

// add notes a fault once; kong reads a value more than once.
func (f *faults) add(fault error) {
	for _, known := range f.list {
		if known.Error() == fault.Error() {
			return
		}
	}
	f.list = append(f.list, fault)
}

// has says whether a fault of this flag is noted already.
func (f *faults) has(flag string) bool {
	return slices.ContainsFunc(f.list, func(known error) bool {
		var setting *node.SettingError
		return errors.As(known, &setting) && setting.Flag == flag
	})
}

// err returns all faults as one error; nil when there are none.
func (f *faults) err() error { return errors.Join(f.list...) }

// parse reads the arguments. The error names every fault that can be found.
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

// withSettings adds the faults of the node's settings. Kong has filled the settings
// in before it looks for flags that are missing, and those are settings faults too.
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

// unknownFlag returns the flag of kong's error on an unknown flag, or "".
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

// withoutFlag drops a flag and its value.
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
	// The flag isn't found by its name, so nothing more can be read past it.
	return nil
}
