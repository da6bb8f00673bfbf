package chart

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"reflect"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"
)

type (
	// Command holds the command line of a program.
	Command struct {
		settings string
		check    bool
	}
)

// ErrUsage reports a command line that cannot be used; the reason was printed.
var ErrUsage = errors.New("wrong command line")

// GateCommand reads the command line of the gate.
func GateCommand(args []string, out io.Writer) (Command, error) {
	return parseCommand("gate", "Takes requests of callers over HTTP and forwards them to the placers.",
		defaultGate(), args, out)
}

// PlacerCommand reads the command line of the placer.
func PlacerCommand(args []string, out io.Writer) (Command, error) {
	return parseCommand("placer", "Queues requests and places their tasks on workers.",
		defaultPlacer(), args, out)
}

// Check reports whether only the settings file is to be checked.
func (c Command) Check() bool { return c.check }

// File returns the path of the settings file.
func (c Command) File() string { return c.settings }

// Gate reads the settings file as that of a gate.
func (c Command) Gate() (Gate, error) {
	data, err := os.ReadFile(c.settings)
	if err != nil {
		return Gate{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseGate(c.settings, data)
}

// Placer reads the settings file as that of a placer.
func (c Command) Placer() (Placer, error) {
	data, err := os.ReadFile(c.settings)
	if err != nil {
		return Placer{}, fmt.Errorf("read settings: %w", err)
	}
	return ParsePlacer(c.settings, data)
}

func parseCommand(name, purpose string, defaults any, args []string, out io.Writer) (Command, error) {
	var c Command
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(out)
	flags.StringVar(&c.settings, "settings", "", "path of the settings file (required)")
	flags.BoolVar(&c.check, "check", false, "check the settings file and exit")
	flags.Usage = func() { usage(out, flags, purpose, defaults) }
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("CHERVILHOLLOW"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return c, err
	case err != nil:
		return c, fmt.Errorf("%w: %w", ErrUsage, err)
	case flags.NArg() > 0:
		return c, fmt.Errorf("%w: unexpected argument %q", ErrUsage, flags.Arg(0))
	case c.settings == "":
		return c, fmt.Errorf("%w: --settings is required; see --help", ErrUsage)
	}
	return c, nil
}

func usage(out io.Writer, flags *flag.FlagSet, purpose string, defaults any) {
	fmt.Fprintf(out, "%s\n\nUsage:\n  %s --settings FILE [--check]\n\nFlags:\n", purpose, flags.Name())
	flags.PrintDefaults()
	fmt.Fprint(out, "\nEach flag can also be set in the environment, for example CHERVILHOLLOW_SETTINGS.\n"+
		"SIGTERM stops the program: it takes no new work, ends what is open, then exits.\n"+
		"\nThe settings file is JSON with comments. Durations are strings such as \"1.5s\".\n"+
		"Unknown fields and bad values stop the program. Fields:\n\n")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	describe(w, "  ", reflect.ValueOf(defaults))
	w.Flush()
}

func describe(w io.Writer, indent string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			describe(w, indent, v.Field(i))
			continue
		}
		fmt.Fprintf(w, "%s%s\t%s\t%s\n", indent, field.Tag.Get("json"), defaultText(v.Field(i)), field.Tag.Get("help"))
		if field.Type.Kind() == reflect.Struct {
			describe(w, indent+"  ", v.Field(i))
		}
	}
}

func defaultText(v reflect.Value) string {
	switch {
	case v.Kind() == reflect.Struct:
		return "object"
	case v.IsZero():
		return "required"
	case v.Kind() == reflect.String, v.Type() == reflect.TypeOf(Duration(0)):
		return fmt.Sprintf("default %q", fmt.Sprint(v.Interface()))
	}
	return fmt.Sprintf("default %v", v.Interface())
}
