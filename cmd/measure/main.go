// Command measure samples a deployment of stand-ins and entry hosts while load
// is offered, and reports packing, control cost and share distance.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"chervilhollow/tide"
)

type (
	options struct {
		workers   string
		store     string
		processes []process
		marks     string
		out       string
		sheet     string
		shares    map[string]string
		full      float64
		period    time.Duration
		waiting   []string
	}

	// process is one observed process.
	process struct {
		role string
		pid  int
	}
)

const usage = `measure samples a deployment until it gets SIGTERM and then reports, for each
phase of the run: packing, control cost, calls of the store, ended tasks per
second, and each team's distance from its share.

The marks file has one line per phase, "NANOSECONDS NAME", with the Unix time
of its begin; the script that drives the run appends to it. A phase named "-"
is not reported.

Writes PREFIX.csv (the samples), PREFIX-phases.csv, PREFIX-shares.csv,
PREFIX-packing.png, PREFIX-ended.png and PREFIX-teams.png.

Flags:
`

func main() {
	o, err := parseFlags(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err == nil {
		err = o.run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func parseFlags(args []string) (*options, error) {
	o := &options{shares: make(map[string]string)}
	fs := flag.NewFlagSet("measure", flag.ContinueOnError)
	fs.StringVar(&o.workers, "workers", "http://127.0.0.1:7600", "URL of the workers' stand-in")
	fs.StringVar(&o.store, "store", "http://127.0.0.1:7400", "URL of the store's stand-in")
	fs.Func("process", "ROLE:PID of a process to observe; may be repeated", o.addProcess)
	fs.StringVar(&o.marks, "marks", "", "file with the begin of each phase (required)")
	fs.StringVar(&o.out, "out", "", "prefix of the files to write (required)")
	fs.StringVar(&o.sheet, "sheet", "", "planners' sheet with shares and limits")
	fs.Func("shares", "PHASE=MIX: report the distance from the shares in the phase under the demand of the mix; may be repeated", o.addShares)
	fs.Float64Var(&o.full, "full", 0.9, "part of the slots or of a resource from which the cell counts as full")
	fs.Func("waiting", "NAME=FILE: print the waiting times of a CSV report of the load tool, and sample nothing; may be repeated", o.addWaiting)
	fs.DurationVar(&o.period, "period", 200*time.Millisecond, "time between samples")
	fs.Usage = func() {
		fmt.Fprint(fs.Output(), usage)
		fs.PrintDefaults()
	}
	if err := fs.Parse(args); err != nil {
		return nil, err
	}
	if len(o.waiting) > 0 {
		return o, nil
	}
	if o.marks == "" || o.out == "" || fs.NArg() > 0 {
		return nil, errors.New("want -marks FILE, -out PREFIX and no arguments; see -help")
	}
	return o, nil
}

func (o *options) addProcess(text string) error {
	role, pid, _ := strings.Cut(text, ":")
	number, err := strconv.Atoi(pid)
	if err != nil || role == "" {
		return fmt.Errorf("want ROLE:PID, got %q", text)
	}
	o.processes = append(o.processes, process{role: role, pid: number})
	return nil
}

func (o *options) addShares(text string) error {
	phase, mix, ok := strings.Cut(text, "=")
	if !ok {
		return fmt.Errorf("want PHASE=MIX, got %q", text)
	}
	o.shares[phase] = mix
	return nil
}

func (o *options) addWaiting(text string) error {
	o.waiting = append(o.waiting, text)
	return nil
}

func (o *options) run() error {
	if len(o.waiting) > 0 {
		return printWaiting(os.Stdout, o.waiting)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	samples := newSampler(o, tide.New()).run(ctx)
	marks, err := readMarks(o.marks)
	if err != nil {
		return err
	}
	phases := split(samples, marks)
	printPhases(os.Stdout, phases, o.roles())
	distances, err := o.distances(phases)
	if err != nil {
		return err
	}
	printDistances(os.Stdout, distances)
	return errors.Join(
		writeFile(o.out+".csv", samplesTable(samples, phases)),
		writeFile(o.out+"-phases.csv", phasesTable(phases, o.roles())),
		writeFile(o.out+"-shares.csv", distancesTable(distances)),
		plotPacking(o.out+"-packing.png", samples, phases),
		plotEnded(o.out+"-ended.png", samples, phases),
		plotTeams(o.out+"-teams.png", samples, phases),
	)
}

// roles returns the roles of the observed processes in order of appearance.
func (o *options) roles() []string {
	var roles []string
	seen := make(map[string]bool)
	for _, p := range o.processes {
		if !seen[p.role] {
			seen[p.role] = true
			roles = append(roles, p.role)
		}
	}
	return roles
}
