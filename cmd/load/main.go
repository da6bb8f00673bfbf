// Command load sends a synthetic load to the gates and reports the answers and
// waiting times. A mix file (mix.go) describes the load; schedule.go generates
// all arrivals from it and a seed, sender.go sends them at their times, and
// report.go and plot.go write the results.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"reflect"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/peterbourgon/ff/v3"

	"chervilhollow/settings"
	"chervilhollow/timers"
)

// options holds the command line. The flag set itself is needed to distinguish
// flags that were given from defaults.
type options struct {
	mix      string
	csv      string
	plot     string
	gates    string
	seed     uint64
	duration time.Duration
	check    bool
	flags    *flag.FlagSet
}

// Exit codes.
const (
	exitFaults = 1
	exitUsage  = 2
)

const usageText = `load sends a synthetic load to the gates and reports the answers.

Requests arrive at random times that do not depend on the answers (open loop),
so a slow system gets the same load as a fast one; the same seed generates the
same load. The report has one row per kind and team: answers by code, the
waiting time that the answers state, and the time from the planned arrival to
the answer. The time of a detached request ends when its result has been
fetched, and its answer states no waiting time.

The exit code is 1 if an answer was missing, had a wrong body or was given for
two requests, or if a request could not be sent.

Flags:
`

func main() {
	o, err := parseFlags(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(exitUsage)
	}
	m, err := o.readMix()
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(exitUsage)
	}
	if o.check {
		fmt.Println("load: the mix is valid")
		return
	}
	if err := o.run(&m, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(exitFaults)
	}
}

func parseFlags(args []string, out io.Writer) (*options, error) {
	o := &options{flags: flag.NewFlagSet("load", flag.ContinueOnError)}
	fs := o.flags
	fs.SetOutput(out)
	fs.StringVar(&o.mix, "mix", "", "path of the mix file (required)")
	fs.StringVar(&o.csv, "csv", "", "path of a CSV file to write")
	fs.StringVar(&o.plot, "plot", "", "path of a PNG file to write")
	fs.StringVar(&o.gates, "gates", "", "URLs of the gates, separated by commas, instead of those of the mix")
	fs.Uint64Var(&o.seed, "seed", 0, "seed instead of that of the mix")
	fs.DurationVar(&o.duration, "duration", 0, "duration instead of that of the mix")
	fs.BoolVar(&o.check, "check", false, "check the mix and exit")
	fs.Usage = func() { usage(out, fs) }
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("CHERVILHOLLOW_LOAD")); err != nil {
		return nil, err
	}
	if o.mix == "" || fs.NArg() > 0 {
		return nil, errors.New("want --mix FILE and no arguments; see --help")
	}
	return o, nil
}

// usage prints the help text, with the fields of the mix from its struct tags.
func usage(out io.Writer, fs *flag.FlagSet) {
	fmt.Fprint(out, usageText)
	fs.PrintDefaults()
	fmt.Fprint(out, "\nThe mix is JSON with comments; durations are strings such as \"1.5s\". Fields:\n\n")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	describeFields(w, "  ", reflect.TypeOf(mixDocument{}))
	w.Flush()
}

// describeFields prints the JSON names and help texts of the fields of a struct
// and, indented, those of its inner structs.
func describeFields(w io.Writer, indent string, t reflect.Type) {
	for i := range t.NumField() {
		field := t.Field(i)
		fmt.Fprintf(w, "%s%s\t%s\n", indent, field.Tag.Get("json"), field.Tag.Get("help"))
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct && inner != reflect.TypeOf(rangeDocument{}) {
			describeFields(w, indent+"  ", inner)
		}
	}
}

// readMix reads the mix file and replaces the values that were given as flags.
func (o *options) readMix() (mixDocument, error) {
	data, err := os.ReadFile(o.mix)
	if err != nil {
		return mixDocument{}, err
	}
	m, err := parseMix(o.mix, data)
	if err != nil {
		return m, err
	}
	o.flags.Visit(func(f *flag.Flag) {
		switch f.Name {
		case "seed":
			m.Seed = o.seed
		case "duration":
			m.Duration = settings.Duration(o.duration)
		case "gates":
			m.Gates = strings.Split(o.gates, ",")
		}
	})
	for i := range m.Gates {
		m.Gates[i] = strings.TrimSuffix(m.Gates[i], "/")
	}
	return m, nil
}

// run sends the load and writes the reports. It returns an error if an answer
// was missing, wrong or duplicated, a request was not sent, or the run was
// interrupted.
func (o *options) run(m *mixDocument, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	arrivals := schedule(m)
	s := newSender(m, timers.New(), ulid.Make().String())
	r := s.run(ctx, arrivals)
	r.digest = digest(arrivals)
	r.table(out)
	if err := o.writeReports(r); err != nil {
		return err
	}
	if r.failed() {
		return errors.New("answers were missing, wrong or duplicated, or requests were not sent")
	}
	return ctx.Err()
}

func (o *options) writeReports(r *report) error {
	if o.csv != "" {
		file, err := os.Create(o.csv)
		if err != nil {
			return err
		}
		if err := errors.Join(r.csv(file), file.Close()); err != nil {
			return fmt.Errorf("write %s: %w", o.csv, err)
		}
	}
	if o.plot != "" {
		if err := r.plot(o.plot); err != nil {
			return fmt.Errorf("write %s: %w", o.plot, err)
		}
	}
	return nil
}
