package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

type clusterKey struct{}

var signals = map[string]syscall.Signal{
	"freeze": syscall.SIGSTOP,
	"thaw":   syscall.SIGCONT,
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binariesBuild.dir != "" {
		_ = os.RemoveAll(binariesBuild.dir)
	}
	os.Exit(code)
}

// Runs the scripts in testdata. They guard against failures that only occur
// with separate processes; the head of each script describes one.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			holder := &cluster{}
			env.Values[clusterKey{}] = holder
			env.Defer(func() { holder.close() })
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cluster":  scriptCommand(t, startCluster),
			"ctl":      scriptCommand(t, runCtl),
			"offer":    scriptCommand(t, startFlow),
			"answers":  scriptCommand(t, checkAnswers),
			"within":   scriptCommand(t, checkSlowest),
			"freeze":   scriptCommand(t, sendSignal("freeze")),
			"thaw":     scriptCommand(t, sendSignal("thaw")),
			"crash":    scriptCommand(t, crashProcess),
			"term":     scriptCommand(t, terminate),
			"launch":   scriptCommand(t, relaunch),
			"store":    scriptCommand(t, switchStore),
			"worker":   scriptCommand(t, switchWorkers),
			"host":     scriptCommand(t, setHostState),
			"sleep":    scriptCommand(t, sleep),
			"audit":    scriptCommand(t, checkAudit),
			"runsonce": scriptCommand(t, checkRunsOnce),
			"holds":    scriptCommand(t, checkInvariants),
			"atmost":   scriptCommand(t, checkCodeAtMost),
			"running":  scriptCommand(t, checkRunningAtMost),
			"starts":   scriptCommand(t, recordStarts),
			"nostarts": scriptCommand(t, checkNoNewStarts),
			"race":     scriptCommand(t, raceOperators),
			"cancel":   scriptCommand(t, cancelRequests),
			"live":     scriptCommand(t, waitRunning),
		},
	})
}

type commandFunc func(t *testing.T, ts *testscript.TestScript, c *cluster, args []string) error

// scriptCommand adapts a command to testscript. A "!" before the command makes
// the script expect an error.
func scriptCommand(t *testing.T, do commandFunc) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		c := ts.Value(clusterKey{}).(*cluster)
		err := do(t, ts, c, args)
		if neg && err == nil {
			ts.Fatalf("unexpected success")
		}
		if !neg {
			ts.Check(err)
		}
	}
}

// startCluster implements "cluster ENTRY-HOSTS WORKERS PER-RACK", which starts
// a deployment and waits until it serves requests.
func startCluster(t *testing.T, ts *testscript.TestScript, c *cluster, args []string) error {
	numbers, err := integers(args, 3)
	if err != nil {
		return err
	}
	started, err := newCluster(t, ts.MkAbs("."), numbers[0], numbers[1], numbers[2])
	if started != nil {
		*c = *started
	}
	if err != nil {
		return err
	}
	return c.checkServing()
}

// runCtl implements "ctl ARGUMENT...", which runs an operator's command.
func runCtl(_ *testing.T, ts *testscript.TestScript, c *cluster, args []string) error {
	out, err := c.ctl(args...)
	ts.Logf("%s", out)
	return err
}

// startFlow implements "offer NAME TEAM KIND COUNT RATE RUN-MS LIMIT
// [OPTION...]", which starts to send COUNT requests, RATE per second, and
// returns at once. Their tasks run for RUN-MS milliseconds; LIMIT is their
// deadline.
func startFlow(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	if len(args) < 7 {
		return fmt.Errorf("offer: want at least 7 arguments")
	}
	numbers, err := integers(args[3:6], 3)
	if err != nil {
		return err
	}
	limit, err := time.ParseDuration(args[6])
	if err != nil {
		return err
	}
	f := newFlow(c, args[0], args[1], args[2], numbers[2], limit, args[7:]...)
	c.flows[f.name] = f
	f.group.Go(func() { f.run(numbers[0], float64(numbers[1])) })
	return nil
}

// checkAnswers implements "answers NAME CODE...", which waits for all answers
// of a flow and fails if one is missing, wrong, or has a code that is not
// listed.
func checkAnswers(_ *testing.T, ts *testscript.TestScript, c *cluster, args []string) error {
	f, ok := c.flows[args[0]]
	if !ok {
		return fmt.Errorf("no flow %s", args[0])
	}
	f.group.Wait()
	ts.Logf("%s", f.summary())
	if len(f.problems) > 0 {
		return fmt.Errorf("%d wrong or missing answers: %s", len(f.problems), strings.Join(f.problems[:min(3, len(f.problems))], "; "))
	}
	codes, err := integers(args[1:], len(args)-1)
	if err != nil {
		return err
	}
	allowed := make(map[int]bool)
	for _, code := range codes {
		allowed[code] = true
	}
	var unexpected []string
	for id, a := range f.answers {
		if !allowed[a.Code] {
			unexpected = append(unexpected, fmt.Sprintf("%s after %s: %s", id, a.duration.Round(time.Millisecond), a.Text))
		}
	}
	if len(unexpected) > 0 {
		return fmt.Errorf("unexpected codes: %s: %s", f.summary(), strings.Join(unexpected[:min(3, len(unexpected))], "; "))
	}
	return nil
}

// checkSlowest implements "within NAME DURATION", which fails if the slowest
// answer of the flow took longer.
func checkSlowest(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	limit, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	if slowest := c.flows[args[0]].slowestAnswer(); slowest > limit {
		return fmt.Errorf("slowest answer took %s, limit %s", slowest, limit)
	}
	return nil
}

// sendSignal returns the command of "freeze PROCESS" or "thaw PROCESS", which
// stop and continue a process by signals.
func sendSignal(name string) commandFunc {
	return func(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
		return c.processes[args[0]].signal(signals[name])
	}
}

// crashProcess implements "crash PROCESS", which kills a process.
func crashProcess(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	return c.processes[args[0]].signalAndWait(syscall.SIGKILL, 5*time.Second)
}

// terminate implements "term PROCESS...", which stops the processes one after
// another and fails if one does not exit with status zero.
func terminate(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	for _, name := range args {
		if err := c.processes[name].signalAndWait(syscall.SIGTERM, 30*time.Second); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// relaunch implements "launch PROCESS", which starts a stopped process and
// waits until it is ready.
func relaunch(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	if err := c.processes[args[0]].start(); err != nil {
		return err
	}
	return c.waitReady(args[0])
}

// switchStore implements "store JSON", which injects faults into the store.
func switchStore(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	return c.post(c.storeURL+"/switch", args[0])
}

// switchWorkers implements "worker JSON", which injects faults into workers.
func switchWorkers(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	return c.post(c.workersURL+"/switch", args[0])
}

// setHostState implements "host WORKER STATE", which changes the state of a
// worker in the host list.
func setHostState(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	return c.post(c.hostsURL+"/v1/hosts/"+args[0]+"/state", fmt.Sprintf(`{"state":%q}`, args[1]))
}

func sleep(_ *testing.T, _ *testscript.TestScript, _ *cluster, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// checkAudit implements "audit", which fails if a task ran in two places at
// once or a worker ran tasks beyond its capacity.
func checkAudit(_ *testing.T, ts *testscript.TestScript, c *cluster, _ []string) error {
	audit, err := c.readAudit()
	if err != nil {
		return err
	}
	ts.Logf("audit: %d starts of %d tasks, %d repeated; starts per worker %v", audit.Starts, audit.Tasks, len(audit.Repeated), audit.Workers)
	if len(audit.Concurrent) > 0 || len(audit.OverCapacity) > 0 {
		return fmt.Errorf("in two places: %v; beyond capacity: %v", audit.Concurrent, audit.OverCapacity)
	}
	return nil
}

// checkRunsOnce implements "runsonce NAME", which fails if a request of the
// flow ran more than once, or if its answer is wrong about whether it ran.
func checkRunsOnce(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	f := c.flows[args[0]]
	audit, err := c.readAudit()
	if err != nil {
		return err
	}
	for id, a := range f.answers {
		runs := audit.Runs[taskID(f.team, id)]
		if runs > 1 || a.Run == "no" && runs != 0 || a.Run == "yes" && runs != 1 {
			return fmt.Errorf("%s: %d runs, but code %d says run=%s", id, runs, a.Code, a.Run)
		}
	}
	return nil
}

// checkInvariants implements "holds", which fails if a running process has
// counted a broken invariant.
func checkInvariants(_ *testing.T, _ *testscript.TestScript, c *cluster, _ []string) error {
	broken, err := c.brokenInvariants()
	if err != nil {
		return err
	}
	if len(broken) > 0 {
		return fmt.Errorf("broken invariants: %s", strings.Join(broken, "; "))
	}
	return nil
}

func integers(args []string, n int) ([]int, error) {
	if len(args) != n {
		return nil, fmt.Errorf("want %d numbers, got %d", n, len(args))
	}
	numbers := make([]int, 0, n)
	for _, arg := range args {
		number, err := strconv.Atoi(arg)
		if err != nil {
			return nil, err
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}
