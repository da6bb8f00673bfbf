package scheduler

import (
	"bufio"
	"os"
	"strings"
	"testing"
	"time"

	"chervilhollow/order"
)

// exitCase is a line of testdata/exits.txt.
type exitCase struct {
	name      string
	draining  bool
	changed   bool
	age       time.Duration
	suspended time.Duration
	removal   string
	refused   bool
	soon      bool
}

// Guards against a second run of each task of a live worker that is cut off from the store while its connections are refused.
func TestNoRestartWhileUnlistedWorkerRefusesConnections(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1", "w2"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	cutOff := s.order.to.worker
	d.answerPoll(cutOff, []RunningTask{NewRunningTask(s.order.task, 1, "", 10)}, nil)
	d.advance(50 * time.Millisecond)
	leaseEnd := d.m.workers[cutOff].leaseEnd
	d.failPoll(cutOff, errRefused)
	d.advance(4500 * time.Millisecond)
	d.feed(deletion(cutOff))
	d.refuseUntil(cutOff, errRefused, leaseEnd)
	d.is.Equal(d.startedOf(testJob), 0)
	d.advance(200 * time.Millisecond)
	d.is.Equal(d.startedOf(testJob), 1)
}

// Guards against an absent entry or a refused connection that counts as an exit, and against a planned exit that waits for the lease.
func TestRestartsAfterExit(t *testing.T) {
	for _, c := range readExits(t) {
		t.Run(c.name, func(t *testing.T) { c.play(t) })
	}
}

func (c exitCase) play(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1", "w2"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	id := s.order.to.worker
	entry := NewWorkersMsg([]WorkerInfo{workerInfo(id, 1).WithIncarnation(1, c.draining)}, nil, false)
	if c.changed {
		entry = entry.WithChangedAfter(d.now.Add(feedInterval), d.m.suspended)
	}
	d.feed(entry)
	removedAt := d.now.Add(c.age)
	d.answerPoll(id, []RunningTask{NewRunningTask(s.order.task, 1, "", 10)}, nil)
	d.advance(50 * time.Millisecond)
	leaseEnd := d.m.workers[id].leaseEnd
	err := errCut
	if c.refused {
		err = errRefused
	}
	if c.removal == "outage" {
		d.unconfirmed = true
	}
	d.refuseUntil(id, err, removedAt)
	d.unconfirmed = false
	d.m.Handle(d.now, SuspendedMsg{total: c.suspended})
	switch c.removal {
	case "deleted", "outage":
		d.feed(deletion(id))
	case "unreadable":
		d.feed(NewWorkersMsg(nil, []order.WorkerID{id}, false))
	}
	soon := 2 * pollRetryDelay
	if d.now.Add(soon).After(leaseEnd) {
		t.Fatalf("the lease ends %s after the removal", leaseEnd.Sub(d.now))
	}
	d.refuseUntil(id, err, d.now.Add(soon))
	if c.soon {
		d.is.Equal(d.startedOf(testJob), 1)
		return
	}
	d.refuseUntil(id, err, leaseEnd)
	d.is.Equal(d.startedOf(testJob), 0)
	d.refuseUntil(id, err, leaseEnd.Add(200*time.Millisecond))
	d.is.Equal(d.startedOf(testJob), 1)
}

// readExits returns the cases of testdata/exits.txt.
func readExits(t *testing.T) []exitCase {
	t.Helper()
	file, err := os.Open("testdata/exits.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var cases []exitCase
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		f := strings.Fields(lines.Text())
		c := exitCase{name: f[0], draining: f[1] == "yes", changed: f[2] != "unknown", removal: f[4], refused: f[5] == "yes", soon: f[6] == "soon"}
		if c.changed {
			c.age = parseDuration(t, f[2])
		}
		c.suspended = parseDuration(t, f[3])
		cases = append(cases, c)
	}
	if len(cases) == 0 {
		t.Fatal("no cases in testdata/exits.txt")
	}
	return cases
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	length, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return length
}

// deletion returns the input for the deleted entry of a worker.
func deletion(id order.WorkerID) WorkersMsg {
	ids := []order.WorkerID{id}
	return NewWorkersMsg(nil, ids, false).WithDeleted(ids)
}

// refuseUntil lets time pass until shortly before the end, and fails each poll of
// the worker.
func (d *driver) refuseUntil(id order.WorkerID, err error, end time.Time) {
	d.t.Helper()
	for d.now.Add(feedInterval + 20*time.Millisecond).Before(end) {
		d.failOpenPoll(id, err)
		d.advance(20 * time.Millisecond)
	}
}

// failOpenPoll answers the poll of the worker with the error, if one is open.
func (d *driver) failOpenPoll(id order.WorkerID, err error) {
	d.t.Helper()
	if _, open := d.openPoll(map[order.WorkerID]bool{id: true}); open {
		d.failPoll(id, err)
	}
}

// Guards against a second run on behalf of a draining worker that reports after its entry was deleted.
func TestWorkerThatReportsAfterItsDeletionHasNotLeft(t *testing.T) {
	r := newDrainedRun(t)
	r.advance(2 * time.Second)
	r.feed(deletion(r.id))
	for range 3 {
		r.answerPoll(r.id, r.running, nil)
		r.advance(100 * time.Millisecond)
	}
	r.failPoll(r.id, errCut)
	r.advance(100 * time.Millisecond)
	r.noSecondRun()
}

// Guards against a poll that failed before the deletion of the entry and counts as a sign of the exit.
func TestFailureBeforeTheDeletionIsNoExit(t *testing.T) {
	r := newDrainedRun(t)
	r.advance(2 * time.Second)
	r.failPoll(r.id, errCut)
	r.advance(2 * pollRetryDelay) // the next poll is under way
	r.feed(deletion(r.id))
	r.advance(100 * time.Millisecond)
	r.noSecondRun()
}
