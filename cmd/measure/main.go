// Command measure samples a running deployment at a fixed period, and reports
// for each phase of the run how full the workers were (packing), what the
// scheduler's processes cost, and how far each team was from its fair share.
//
// It reads the totals of the workers' stand-in, the call counts of the store's
// stand-in, and /proc for the observed processes (sampler.go). phase.go divides
// the samples into phases, shares.go computes the fair shares, and report.go
// and plot.go write the results. With -waiting it only formats reports of the
// load tool (waiting.go).
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

	"chervilhollow/timers"
)

type (
	// options holds the command line. mixByPhase maps the name of a phase to
	// the mix file that describes its demand.
	options struct {
		workersURL     string
		storeURL       string
		processes      []process
		marksFile      string
		outPrefix      string
		sheetFile      string
		mixByPhase     map[string]string
		fullThreshold  float64
		period         time.Duration
		waitingReports []string
	}

	// process is an observed process. Costs are summed over the processes of a
	// role, such as gate or placer.
	process struct {
		role string
		pid  int
	}
)

const usageText = `measure samples a deployment until it gets SIGTERM and then reports, for each
phase of the run: packing, resource use of the observed processes, calls of the
store, completed tasks per second, and each team's distance from its fair share.

The marks file has one line per phase, "NANOSECONDS NAME", with the Unix time
of its start; the script that drives the run appends to it. A phase named "-"
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
	o := &options{mixByPhase: make(map[string]string)}
	fs := flag.NewFlagSet("measure", flag.ContinueOnError)
	fs.StringVar(&o.workersURL, "workers", "http://127.0.0.1:7600", "URL of the workers' stand-in")
	fs.StringVar(&o.storeURL, "store", "http://127.0.0.1:7400", "URL of the store's stand-in")
	fs.Func("process", "ROLE:PID of a process to observe; may be repeated", o.addProcess)
	fs.StringVar(&o.marksFile, "marks", "", "file with the start of each phase (required)")
	fs.StringVar(&o.outPrefix, "out", "", "prefix of the files to write (required)")
	fs.StringVar(&o.sheetFile, "sheet", "", "planners' sheet with shares and limits")
	fs.Func("shares", "PHASE=MIX: report the distance from the fair shares in the phase under the demand of the mix; may be repeated", o.addShares)
	fs.Float64Var(&o.fullThreshold, "full", 0.9, "fraction of the slots or of a resource from which the cell counts as full")
	fs.Func("waiting", "NAME=FILE: print the waiting times of a CSV report of the load tool and do not sample; may be repeated", o.addWaiting)
	fs.DurationVar(&o.period, "period", 200*time.Millisecond, "time between samples")
	fs.Usage = func() {
		fmt.Fprint(fs.Output(), usageText)
		fs.PrintDefaults()
	}
	if err := fs.Parse(args); err != nil {
		return nil, err
	}
	if len(o.waitingReports) > 0 {
		return o, nil
	}
	if o.marksFile == "" || o.outPrefix == "" || fs.NArg() > 0 {
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
	o.mixByPhase[phase] = mix
	return nil
}

func (o *options) addWaiting(text string) error {
	o.waitingReports = append(o.waitingReports, text)
	return nil
}

// run samples until SIGTERM or SIGINT, then prints the tables and writes the
// files.
func (o *options) run() error {
	if len(o.waitingReports) > 0 {
		return printWaiting(os.Stdout, o.waitingReports)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	samples := newSampler(o, timers.New()).run(ctx)
	marks, err := readMarks(o.marksFile)
	if err != nil {
		return err
	}
	phases := splitPhases(samples, marks)
	printPhases(os.Stdout, phases, o.roles())
	distances, err := o.distances(phases)
	if err != nil {
		return err
	}
	printDistances(os.Stdout, distances)
	return errors.Join(
		writeFile(o.outPrefix+".csv", samplesTable(samples, phases)),
		writeFile(o.outPrefix+"-phases.csv", phasesTable(phases, o.roles())),
		writeFile(o.outPrefix+"-shares.csv", distancesTable(distances)),
		plotPacking(o.outPrefix+"-packing.png", samples, phases),
		plotEnded(o.outPrefix+"-ended.png", samples, phases),
		plotTeams(o.outPrefix+"-teams.png", samples, phases),
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
