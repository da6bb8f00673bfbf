// Command ctl is the operators' tool: it changes the configuration and waits
// until a change is in force everywhere.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/tide"
)

type (
	// app holds the settings that all commands share.
	app struct {
		clock   tide.Clock
		out     io.Writer
		errs    io.Writer
		storeAt string
		hostsAt string
		author  string
		timeout time.Duration
	}

	// usageError reports wrong arguments.
	usageError struct{ text string }

	// notAcceptedError names the processes that a revision still waits for.
	notAcceptedError struct {
		revision order.Revision
		missing  []missing
	}
)

// Exit statuses.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitNotAccepted
	exitConflict
	exitUncertain
)

const (
	defaultStore   = "http://127.0.0.1:7400"
	defaultHosts   = "http://127.0.0.1:7500"
	defaultTimeout = 30 * time.Second
	envPrefix      = "CTL"
	unknownAuthor  = "unknown"
)

const rootHelp = `ctl changes and shows the configuration of the cell: teams, keys, shares,
limits and failure domains.

Each change is one step. It is "recorded" with a new revision when the store
has it, and "accepted" when every process that may act has it in force. Until
then ctl names the processes it waits for. Ending ctl does not undo a change;
"ctl wait REVISION" waits again. If another operator's change came first,
nothing is recorded and the other change is shown.

A change that names the state already in force records nothing and waits for
the present revision.

Flags may also be given as environment variables: CTL_STORE, CTL_HOSTS,
CTL_AUTHOR, CTL_TIMEOUT.

Exit status:
  0  done, and accepted if it was a change
  1  failed; nothing was recorded
  2  wrong arguments
  3  recorded, but not accepted before the timeout
  4  conflict with another operator's change; nothing was recorded
  5  the answer was lost: the change may have been recorded, or may still be
     when a slow store executes it late; "ctl show" shows the latest changes`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, tide.New(), os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run executes one command and returns the exit status.
func run(ctx context.Context, clock tide.Clock, args []string, out, errs io.Writer) int {
	a := &app{clock: clock, out: out, errs: errs}
	root := a.root()
	err := root.Parse(args)
	switch {
	case err == nil:
		err = root.Run(ctx)
	case !errors.Is(err, flag.ErrHelp):
		err = &usageError{text: err.Error()}
	}
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(errs, "ctl:", err)
	}
	return exitStatus(err)
}

func exitStatus(err error) int {
	var (
		usage    *usageError
		waiting  *notAcceptedError
		conflict *sheet.ConflictError
	)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &waiting):
		return exitNotAccepted
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, depot.ErrUncertain):
		return exitUncertain
	}
	return exitFailed
}

func (a *app) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "ctl",
		ShortUsage: "ctl <command> [flags] [arguments]",
		LongHelp:   rootHelp,
		FlagSet:    a.flags("ctl"),
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       needSubcommand("a command"),
		Subcommands: []*ffcli.Command{
			a.importCommand(),
			a.showCommand(),
			a.keyCommand(),
			a.domainCommand(),
			a.teamCommand(),
			a.waitCommand(),
			a.hostsCommand(),
			a.membersCommand(),
		},
	}
}

// flags returns a flag set with the flags that all commands share, so that
// they may stand at any place. A value that was already set stays.
func (a *app) flags(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(a.errs)
	set.StringVar(&a.storeAt, "store", defaultStore, "base URL of the platform's store")
	set.StringVar(&a.hostsAt, "hosts", defaultHosts, "base URL of the platform's host list")
	set.StringVar(&a.author, "author", author(), "name under which a change is recorded")
	set.DurationVar(&a.timeout, "timeout", defaultTimeout, "how long to try to record a change and wait for its acceptance")
	return set
}

func author() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return unknownAuthor
}

// group returns a command that has only subcommands.
func (a *app) group(name, short string, subcommands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "ctl " + name + " <command>",
		ShortHelp:   short,
		FlagSet:     a.flags(name),
		Subcommands: subcommands,
		Exec:        needSubcommand("a command after " + name),
	}
}

// leaf returns a command that takes the given number of arguments. Flags may
// stand before, between and after them.
func (a *app) leaf(usage, short, long string, set *flag.FlagSet, arguments int, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       set.Name(),
		ShortUsage: "ctl " + usage,
		ShortHelp:  short,
		LongHelp:   long,
		FlagSet:    set,
		Exec: func(ctx context.Context, args []string) error {
			positional, err := interleaved(set, args)
			if err != nil {
				return err
			}
			if len(positional) != arguments {
				return &usageError{text: fmt.Sprintf("usage: ctl %s", usage)}
			}
			return exec(ctx, positional)
		},
	}
}

// interleaved parses the flags among the arguments.
func interleaved(set *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		if !strings.HasPrefix(args[0], "-") {
			positional = append(positional, args[0])
			args = args[1:]
			continue
		}
		if isHelp(args[0]) {
			return nil, flag.ErrHelp
		}
		if err := set.Parse(args); err != nil {
			return nil, &usageError{text: err.Error()}
		}
		args = set.Args()
	}
	return positional, nil
}

func isHelp(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help"
}

func needSubcommand(what string) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return &usageError{text: fmt.Sprintf("unknown command %q; see ctl --help", args[0])}
		}
		return &usageError{text: "need " + what + "; see ctl --help"}
	}
}

// Error implements error.
func (e *usageError) Error() string { return e.text }

// Error implements error.
func (e *notAcceptedError) Error() string {
	return fmt.Sprintf("revision %d is not accepted yet; still missing: %s", e.revision, missingText(e.missing))
}

func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.out, format, args...) }
