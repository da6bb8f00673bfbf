package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/policy"
)

// replaceQueue removes the queue of the test's jobs, and adds one of another name in its place.
func (d *driver) replaceQueue() {
	q := policy.NewQueue("replacement", testHost, "/proofs/", "press").WithAttempts(3).WithObjective(2, time.Second)
	team := policy.NewTeam(testTeam, []string{testKey}, 1, order.Resources{})
	d.feed(NewConfigMsg(policy.NewConfig(2, []policy.Queue{q}, []policy.Team{team}), nil))
}

// A job must go on as accepted after its queue was removed, also at a later owner.
func TestJobGoesOnAfterItsQueueIsRemoved(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.submit(1, smallStep(1), smallStep(1).WithAfter([]int{0}))
	d.commitAll()
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	value, err := d.m.jobs[jobID(1)].record().MarshalCBOR()
	d.is.NoErr(err)
	d.replaceQueue()
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(1, s.order.task, 1, ResultDone, "")})
	d.advance(100 * time.Millisecond)
	d.is.Equal(d.startedOf(jobID(1)), 1)

	n := newDriver(t, testEpoch+1)
	n.m.Restore(entries(jobKey(jobID(1)), value))
	n.replaceQueue()
	n.addWorkers("w1")
	n.advance(100 * time.Millisecond)
	n.is.Equal(n.startedOf(jobID(1)), 1)
}

// A removed queue must not take away the limit on failed attempts.
func TestAttemptsAreLimitedAfterQueueIsRemoved(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.submit(1, smallStep(1))
	d.commitAll()
	d.replaceQueue()
	j := d.m.jobs[jobID(1)]
	for run := 1; run <= 3; run++ {
		d.m.recordFailure(d.now, d.m.workers["w1"], j.steps[0].tasks[0], NewEndedTask(int64(run), NewTaskRef(j.id, 0, 0, 0), run, ResultFailed, ""))
	}
	d.is.Equal(j.state, order.JobFailed)
}

// The stored definition of a queue must lose nothing that placement uses.
func TestQueueDefinitionSurvivesStorage(t *testing.T) {
	is := is.New(t)
	q := policy.NewQueue(testQueue, "", "", "press").WithPriority(2).WithAttempts(4).WithObjective(1.5, time.Second).
		WithAdvice(policy.NewAdvice(time.Millisecond, 2*time.Millisecond, time.Minute))
	value, err := queueRecord(q).MarshalCBOR()
	is.NoErr(err)
	var r order.QueueRecord
	is.NoErr(r.UnmarshalCBOR(value))
	is.Equal(restoreQueue(testQueue, r), q)
}
