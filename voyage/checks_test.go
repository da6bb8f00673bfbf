package voyage

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

// atMost: atmost NAME CODE N fails if more answers of the flow have the code.
func atMost(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	numbers, err := integers(args[1:], 2)
	if err != nil {
		return err
	}
	if n := c.flows[args[0]].codes()[numbers[0]]; n > numbers[1] {
		return fmt.Errorf("%d answers have code %d, allowed are %d", n, numbers[0], numbers[1])
	}
	return nil
}

// runningAtMost: running TEAM N watches the workers for two seconds and fails
// if they run more tasks of the team at once.
func runningAtMost(_ *testing.T, ts *testscript.TestScript, c *cluster, args []string) error {
	numbers, err := integers(args[1:], 1)
	if err != nil {
		return err
	}
	highest := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		audit, err := c.audit()
		if err != nil {
			return err
		}
		highest = max(highest, audit.Teams[order.TeamName(args[0])])
	}
	ts.Logf("%s: at most %d running", args[0], highest)
	if highest > numbers[0] {
		return fmt.Errorf("%d tasks of %s ran at once, limit %d", highest, args[0], numbers[0])
	}
	return nil
}

// noteStarts: starts remembers the starts on each worker.
func noteStarts(_ *testing.T, _ *testscript.TestScript, c *cluster, _ []string) error {
	audit, err := c.audit()
	if err != nil {
		return err
	}
	c.noted = audit.Workers
	if len(audit.Workers) == 0 {
		return errors.New("the audit has no starts per worker")
	}
	return nil
}

// noNewStarts: nostarts WORKER... fails if a worker started a task since.
func noNewStarts(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	audit, err := c.audit()
	if err != nil {
		return err
	}
	for _, arg := range args {
		worker := order.WorkerID(arg)
		if audit.Workers[worker] != c.noted[worker] {
			return fmt.Errorf("%s started %d tasks", worker, audit.Workers[worker]-c.noted[worker])
		}
	}
	return nil
}

// cancel: cancel NAME N cancels the first N requests of a flow at once.
func cancel(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
	numbers, err := integers(args[1:], 1)
	if err != nil {
		return err
	}
	c.flows[args[0]].cancel(numbers[0])
	return nil
}

// liveTasks: live TEAM N DURATION waits until exactly N tasks of the team run.
func liveTasks(_ *testing.T, _ *testscript.TestScript, c *cluster, args []string) error {
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
		audit, err := c.audit()
		if err != nil {
			return err
		}
		if running = audit.Teams[order.TeamName(args[0])]; running == numbers[0] {
			return nil
		}
	}
	return fmt.Errorf("%d tasks of %s run, wanted %d within %s", running, args[0], numbers[0], limit)
}

// race: race N TEAM lets N operators change the team at once and fails unless
// each recorded change has a revision of its own and the others had a conflict.
func race(_ *testing.T, ts *testscript.TestScript, c *cluster, args []string) error {
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
				return fmt.Errorf("two operators were told %q", line)
			}
			recorded[line] = true
		}
	}
	if len(recorded) == 0 {
		return errors.New("no change was recorded")
	}
	return nil
}
