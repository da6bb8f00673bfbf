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
	d.configureQueues(2, policy.NewQueue("replacement", testHost, "/proofs/", "press").WithAttempts(3).WithObjective(2, time.Second))
}

// configureQueues sets a configuration with the queues and one team.
func (d *driver) configureQueues(revision order.Revision, queues ...policy.Queue) {
	team := policy.NewTeam(testTeam, []string{testKey}, 1, order.Resources{})
	d.feed(NewConfigMsg(policy.NewConfig(revision, queues, []policy.Team{team}), nil))
}

// countWaiting returns the answer to a client that asks how many jobs wait.
func (d *driver) countWaiting(path string) int {
	d.feed(NewCallMsg("client", order.JobCallMsg{}.WithCall(8).WithVerb(order.CountWaiting).WithHost(testHost).WithPath(path).WithKey(testKey)))
	for r, ok := d.takeReply(); ok; r, ok = d.takeReply() {
		if r.Call() == 8 {
			return r.Waiting()
		}
	}
	d.t.Fatal("no answer")
	return 0
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
	q := policy.NewQueue(testQueue, testHost, "/proofs/", "press").WithPriority(2).WithAttempts(4).WithObjective(1.5, time.Second).
		WithAdvice(policy.NewAdvice(time.Millisecond, 2*time.Millisecond, time.Minute))
	value, err := queueRecord(q).MarshalCBOR()
	is.NoErr(err)
	var r order.QueueRecord
	is.NoErr(r.UnmarshalCBOR(value))
	is.Equal(restoreQueue(testQueue, r), q)
}

// A job must not follow the name of its queue to a queue of other clients and
// another service, which may have no worker for it.
func TestJobKeepsItsQueueWhenTheNameIsReused(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1), smallStep(1).WithAfter([]int{0}))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	value, err := d.m.jobs[testJob].record().MarshalCBOR()
	d.is.NoErr(err)
	reused := policy.NewQueue(testQueue, "other.example", "/quotes/", "barges").WithAttempts(1)
	d.configureQueues(2, reused)
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(1, s.order.task, 1, ResultFailed, "")})
	d.advance(5 * time.Second)
	d.is.Equal(d.m.jobs[testJob].state, order.JobPending) // its queue allows three attempts
	d.is.Equal(d.startedOf(testJob), 1)

	n := newDriver(t, testEpoch+1)
	n.m.Restore(entries(jobKey(testJob), value))
	n.configureQueues(2, reused)
	n.addWorkers("w1")
	n.advance(100 * time.Millisecond)
	n.is.Equal(n.startedOf(testJob), 1)
}

// Jobs must follow their queues when these exchange their names.
func TestJobsFollowQueuesThatExchangeNames(t *testing.T) {
	d := newDriver(t, testEpoch)
	urgent := policy.NewQueue("urgent", testHost, "/previews/", "press").WithObjective(2, time.Second)
	batch := policy.NewQueue("batch", testHost, "/proofs/", "press").WithObjective(2, time.Second).WithPriority(3)
	d.configureQueues(1, urgent, batch)
	d.addWorkers("w1")
	d.submit(1, smallStep(1))
	d.commitAll()
	d.configureQueues(2, policy.NewQueue("batch", testHost, "/previews/", "press").WithObjective(2, time.Second),
		policy.NewQueue("urgent", testHost, "/proofs/", "press").WithObjective(2, time.Second).WithPriority(4))
	q, ok := d.m.queueOf(d.m.jobs[jobID(1)])
	d.is.True(ok)
	d.is.Equal(q.Priority(), 4)
}

// A job must not follow the name of its removed queue to one at another address,
// which may need no advice: its starts would lack the tickets.
func TestJobKeepsItsAdviceWhenTheNameIsReused(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(testAdvice, order.Resources{})
	d.submit(1, smallStep(1))
	d.commitAll()
	d.configureQueues(2, policy.NewQueue(testQueue, testHost, "/quotes/", "press").WithObjective(2, time.Second))
	q, ok := d.m.queueOf(d.m.jobs[jobID(1)])
	d.is.True(ok)
	d.is.True(q.Advice().Needed())
}

// The jobs of a renamed queue must stay in the number of those that wait there,
// and must not count for a later queue of the old name.
func TestCountsWaitingJobsOfRenamedQueue(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.submit(1, smallStep(1))
	d.commitAll()
	renamed := policy.NewQueue("renamed", testHost, "/proofs/", "press")
	d.configureQueues(2, renamed, policy.NewQueue(testQueue, testHost, "/quotes/", "barges"))
	d.is.Equal(d.countWaiting("/proofs/"), 1)
	d.is.Equal(d.countWaiting("/quotes/"), 0)
}

// The limit of a team must hold for its accepted jobs after a configuration has
// removed the team, also at a later owner.
func TestTeamLimitHoldsAfterTeamIsRemoved(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.NewResources(4000, 0, 0))
	d.submit(1, smallStep(5))
	d.commitAll()
	q, ok := d.m.config.Queue(testQueue)
	d.is.True(ok)
	lowered := policy.NewTeam(testTeam, []string{testKey}, 1, order.NewResources(2000, 0, 0))
	d.feed(NewConfigMsg(policy.NewConfig(2, []policy.Queue{q}, []policy.Team{lowered}), nil))
	d.advance(2 * flushInterval)
	c, ok := d.takeCommit()
	d.is.True(ok)
	value := c.batch.Writes()[0].Value()
	withoutTeam := NewConfigMsg(policy.NewConfig(3, []policy.Queue{q}, nil), nil)
	d.feed(withoutTeam)
	d.addWorkers("w1")
	d.advance(time.Second)
	d.is.Equal(d.startedOf(jobID(1)), 2)

	n := newDriver(t, testEpoch+1)
	n.m.Restore(entries(jobKey(jobID(1)), value))
	n.feed(withoutTeam)
	n.addWorkers("w1")
	n.advance(time.Second)
	n.is.Equal(n.startedOf(jobID(1)), 2)
}
