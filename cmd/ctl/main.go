// Command ctl is the operators' command-line tool. It shows and changes the
// configuration of the cell (teams, keys, shares, limits and failure domains)
// and waits until every process has applied a change.
//
// The commands are assembled in main.go, change.go records changes, wait.go
// waits for their acceptance, and show.go prints configuration and members.
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

	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// app holds the clock, the outputs and the flag values that all commands
	// share.
	app struct {
		clock    timers.Clock
		out      io.Writer
		errOut   io.Writer
		storeURL string
		hostsURL string
		author   string
		timeout  time.Duration
	}

	// usageError reports invalid arguments; run then returns exitUsage.
	usageError struct{ text string }

	// notAcceptedError reports that the wait ended before all processes had
	// applied the revision, and lists the ones that had not.
	notAcceptedError struct {
		revision order.Revision
		pending  []pendingMember
	}
)

// Exit statuses, described in rootHelp.
const (
	exitOK = iota
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
	fallbackAuthor = "unknown"
)

const rootHelp = `ctl changes and shows the configuration of the cell: teams, keys, shares,
limits and failure domains.

Each change is atomic. It is "recorded" with a new revision when it is in the
store, and "accepted" when every process that may act has applied it. Until
then ctl prints the processes that it waits for. Interrupting ctl does not undo
a change; "ctl wait REVISION" waits again. If another operator's change was
recorded first, nothing is recorded and the other change is printed.

A change that would alter nothing is not recorded; ctl then waits for the
present revision.

Flags may also be given as environment variables: CTL_STORE, CTL_HOSTS,
CTL_AUTHOR, CTL_TIMEOUT.

Exit status:
  0  done, and accepted if it was a change
  1  failed; nothing was recorded
  2  invalid arguments
  3  recorded, but not accepted before the timeout
  4  conflict with another operator's change; nothing was recorded
  5  the store's answer was lost: the change may have been recorded, or may
     still be if the store executes it late; "ctl show" prints the latest
     changes`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, timers.New(), os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run executes the command in args and returns the exit status.
func run(ctx context.Context, clock timers.Clock, args []string, out, errOut io.Writer) int {
	a := &app{clock: clock, out: out, errOut: errOut}
	root := a.rootCommand()
	err := root.Parse(args)
	switch {
	case err == nil:
		err = root.Run(ctx)
	case !errors.Is(err, flag.ErrHelp):
		err = &usageError{text: err.Error()}
	}
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(errOut, "ctl:", err)
	}
	return exitStatus(err)
}

func exitStatus(err error) int {
	var (
		usage       *usageError
		notAccepted *notAcceptedError
		conflict    *sheet.ConflictError
	)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &notAccepted):
		return exitNotAccepted
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, storage.ErrUncertain):
		return exitUncertain
	}
	return exitFailed
}

func (a *app) rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "ctl",
		ShortUsage: "ctl <command> [flags] [arguments]",
		LongHelp:   rootHelp,
		FlagSet:    a.newFlagSet("ctl"),
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       requireSubcommand("a command"),
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

// newFlagSet returns a flag set with the flags that all commands share. Every
// command has its own set, so that the shared flags may be given before or
// after the name of a command. All sets are made before one is parsed, because
// making a set resets the shared values to their defaults.
func (a *app) newFlagSet(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(a.errOut)
	set.StringVar(&a.storeURL, "store", defaultStore, "base URL of the platform's store")
	set.StringVar(&a.hostsURL, "hosts", defaultHosts, "base URL of the platform's host list")
	set.StringVar(&a.author, "author", defaultAuthor(), "name under which a change is recorded")
	set.DurationVar(&a.timeout, "timeout", defaultTimeout, "how long to try to record a change and wait for its acceptance")
	return set
}

// defaultAuthor returns the login name.
func defaultAuthor() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return fallbackAuthor
}

// groupCommand returns a command that only has subcommands and does nothing
// itself.
func (a *app) groupCommand(name, short string, subcommands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "ctl " + name + " <command>",
		ShortHelp:   short,
		FlagSet:     a.newFlagSet(name),
		Subcommands: subcommands,
		Exec:        requireSubcommand("a command after " + name),
	}
}

// leafCommand returns a command that runs exec with exactly argCount positional
// arguments. Flags may be given before, between and after them.
func (a *app) leafCommand(usage, short, long string, set *flag.FlagSet, argCount int, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       set.Name(),
		ShortUsage: "ctl " + usage,
		ShortHelp:  short,
		LongHelp:   long,
		FlagSet:    set,
		Exec: func(ctx context.Context, args []string) error {
			positional, err := parseInterleaved(set, args)
			if err != nil {
				return err
			}
			if len(positional) != argCount {
				return &usageError{text: fmt.Sprintf("usage: ctl %s", usage)}
			}
			return exec(ctx, positional)
		},
	}
}

// parseInterleaved parses the flags in args and returns the positional
// arguments. The flag package itself stops at the first positional argument.
func parseInterleaved(set *flag.FlagSet, args []string) ([]string, error) {
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

// requireSubcommand returns the function of a command that cannot run without a
// subcommand. It always returns a usageError.
func requireSubcommand(what string) func(context.Context, []string) error {
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
	return fmt.Sprintf("revision %d is not accepted yet; still missing: %s", e.revision, formatPending(e.pending))
}

func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.out, format, args...) }
