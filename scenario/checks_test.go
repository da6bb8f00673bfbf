package scenario

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"chervilhollow/order"
)

// checkCodeAtMost implements "atmost NAME CODE N", which fails if more than N
// answers of the flow have the code.
func checkCodeAtMost(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	numbers, err := integers(args[1:], 2)
	if err != nil {
		return err
	}
	if n := c.flows[args[0]].countCodes()[numbers[0]]; n > numbers[1] {
		return fmt.Errorf("%d answers have code %d, want at most %d", n, numbers[0], numbers[1])
	}
	return nil
}

// checkRunningAtMost implements "running TEAM N", which polls the workers for
// two seconds and fails if they run more than N tasks of the team at once.
func checkRunningAtMost(_ *testing.T, ts *testscript.TestScript, c *cluster, args []string) error {
	numbers, err := integers(args[1:], 1)
	if err != nil {
		return err
	}
	maxRunning := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		audit, err := c.readAudit()
		if err != nil {
			return err
		}
		maxRunning = max(maxRunning, audit.Teams[order.TeamName(args[0])])
	}
	ts.Logf("%s: at most %d running", args[0], maxRunning)
	if maxRunning > numbers[0] {
		return fmt.Errorf("%d tasks of team %s ran at once, limit %d", maxRunning, args[0], numbers[0])
	}
	return nil
}

// recordStarts implements "starts", which records the number of starts on each
// worker for "nostarts".
func recordStarts(_ *testing.T, _ *testscript.TestScript, c *cluster, _ []string) error {
	audit, err := c.readAudit()
	if err != nil {
		return err
	}
	c.recordedStarts = audit.Workers
	if len(audit.Workers) == 0 {
		return errors.New("the audit has no starts per worker")
	}
	return nil
}

// checkNoNewStarts implements "nostarts WORKER...", which fails if one of the
// workers has started a task since "starts".
func checkNoNewStarts(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	audit, err := c.readAudit()
	if err != nil {
		return err
	}
	for _, arg := range args {
		worker := order.WorkerID(arg)
		if audit.Workers[worker] != c.recordedStarts[worker] {
			return fmt.Errorf("worker %s started %d new tasks", worker, audit.Workers[worker]-c.recordedStarts[worker])
		}
	}
	return nil
}

// cancelRequests implements "cancel NAME N", which cancels the first N requests
// of a flow concurrently.
func cancelRequests(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	numbers, err := integers(args[1:], 1)
	if err != nil {
		return err
	}
	c.flows[args[0]].cancel(numbers[0])
	return nil
}

// waitRunning implements "live TEAM N DURATION", which waits until exactly N
// tasks of the team run and fails after the duration.
func waitRunning(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	numbers, err := integers(args[1:2], 1)
	if err != nil {
		return err
	}
	limit, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	running := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		audit, err := c.readAudit()
		if err != nil {
			return err
		}
		if running = audit.Teams[order.TeamName(args[0])]; running == numbers[0] {
			return nil
		}
	}
	return fmt.Errorf("%d tasks of team %s run, want %d within %s", running, args[0], numbers[0], limit)
}

// raceOperators implements "race N TEAM", in which N operators change the team
// at the same time. It fails if two changes are recorded under the same
// revision or none is recorded.
func raceOperators(_ *testing.T, ts *testscript.TestScript, c *cluster, args []string) error {
	numbers, err := integers(args[:1], 1)
	if err != nil {
		return err
	}
	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		outputs []string
	)
	for i := range numbers[0] {
		group.Go(func() {
			out, _ := c.ctl("team", "set", args[1], "--limit", fmt.Sprint(30+i))
			mu.Lock()
			defer mu.Unlock()
			outputs = append(outputs, out)
		})
	}
	group.Wait()
	recorded := make(map[string]bool)
	for _, out := range outputs {
		line, _, _ := strings.Cut(out, "\n")
		ts.Logf("%s", line)
		if strings.HasPrefix(line, "recorded revision") {
			if recorded[line] {
				return fmt.Errorf("two operators received %q", line)
			}
			recorded[line] = true
		}
	}
	if len(recorded) == 0 {
		return errors.New("no change was recorded")
	}
	return nil
}
