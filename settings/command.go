package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"reflect"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
)

type (
	// Command is the parsed command line of a program.
	Command struct {
		file      string
		checkOnly bool
		heartbeat time.Duration
	}
)

// ErrUsage is returned for an invalid command line. The error text names the
// reason.
var ErrUsage = errors.New("wrong command line")

// GateCommand parses the command line of the gate. Help is printed to out; the
// error is then flag.ErrHelp.
func GateCommand(args []string, out io.Writer) (Command, error) {
	return parseCommand("gate", "Takes requests of callers over HTTP and forwards them to the placers.",
		defaultGate(), args, out, nil)
}

// PlacerCommand parses the command line of the placer. Help is printed to out;
// the error is then flag.ErrHelp.
func PlacerCommand(args []string, out io.Writer) (Command, error) {
	return parseCommand("placer", "Queues requests and places their tasks on workers.",
		defaultPlacer(), args, out, nil)
}

// CheckOnly reports whether the program must only check the settings file and
// exit.
func (c Command) CheckOnly() bool { return c.checkOnly }

// File returns the path of the settings file.
func (c Command) File() string { return c.file }

// WorkerHeartbeat returns the interval at which workers renew their entries in
// the discovery, and zero if it is unknown.
func (c Command) WorkerHeartbeat() time.Duration { return c.heartbeat }

// Gate reads and checks the settings file of a gate.
func (c Command) Gate() (Gate, error) {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return Gate{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseGate(c.file, data)
}

// Placer reads and checks the settings file of a placer.
func (c Command) Placer() (Placer, error) {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return Placer{}, fmt.Errorf("read settings: %w", err)
	}
	return ParsePlacer(c.file, data)
}

// parseCommand parses a command line. addFlags, unless it is nil, adds the flags
// of one program to those of all.
func parseCommand(name, purpose string, defaults any, args []string, out io.Writer, addFlags func(*flag.FlagSet, *Command)) (Command, error) {
	var c Command
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(out)
	flags.StringVar(&c.file, "settings", "", "path of the settings file (required)")
	flags.BoolVar(&c.checkOnly, "check", false, "check the settings file and exit")
	if addFlags != nil {
		addFlags(flags, &c)
	}
	flags.Usage = func() { printUsage(out, flags, purpose, defaults) }
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("CHERVILHOLLOW"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return c, err
	case err != nil:
		return c, fmt.Errorf("%w: %w", ErrUsage, err)
	case flags.NArg() > 0:
		return c, fmt.Errorf("%w: unexpected argument %q", ErrUsage, flags.Arg(0))
	case c.heartbeat < 0:
		return c, fmt.Errorf("%w: --worker-heartbeat %s is negative", ErrUsage, c.heartbeat)
	case c.file == "":
		return c, fmt.Errorf("%w: --settings is required; see --help", ErrUsage)
	}
	return c, nil
}

func printUsage(out io.Writer, flags *flag.FlagSet, purpose string, defaults any) {
	fmt.Fprintf(out, "%s\n\nUsage:\n  %s --settings FILE [--check]\n\nFlags:\n", purpose, flags.Name())
	flags.PrintDefaults()
	fmt.Fprint(out, "\nEach flag can also be set in the environment, for example CHERVILHOLLOW_SETTINGS.\n"+
		"SIGTERM stops the program: it takes no new work, ends what is open, then exits.\n"+
		"\nThe settings file is JSON with comments. Durations are strings such as \"1.5s\".\n"+
		"Unknown fields and bad values stop the program. Fields:\n\n")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	describeFields(w, "  ", reflect.ValueOf(defaults))
	w.Flush()
}

// describeFields prints the keys, defaults and help texts of the struct's
// fields, including those of nested structs.
func describeFields(w io.Writer, indent string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			describeFields(w, indent, v.Field(i))
			continue
		}
		fmt.Fprintf(w, "%s%s\t%s\t%s\n", indent, field.Tag.Get("json"), defaultLabel(v.Field(i)), field.Tag.Get("help"))
		if field.Type.Kind() == reflect.Struct {
			describeFields(w, indent+"  ", v.Field(i))
		}
	}
}

func defaultLabel(v reflect.Value) string {
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
