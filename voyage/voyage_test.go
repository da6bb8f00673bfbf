package voyage

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
	if build.dir != "" {
		_ = os.RemoveAll(build.dir)
	}
	os.Exit(code)
}

// Guards against faults that only whole processes show: each script names the
// failure that it is for.
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
			"cluster":  scripted(t, startCluster),
			"ctl":      scripted(t, runCtl),
			"offer":    scripted(t, offer),
			"answers":  scripted(t, answers),
			"within":   scripted(t, within),
			"freeze":   scripted(t, sendSignal("freeze")),
			"thaw":     scripted(t, sendSignal("thaw")),
			"crash":    scripted(t, crash),
			"term":     scripted(t, term),
			"launch":   scripted(t, launch),
			"store":    scripted(t, storeSwitch),
			"worker":   scripted(t, workerSwitch),
			"host":     scripted(t, hostState),
			"sleep":    scripted(t, pause),
			"audit":    scripted(t, checkAudit),
			"runsonce": scripted(t, runsOnce),
			"holds":    scripted(t, invariantsHold),
			"atmost":   scripted(t, atMost),
			"running":  scripted(t, runningAtMost),
			"starts":   scripted(t, noteStarts),
			"nostarts": scripted(t, noNewStarts),
			"race":     scripted(t, race),
			"cancel":   scripted(t, cancel),
			"live":     scripted(t, liveTasks),
		},
	})
}

type command func(t *testing.T, ts *testscript.TestScript, c *cluster, args []string) error

// scripted adapts a command; "!" before it expects an error.
func scripted(t *testing.T, do command) func(*testscript.TestScript, bool, []string) {
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

// startCluster: cluster ENTRY-HOSTS WORKERS PER-RACK.
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
	return c.probe()
}

func runCtl(_ *testing.T, ts *testscript.TestScript, c *cluster, args []string) error {
	out, err := c.ctl(args...)
	ts.Logf("%s", out)
	return err
}

// offer: offer NAME TEAM KIND COUNT RATE RUN-MS LIMIT [OPTION...]. It returns
// at once.
func offer(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	if len(args) < 7 {
		return fmt.Errorf("offer: 7 arguments wanted")
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

// answers: answers NAME CODE... waits for all answers of a flow and fails if
// one is missing, wrong, or has another code than those given.
func answers(_ *testing.T, ts *testscript.TestScript, c *cluster, args []string) error {
	f, ok := c.flows[args[0]]
	if !ok {
		return fmt.Errorf("no flow %s", args[0])
	}
	f.group.Wait()
	ts.Logf("%s", f.summary())
	if len(f.faults) > 0 {
		return fmt.Errorf("%d faults: %s", len(f.faults), strings.Join(f.faults[:min(3, len(f.faults))], "; "))
	}
	codes, err := integers(args[1:], len(args)-1)
	if err != nil {
		return err
	}
	allowed := make(map[int]bool)
	for _, code := range codes {
		allowed[code] = true
	}
	for code := range f.codes() {
		if !allowed[code] {
			return fmt.Errorf("unexpected codes: %s", f.summary())
		}
	}
	return nil
}

// within: within NAME DURATION fails if the slowest answer took longer.
func within(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	limit, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	if slowest := c.flows[args[0]].slowest(); slowest > limit {
		return fmt.Errorf("slowest answer took %s, limit %s", slowest, limit)
	}
	return nil
}

func sendSignal(name string) command {
	return func(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
		return c.processes[args[0]].signal(signals[name])
	}
}

func crash(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	return c.processes[args[0]].end(syscall.SIGKILL, 5*time.Second)
}

// term ends processes one after the other and fails if one does not exit with
// status zero.
func term(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	for _, name := range args {
		if err := c.processes[name].end(syscall.SIGTERM, 30*time.Second); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func launch(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	if err := c.processes[args[0]].start(); err != nil {
		return err
	}
	return c.ready(args[0])
}

// storeSwitch: store JSON.
func storeSwitch(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	return c.post(c.store+"/switch", args[0])
}

// workerSwitch: worker JSON.
func workerSwitch(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	return c.post(c.workers+"/switch", args[0])
}

// hostState: host WORKER STATE.
func hostState(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	return c.post(c.hosts+"/v1/hosts/"+args[0]+"/state", fmt.Sprintf(`{"state":%q}`, args[1]))
}

func pause(_ *testing.T, _ *testscript.TestScript, _ *cluster, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// checkAudit fails if the workers saw a task in two places or a host above its
// room.
func checkAudit(_ *testing.T, ts *testscript.TestScript, c *cluster, _ []string) error {
	audit, err := c.audit()
	if err != nil {
		return err
	}
	ts.Logf("audit: %d starts of %d tasks, %d repeated; starts per worker %v", audit.Starts, audit.Tasks, len(audit.Repeated), audit.Workers)
	if len(audit.Concurrent) > 0 || len(audit.AboveRoom) > 0 {
		return fmt.Errorf("in two places: %v; above room: %v", audit.Concurrent, audit.AboveRoom)
	}
	return nil
}

// runsOnce: runsonce NAME fails if a request of the flow ran more than once,
// or not in accordance with its answer.
func runsOnce(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	f := c.flows[args[0]]
	audit, err := c.audit()
	if err != nil {
		return err
	}
	for id, a := range f.answers {
		runs := audit.Runs[taskOf(f.team, id)]
		if runs > 1 || a.Run == "no" && runs != 0 || a.Run == "yes" && runs != 1 {
			return fmt.Errorf("%s: %d runs, but code %d says run=%s", id, runs, a.Code, a.Run)
		}
	}
	return nil
}

func invariantsHold(_ *testing.T, _ *testscript.TestScript, c *cluster, _ []string) error {
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
		return nil, fmt.Errorf("%d numbers wanted, got %d", n, len(args))
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
