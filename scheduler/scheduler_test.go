package scheduler

import (
	"errors"
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
)

var testAdvice = policy.NewAdvice(10*time.Millisecond, time.Millisecond, 2*time.Second)

// A task must not start before its job is stored: until then the job may still
// be refused, which says that it never runs.
func TestStartsOnlyStoredJobs(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(2))
	_, started := d.takeStart()
	_, replied := d.takeReply()
	d.is.True(!started)
	d.is.True(!replied)
	d.commitAll()
	r, replied := d.takeReply()
	d.is.True(replied)
	d.is.Equal(r.Code(), order.Done)
	first, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(first.order.run, 1)
	_, ok = d.takeStart()
	d.is.True(ok)
}

// If none of the workers in the first advice request may run a step, the step
// must request advice on workers that are listed later. It would wait forever
// otherwise.
func TestRequestsAdviceForLaterWorkers(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(testAdvice, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	q, ok := d.takeAdviceRequest()
	d.is.True(ok)
	d.answerAdvice(q)
	d.commitAll()
	d.addWorkers("w2")
	d.advance(200 * time.Millisecond)
	q, ok = d.takeAdviceRequest()
	d.is.True(ok) // it names the worker that was listed later
	d.answerAdvice(q, "w2")
	s, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(s.order.to.worker, order.WorkerID("w2"))
	d.is.Equal(s.order.ticket, "t-w2")
}

// A worker that refuses a ticket, as it does after a restart, must be included
// in advice requests again.
func TestRequestsAdviceAfterRefusedTicket(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(testAdvice, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	q, _ := d.takeAdviceRequest()
	d.answerAdvice(q, "w1")
	d.commitAll()
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, NewRefusedError(RefusedTicket, 0))
	d.advance(200 * time.Millisecond)
	_, ok = d.takeAdviceRequest()
	d.is.True(ok)
}

// A worker that does not respond to a start must get no further tasks until its
// next report, even though the open poll has not failed yet.
func TestNoStartsOnUnresponsiveWorker(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.submit(1, smallStep(1))
	d.commitAll()
	s, ok := d.takeStart()
	d.is.True(ok)
	d.advance(2 * pollDelay) // the next poll is open
	d.answerStart(s, errors.New("no answer"))
	d.submit(2, smallStep(1))
	d.commitAll()
	_, ok = d.takeStart()
	d.is.True(!ok)
	d.answerPoll("w1", []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}, nil)
	d.advance(100 * time.Millisecond)
	_, ok = d.takeStart()
	d.is.True(ok) // the worker has reported again
}

// A gang must use workers with valid tickets if it fits there. It would renew
// tickets again and again if it considered only the best fitting workers, whose
// tickets may have expired.
func TestGangUsesWorkersWithValidTickets(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(testAdvice, order.Resources{})
	d.addWorkers("w1", "w2", "w3")
	d.call(order.SubmitJob, smallStep(2).WithGang(true).WithPerWorker(1))
	q, ok := d.takeAdviceRequest()
	d.is.True(ok)
	w3 := d.m.workers["w3"]
	w3.used = w3.used.Plus(order.NewResources(4000, 1<<20, 0))
	d.answerAdvice(q, "w1", "w2", "w3")
	d.m.jobs[testJob].steps[0].tickets["w3"] = ticket{text: "t-w3", validUntil: d.now}
	d.commitAll()
	on := make(map[order.WorkerID]bool)
	for range 2 {
		s, ok := d.takeStart()
		d.is.True(ok)
		on[s.order.to.worker] = true
	}
	d.is.True(on["w1"] && on["w2"])
}

// After a start without a response the worker may still execute the run. The
// task must start again only after the worker has confirmed a stop and a later
// report lacks the run, as two runs would execute otherwise.
func TestRestartsUnconfirmedRunOnlyAfterStop(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, errDiverged)
	d.advance(time.Second)
	_, again := d.takeStart()
	d.is.True(!again)
	d.answerPoll("w1", nil, nil)
	stop, ok := d.takeStop()
	d.is.True(ok)
	d.advance(100 * time.Millisecond)
	d.feed(StoppedMsg{order: stop.order})
	_, again = d.takeStart()
	d.is.True(!again)
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, nil)
	second, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(second.order.run, 2)
}

// A run that is missing from a report without the last ends may be done.
func TestNoRestartOfRunsBehindLongListOfEnds(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(3))
	var starts []StartCmd
	for range 3 {
		s, ok := d.takeStart()
		d.is.True(ok)
		starts = append(starts, s)
	}
	for i, err := range []error{nil, nil, errDiverged} {
		d.answerStart(starts[i], err)
	}
	d.advance(100 * time.Millisecond)
	first := []EndedTask{NewEndedTask(1, starts[0].order.task, 1, ResultDone, "")}
	d.answerPartialPoll("w1", first)
	for range 5 {
		d.advance(stopRetryInterval)
		if stop, ok := d.takeStop(); ok {
			d.feed(StoppedMsg{order: stop.order})
		}
		d.answerPartialPoll("w1", first)
	}
	_, again := d.takeStart()
	d.is.True(!again) // the other runs may be done
	d.commitAll()
	d.advance(maxUnackedPollDelay + pollDelay)
	for poll, ok := d.takePoll(); ok; poll, ok = d.takePoll() {
		d.feed(PolledMsg{order: poll.order, sentAt: d.now, report: NewReport(5000, 1, nil, []EndedTask{
			NewEndedTask(2, starts[1].order.task, 1, ResultDone, ""), NewEndedTask(3, starts[2].order.task, 1, ResultDone, ""),
		})})
	}
	d.is.Equal(d.m.jobs[testJob].state, order.JobCompleted)
	_, again = d.takeStart()
	d.is.True(!again)
}

// A confirmed stop does not prove that the run had not ended as done before.
func TestNoRestartOfStoppedRunBehindLongListOfEnds(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	d.m.stop(d.now, d.m.findAttempt(s.order.to, s.order.task, s.order.run))
	d.advance(100 * time.Millisecond)
	stop, ok := d.takeStop()
	d.is.True(ok)
	d.feed(StoppedMsg{order: stop.order})
	d.advance(100 * time.Millisecond)
	d.answerPartialPoll("w1", nil)
	d.advance(100 * time.Millisecond)
	_, again := d.takeStart()
	d.is.True(!again)
	d.answerPoll("w1", nil, nil)
	_, again = d.takeStart()
	d.is.True(again) // a whole report lacks the run
}

// The end of a run must not be acknowledged before the store has it: the worker
// would drop it, and a new owner would never receive it.
func TestAcknowledgesOnlyStoredEnds(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(1, s.order.task, 1, ResultDone, "")})
	d.advance(maxUnackedPollDelay + 2*pollDelay)
	h, ok := d.takePoll()
	d.is.True(ok)
	d.is.Equal(h.order.acked, int64(0))
	d.commitAll()
	d.feed(PolledMsg{order: h.order, sentAt: d.now, report: NewReport(2000, 1, nil, []EndedTask{NewEndedTask(1, s.order.task, 1, ResultDone, "")})})
	d.advance(time.Second)
	h, ok = d.takePoll()
	d.is.True(ok)
	d.is.Equal(h.order.acked, int64(1))
	d.call(order.JobStatus)
	r, _ := d.takeReply()
	for r.State() != order.JobCompleted {
		var ok bool
		if r, ok = d.takeReply(); !ok {
			t.Fatal("the job is not shown as completed")
		}
	}
}

// A worker must not be polled between the report of an end and its storage. It
// would return the same end at once, and a second poll would be needed to
// acknowledge it.
func TestPollsAgainOnceEndsAreStored(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(1, s.order.task, 1, ResultDone, "")})
	d.advance(maxUnackedPollDelay / 2)
	_, ok := d.takePoll()
	d.is.True(!ok) // the worker would return the same end
	d.commitAll()
	d.advance(pollDelay)
	h, ok := d.takePoll()
	d.is.True(ok)
	d.is.Equal(h.order.acked, int64(1))
}

// When one member of a gang completes, the others end by themselves and must
// not be stopped.
func TestNoStopsForFinishedGang(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1", "w2", "w3"}, smallStep(3).WithGang(true).WithPerWorker(1))
	var last StartCmd
	for range 3 {
		s, ok := d.takeStart()
		d.is.True(ok)
		d.answerStart(s, nil)
		last = s
	}
	d.advance(100 * time.Millisecond)
	d.answerPoll(last.order.to.worker, nil, []EndedTask{NewEndedTask(1, last.order.task, last.order.run, ResultDone, "")})
	d.commitAll()
	_, ok := d.takeStop()
	d.is.True(!ok)
}

// A job that a client waits for must be stored before a backlog of changes that
// no client waits for.
func TestStoresNewJobsBeforeProgress(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.markManyDirty(4 * maxJobsPerBatch)
	d.m.Handle(d.now, NewCallMsg("client", order.JobCallMsg{}.WithVerb(order.SubmitJob).WithHost(testHost).
		WithPath("/proofs/"+testJob).WithKey(testKey).WithSpec(order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}))))
	d.advance(2 * flushInterval)
	c, ok := d.takeCommit()
	d.is.True(ok)
	d.is.Equal(c.batch.Writes()[0].Key(), jobKey(testJob))
}

// A backlog must be written at the store's write rate. With the fixed interval
// between batches it would take seconds.
func TestFlushesBacklogFaster(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.markManyDirty(8 * maxJobsPerBatch)
	n := 0
	for range 8 {
		d.now = d.now.Add(5 * time.Millisecond) // 200 a second, half of the store's rate
		d.decide()
		for c, ok := d.takeCommit(); ok; c, ok = d.takeCommit() {
			n += len(c.batch.Writes())
			d.version++
			d.m.Handle(d.now, CommittedMsg{batchID: c.batchID, version: d.version})
		}
	}
	if n < 7*maxJobsPerBatch {
		t.Fatalf("%d changes were stored in 40 ms", n)
	}
}

// While the store takes 240 ms for a call, a large cell must still store as many
// changes as its jobs cause, some two thousand a second.
func TestStoresManyChangesWhileStoreIsSlow(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.m.limits = d.m.limits.WithWriteRate(3200)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.markManyDirty(600)
	type sent struct {
		id int
		at time.Time
	}
	var open []sent
	stored := 0
	for end := d.now.Add(500 * time.Millisecond); d.now.Before(end); {
		d.now = d.now.Add(5 * time.Millisecond)
		d.decide()
		for c, ok := d.takeCommit(); ok; c, ok = d.takeCommit() {
			open = append(open, sent{c.batchID, d.now})
			stored += len(c.batch.Writes())
		}
		for len(open) > 0 && d.now.Sub(open[0].at) >= 240*time.Millisecond {
			d.version++
			d.m.Handle(d.now, CommittedMsg{batchID: open[0].id, version: d.version})
			open = open[1:]
		}
	}
	d.is.True(stored >= 600)
}

// A long-running task that is restarted late in the life of its job must not
// rank behind all others as overdue.
func TestRestartsLastingTasksFirst(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1).WithLasting(true))
	s := d.m.jobs[testJob].steps[0]
	q, _ := d.m.config.Queue(testQueue)
	d.is.Equal(newPendingStep(d.now.Add(time.Hour), s, q).rank, rankInTime)
}

// The tasks started for a team must stay within its limit.
func TestEnforcesTeamLimit(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.NewResources(2000, 0, 0))
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(5))
	d.commitAll()
	n := 0
	for {
		if _, ok := d.takeStart(); !ok {
			break
		}
		n++
	}
	d.is.Equal(n, 2)
}

// A new owner must not start a task of an earlier one while a worker that has
// not reported yet may run it.
func TestNewOwnerWaitsForAllWorkers(t *testing.T) {
	d := newSuccessor(t, order.Resources{}, []order.JobStep{smallStep(1)}, []order.WorkerID{"w1", "w2"}, "w1", "w2")
	d.answerPoll("w1", nil, nil)
	d.advance(5 * time.Second)
	_, started := d.takeStart()
	d.is.True(!started) // w2 may run the task
	d.answerPoll("w2", []RunningTask{NewRunningTask(NewTaskRef(testJob, 0, 0, 0), 1, "", 10)}, nil)
	d.advance(time.Second)
	_, started = d.takeStart()
	d.is.True(!started) // w2 runs it
}

// The first report to a new owner may lack the end of a task that is done.
func TestNewOwnerWaitsForAllEnds(t *testing.T) {
	d := newSuccessor(t, order.Resources{}, []order.JobStep{smallStep(2)}, []order.WorkerID{"w1"}, "w1")
	first := []EndedTask{NewEndedTask(1, NewTaskRef(testJob, 0, 0, 0), 1, ResultDone, "")}
	d.answerPartialPoll("w1", first)
	d.is.Equal(d.startedOf(testJob), 0)
	d.commitAll()
	d.advance(maxUnackedPollDelay + pollDelay)
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(2, NewTaskRef(testJob, 0, 0, 1), 1, ResultDone, "")})
	d.is.Equal(d.startedOf(testJob), 0)
	d.is.Equal(d.m.jobs[testJob].state, order.JobCompleted)
}

// newSuccessor returns a driver whose cell was taken over with a job of an
// earlier owner and the workers on which tasks may have been started. The
// workers in listed are in the discovery.
func newSuccessor(t *testing.T, limit order.Resources, steps []order.JobStep, workers []order.WorkerID, listed ...order.WorkerID) *driver {
	d := newSuccessorBeforeDiscovery(t, steps, workers)
	var infos []WorkerInfo
	for _, id := range listed {
		infos = append(infos, workerInfo(id, 1))
	}
	d.feed(NewWorkersMsg(infos, nil, true))
	d.configure(policy.Advice{}, limit)
	d.commitAll()
	return d
}

// newSuccessorBeforeDiscovery returns the driver of newSuccessor as it is before
// the discovery is read.
func newSuccessorBeforeDiscovery(t *testing.T, steps []order.JobStep, workers []order.WorkerID) *driver {
	d := newDriver(t, 2)
	job := newJob(testJob, testQueue, testTeam, order.JobSpec{}.WithSteps(steps), testStart, 1)
	value, err := job.record().MarshalCBOR()
	d.is.NoErr(err)
	d.m.Restore(entries(jobKey(testJob), value))
	d.restoreWorkers(workers)
	return d
}

// restoreWorkers gives the scheduler a stored list of workers.
func (d *driver) restoreWorkers(workers []order.WorkerID) {
	var records []order.WorkerRecord
	for _, id := range workers {
		records = append(records, order.WorkerRecord{}.WithID(id).WithAddress("10.0.1.1:80").WithService("press"))
	}
	list, err := order.WorkerList{}.WithWorkers(records).MarshalCBOR()
	d.is.NoErr(err)
	d.m.RestoreWorkers(entries(WorkersKey, list)[0])
}

// While workers have not reported to a new owner, the tasks that they may run
// must count against the limits of their teams. New jobs of a team could exceed
// its limit otherwise.
func TestNewOwnerCountsUnreportedTasks(t *testing.T) {
	d := newSuccessor(t, order.NewResources(2500, 0, 0), []order.JobStep{smallStep(2)}, []order.WorkerID{"w1", "w2"}, "w1", "w2")
	d.answerPoll("w1", nil, nil)
	d.submit(1, smallStep(2))
	d.commitAll()
	_, started := d.takeStart()
	d.is.True(!started) // w2 may run two tasks of the team
	d.answerPoll("w2", nil, nil)
	d.advance(time.Second)
	n := 0
	for {
		if _, started = d.takeStart(); !started {
			break
		}
		n++
	}
	d.is.Equal(n, 2)
}

// The capacity of the workers without a report is known only once the discovery
// lists them. A round of placement before that must not leave their tasks out of
// the limits for the rounds after it.
func TestNewOwnerCountsUnreportedTasksOnceDiscovered(t *testing.T) {
	d := newSuccessorBeforeDiscovery(t, []order.JobStep{smallStep(2)}, []order.WorkerID{"w1", "w2"})
	d.configure(policy.Advice{}, order.NewResources(2500, 0, 0))
	d.submit(1, smallStep(2))
	d.commitAll()
	d.answerPoll("w1", nil, nil)
	for !d.m.unconfirmedAt.Equal(d.now) {
		d.advance(20 * time.Millisecond)
	}
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1), workerInfo("w2", 1)}, nil, true))
	d.advance(time.Second)
	_, started := d.takeStart()
	d.is.True(!started) // w2 may run two tasks of the team
}

// A former owner that can't hear of an end may repeat the run on a worker that
// has not reported to the new one.
func TestNewOwnerCountsDoneTasksThatMayBeRepeated(t *testing.T) {
	d := newSuccessor(t, order.NewResources(2500, 0, 0), []order.JobStep{smallStep(2)}, []order.WorkerID{"w1", "w2"}, "w1", "w2")
	ends := []EndedTask{
		NewEndedTask(1, NewTaskRef(testJob, 0, 0, 0), 1, ResultDone, ""),
		NewEndedTask(2, NewTaskRef(testJob, 0, 0, 1), 1, ResultDone, ""),
	}
	d.answerPoll("w1", nil, ends)
	d.is.Equal(d.m.jobs[testJob].state, order.JobCompleted)
	d.submit(1, smallStep(2))
	d.commitAll()
	d.advance(time.Second)
	d.is.Equal(d.startedOf(jobID(1)), 0) // w2 may run both tasks again
	d.answerPoll("w2", nil, nil)
	d.advance(time.Second)
	d.is.Equal(d.startedOf(jobID(1)), 2)
}

// A part of a gang that has reported must not make the rest uncounted: all its
// members run.
func TestNewOwnerCountsRestOfGang(t *testing.T) {
	d := newSuccessor(t, order.NewResources(4500, 0, 0), []order.JobStep{smallStep(4).WithGang(true)}, []order.WorkerID{"w1", "w2"}, "w1", "w2")
	d.answerPoll("w1", []RunningTask{NewRunningTask(NewTaskRef(testJob, 0, 0, 0), 1, "", 10)}, nil)
	d.submit(1, smallStep(1))
	d.commitAll()
	d.advance(2 * unconfirmedInterval)
	_, started := d.takeStart()
	d.is.True(!started) // three more members run on w2
}

// One worker that does not report must not keep a team from its whole limit: no
// more tasks can run there than it has capacity for.
func TestUnreportedTasksAreBoundedByCapacity(t *testing.T) {
	d := newSuccessor(t, order.NewResources(11000, 0, 0), []order.JobStep{smallStep(100)}, []order.WorkerID{"w1", "gone"}, "w1")
	d.answerPoll("w1", nil, nil)
	d.submit(1, smallStep(8))
	d.commitAll()
	d.is.Equal(d.startedOf(jobID(1)), 3) // the limit less the 8 cores of one worker
}

// A worker that left must not delay the tasks of earlier owners: neither if it
// was removed long ago, nor if another worker answers at its address.
func TestRecoversDespiteWorkersThatLeft(t *testing.T) {
	d := newSuccessor(t, order.Resources{}, []order.JobStep{smallStep(1)}, []order.WorkerID{"w1", "gone"}, "w1")
	d.answerPoll("w1", nil, nil)
	d.is.Equal(d.startedOf(testJob), 0)
	for {
		poll, ok := d.takePoll()
		d.is.True(ok)
		if poll.order.to.worker == "gone" {
			d.feed(PolledMsg{order: poll.order, sentAt: d.now, err: NewRefusedError(RefusedIncarnation, 0)})
			break
		}
	}
	d.advance(100 * time.Millisecond)
	d.is.Equal(d.startedOf(testJob), 1)
	for _, w := range d.m.sortedWorkers() {
		d.is.Equal(w.id, order.WorkerID("w1"))
	}
	d.is.True(d.m.journal.workersDirty || d.m.journal.workersInFlight) // the stored list follows
}

// A worker that a new owner finds neither listed nor listening may be cut off and run on. It must hold up its former tasks no longer than its leases last.
func TestNewOwnerWaitsForLeasesOfUnlistedWorker(t *testing.T) {
	d := newSuccessor(t, order.Resources{}, []order.JobStep{smallStep(1).WithLasting(true)}, []order.WorkerID{"w1", "cut"}, "w1")
	d.answerPoll("w1", nil, nil)
	d.refuseUntil("cut", errRefused, testStart.Add(maxLeaseTime(d.m.limits.maxLease)))
	d.is.Equal(d.startedOf(testJob), 0)
	d.advance(100 * time.Millisecond)
	d.is.Equal(d.startedOf(testJob), 1)
}

// A worker that drains under a new owner and leaves must not hold up its former tasks; while it is listed, it may be starting again.
func TestNewOwnerRestartsTasksOfWorkerThatLeft(t *testing.T) {
	d := newSuccessor(t, order.Resources{}, []order.JobStep{smallStep(1)}, []order.WorkerID{"w1", "w2"}, "w1", "w2")
	d.answerPoll("w1", nil, nil)
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w2", 1).WithIncarnation(1, true)}, nil, false).WithChangedAfter(d.now, 0))
	d.failPoll("w2", errRefused)
	d.advance(2 * pollRetryDelay)
	d.is.Equal(d.startedOf(testJob), 0)
	d.feed(deletion("w2"))
	d.advance(20 * time.Millisecond)
	d.failPoll("w2", errRefused)
	d.advance(100 * time.Millisecond)
	d.is.Equal(d.startedOf(testJob), 1)
}

// Before the discovery is read, no worker is listed, also those that run on.
func TestNewOwnerWaitsForDiscovery(t *testing.T) {
	d := newSuccessorBeforeDiscovery(t, []order.JobStep{smallStep(1)}, []order.WorkerID{"w1"})
	d.configure(policy.Advice{}, order.Resources{})
	d.failPoll("w1", errRefused)
	d.advance(2 * pollRetryDelay)
	d.is.Equal(len(d.m.workers), 1)
}

// The store may lack the last end of a step whose successor runs already. The
// successor's tasks count too, but not beside those of the step.
func TestMostUnreportedCountsSuccessors(t *testing.T) {
	d := newDriver(t, testEpoch)
	job := newJob(testJob, testQueue, testTeam, order.JobSpec{}.WithSteps([]order.JobStep{
		smallStep(2), smallStep(5).WithAfter([]int{0}), smallStep(3).WithAfter([]int{1}),
	}), testStart, 1)
	d.is.Equal(job.mostUnreported(d.now, testEpoch).Cores(), smallStep(1).Size().Cores()*5)
	job.steps[0].tasks[0].state, job.steps[0].done = taskDone, 1
	d.is.Equal(job.mostUnreported(d.now, testEpoch).Cores(), smallStep(1).Size().Cores()*5)
	for _, task := range job.steps[1].tasks {
		task.state = taskDone
	}
	d.is.Equal(job.mostUnreported(d.now, testEpoch).Cores(), smallStep(1).Size().Cores()*3)
}

// If the stop of an unconfirmed run has no response either, it must be sent
// again. The task would wait forever otherwise.
func TestRetriesStopWithoutAnswer(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, errDiverged)
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, nil)
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, nil)
	stop, ok := d.takeStop()
	d.is.True(ok)
	d.feed(StoppedMsg{order: stop.order, err: errDiverged})
	d.advance(stopRetryInterval)
	d.answerPoll("w1", nil, nil)
	_, ok = d.takeStop()
	d.is.True(ok)
}

// If a submission is repeated after its key was removed, the answer must be
// that the outcome is unknown. A refusal would say that the stored job never
// runs.
func TestResubmissionAfterKeyRemoval(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	_, _ = d.takeReply()
	d.feed(NewConfigMsg(policy.NewConfig(2, []policy.Queue{policy.NewQueue(testQueue, testHost, "/proofs/", "press")}, nil), nil))
	d.call(order.SubmitJob, smallStep(1))
	r, ok := d.takeReply()
	d.is.True(ok)
	d.is.Equal(r.Code(), order.OutcomeUnknown)
}

// Under a backlog, only as many advice requests may be sent as a host answers
// soon. Tickets from a longer queue would expire before there is capacity.
func TestBoundsAdviceRequestsUnderBacklog(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.NewAdvice(100*time.Millisecond, time.Millisecond, 2*time.Second), order.Resources{})
	d.addWorkers("w1")
	for i := range 20 {
		d.submit(i, smallStep(1))
	}
	n := 0
	for {
		if _, ok := d.takeAdviceRequest(); !ok {
			break
		}
		n++
	}
	d.is.True(n >= 1 && n <= 3)
}

// A team that submits more than its share must not delay the jobs of teams
// within theirs: the excess is placed last.
func TestPlacesExcessLast(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	for i := range 4 {
		d.submit(i, smallStep(8))
	}
	d.commitAll()
	d.is.True(d.m.jobs[jobID(2)].excess)
	d.is.True(!d.m.jobs[jobID(0)].excess)
	for {
		s, ok := d.takeStart()
		if !ok {
			break
		}
		d.is.Equal(s.order.task.job, jobID(0))
	}
}

// Long advice requests must leave some hosts free, so that the short ones of
// urgent steps do not wait behind them.
func TestReservesHostsForShortAdvice(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.NewAdvice(500*time.Millisecond, time.Millisecond, 2*time.Second), order.Resources{})
	for _, h := range []order.MemberID{"h1", "h2", "h3", "h4", "h5"} {
		d.feed(NewHostLinkMsg(h, true))
	}
	d.addWorkers("w1")
	for i := range 20 {
		d.submit(i, smallStep(1))
	}
	n := 0
	for {
		if _, ok := d.takeAdviceRequest(); !ok {
			break
		}
		n++
	}
	d.is.Equal(n, 4) // one in three of the six hosts stays free
}

// While the store is stalled, new jobs must be refused at once, not when their
// deadline passes. A job in a batch that may be stored must not be refused.
func TestRefusesAtOnceWhileStoreStalls(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.submit(0, smallStep(1))
	d.advance(2 * storeStallTimeout)
	_, replied := d.takeReply()
	d.is.True(!replied) // its batch may be stored
	d.submit(1, smallStep(1))
	r, replied := d.takeReply()
	d.is.True(replied)
	d.is.Equal(r.Code(), order.JournalUnavailable)
	d.is.Equal(d.m.jobs[jobID(1)], nil)
	d.commitAll()
	r, replied = d.takeReply()
	d.is.True(replied)
	d.is.Equal(r.Code(), order.Done)
}

// When a worker stops responding, its tasks must start again after its lease
// has expired. Polls that it does not answer must not extend the lease.
func TestRestartsAfterLeaseExpiry(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	d.addWorkers("w2")
	lastContact := d.now
	for d.now.Sub(lastContact) < maxLeaseTime(leaseDuration)+2*time.Second {
		h, ok := d.takePoll()
		switch {
		case ok && h.order.to.worker == "w1":
			d.feed(PolledMsg{order: h.order, sentAt: d.now, err: errDiverged})
		case ok:
			d.feed(PolledMsg{order: h.order, sentAt: d.now, report: NewReport(1000+d.now.Sub(testStart).Milliseconds(), 1, nil, nil)})
		}
		d.advance(20 * time.Millisecond)
		if s, ok := d.takeStart(); ok {
			d.is.True(d.now.Sub(lastContact) > leaseDuration)
			d.is.Equal(s.order.run, 2)
			d.is.Equal(s.order.to.worker, order.WorkerID("w2"))
			return
		}
	}
	t.Fatal("the task did not start again")
}

// A short task must be restarted elsewhere if its worker responds but the run
// makes no progress.
func TestMovesStalledRun(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	run := []RunningTask{NewRunningTask(s.order.task, 1, "", 30)}
	for range 3 {
		d.advance(time.Second)
		_, moved := d.takeStop()
		d.is.True(!moved)
		d.answerPoll("w1", run, nil)
	}
	d.advance(time.Second)
	d.answerPoll("w1", run, nil)
	_, moved := d.takeStop()
	d.is.True(moved)
}

// The tasks of a worker that exits at the end of its drain must start again at
// once, without waiting for its lease to expire.
func TestRestartsOnceDrainedWorkerLeft(t *testing.T) {
	d, drained := newDrainingDriver(t)
	d.failPoll(drained, errRefused)
	d.advance(50 * time.Millisecond)
	_, ok := d.takeStart()
	d.is.True(!ok) // it may be restarting
	d.feed(deletion(drained))
	d.advance(pollRetryDelay)
	d.failPoll(drained, errRefused)
	s, ok := d.takeStart()
	d.is.True(ok)
	d.is.True(s.order.to.worker != drained)
}

// A later owner finds the runs of a worker only at the stored address.
func TestNoStartAtAddressThatIsNotStored(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w2", 1)}, nil, false))
	d.answerPoll("w2", nil, nil) // a list with w2 is sent
	d.advance(2 * flushInterval)
	former, ok := d.takeCommit()
	d.is.True(ok)
	moved := workerInfo("w1", 2)
	moved.address = "10.0.1.9:80"
	d.feed(NewWorkersMsg([]WorkerInfo{moved}, nil, false))
	d.answerPoll("w1", nil, nil) // of the former life
	d.advance(time.Second)
	d.answerPollWith("w1", NewReport(d.workerClock(), 2, nil, nil))
	d.version++
	d.feed(CommittedMsg{batchID: former.batchID, version: d.version})
	d.is.True(!d.usable(d.m.workers["w1"]))
	d.commitAll()
	d.is.True(d.usable(d.m.workers["w1"]))
}

// The numbers of ends start anew with each life of a worker.
func TestHandlesEndsOfNextLifeOfUnlistedWorker(t *testing.T) {
	d := newSuccessor(t, order.Resources{}, []order.JobStep{smallStep(1)}, []order.WorkerID{"w1"})
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(7, NewTaskRef(jobID(1), 0, 0, 0), 1, ResultDone, "")})
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 2)}, nil, false))
	for d.startedOf(testJob) == 0 {
		d.advance(100 * time.Millisecond)
		d.answerPollWith("w1", NewReport(d.workerClock(), 2, nil, nil))
	}
	s := d.takeStartOf(testJob)
	d.advance(100 * time.Millisecond)
	d.answerPollWith("w1", NewReport(d.workerClock(), 2, nil, []EndedTask{NewEndedTask(1, s.order.task, s.order.run, ResultDone, "")}))
	d.is.Equal(d.m.jobs[testJob].state, order.JobCompleted)
}

// An idle worker that is removed between two polls must not stay in the list.
func TestRemovesIdleUnlistedWorker(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, nil)
	d.feed(NewWorkersMsg(nil, []order.WorkerID{"w1"}, false))
	_, polled := d.takePoll()
	d.is.True(!polled)
	d.advance(maxLeaseTime(leaseDuration) + time.Second)
	d.is.Equal(len(d.m.workers), 0)
}

// A worker may have another capacity and other labels after a restart.
func TestNoStartByDescriptionOfFormerLife(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.advance(100 * time.Millisecond)
	d.answerPollWith("w1", NewReport(d.workerClock(), 2, nil, nil))
	d.advance(100 * time.Millisecond)
	d.answerPollWith("w1", NewReport(d.workerClock(), 2, nil, nil))
	d.submit(0, smallStep(1))
	d.commitAll()
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1)}, nil, false)) // a late heartbeat
	d.is.Equal(d.startedOf(jobID(0)), 0)
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 2)}, nil, false))
	d.advance(100 * time.Millisecond)
	d.is.Equal(d.startedOf(jobID(0)), 1)
}

// A draining worker that no connection reaches may be cut off and run on.
func TestNoRestartWhileDrainingWorkerIsCutOff(t *testing.T) {
	d, drained := newDrainingDriver(t)
	d.refuseUntil(drained, ErrNotSent, d.now.Add(d.m.limits.workerSilence-2*time.Second))
	d.feed(deletion(drained))
	d.refuseUntil(drained, ErrNotSent, d.m.workers[drained].leaseEnd)
	_, ok := d.takeStart()
	d.is.True(!ok)
}

// newDrainingDriver returns a driver with two workers, of which the one that is
// returned runs a task and drains.
func newDrainingDriver(t *testing.T) (*driver, order.WorkerID) {
	d := newDriverWithJob(t, []order.WorkerID{"w1", "w2"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	drained := s.order.to.worker
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo(drained, 1).WithIncarnation(1, true)}, nil, false).WithChangedAfter(d.now, 0))
	d.advance(time.Second)
	d.answerPoll(drained, []RunningTask{NewRunningTask(s.order.task, 1, "", 50)}, nil)
	d.advance(time.Second)
	return d, drained
}

// A long backlog of a team at its limit must not delay the jobs of other teams.
func TestSkipsTeamsAtLimit(t *testing.T) {
	d := newDriver(t, testEpoch)
	q := policy.NewQueue(testQueue, testHost, "/proofs/", "press")
	d.feed(NewConfigMsg(policy.NewConfig(1, []policy.Queue{q}, []policy.Team{
		policy.NewTeam("full", []string{"key-2"}, 0, order.NewResources(1, 0, 0)),
		policy.NewTeam(testTeam, []string{testKey}, 0, order.Resources{}),
	}), nil))
	d.addWorkers("w1")
	for i := range 2 * maxUnplacedSteps {
		d.feed(NewCallMsg("client", order.JobCallMsg{}.WithVerb(order.SubmitJob).WithHost(testHost).
			WithPath("/proofs/"+string(jobID(i))).WithKey("key-2").WithSpec(order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}))))
		if i%10 == 0 {
			d.commitAll()
		}
	}
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
	s, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(s.order.task.job, order.JobID(testJob))
}

// Jobs that can never run must not use up every round of placement, which would
// starve the jobs behind them.
func TestPlacesJobsBehindImpossibleOnes(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	impossible := smallStep(1).WithSize(order.NewResources(1<<40, 0, 0))
	for i := range 2 * maxUnplacedSteps {
		d.submit(i, impossible)
		if i%10 == 0 {
			d.commitAll()
		}
	}
	d.m.Handle(d.now, NewCallMsg("client", order.JobCallMsg{}.WithVerb(order.SubmitJob).WithHost(testHost).
		WithPath("/proofs/"+testJob).WithKey(testKey).WithSpec(order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}))))
	d.m.jobs[testJob].excess = true // ranks behind all others
	d.commitAll()
	for range 40 {
		d.advance(500 * time.Millisecond)
		if s, ok := d.takeStart(); ok {
			d.is.Equal(s.order.task.job, order.JobID(testJob))
			return
		}
	}
	t.Fatal("the job was never started")
}

// A step that lasts is always in time, also if it never finds room.
func TestPlacesJobsBehindLastingOnesWithoutRoom(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	impossible := smallStep(1).WithLasting(true).WithSize(order.NewResources(1<<40, 0, 0))
	for i := range 10 * maxUnplacedSteps {
		d.submit(i, impossible)
		if i%10 == 0 {
			d.commitAll()
		}
	}
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
	for range 80 {
		d.advance(100 * time.Millisecond)
		if d.startedOf(testJob) > 0 {
			return
		}
	}
	t.Fatal("the job was not started within 8 s")
}

// A new owner must count the runs of jobs that have ended until they have
// stopped. It would exceed the worker's capacity otherwise.
func TestCountsRunsOfEndedJobs(t *testing.T) {
	d := newDriver(t, 2)
	job := newJob(testJob, testQueue, testTeam, order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}), testStart, 1)
	job.state, job.ended = order.JobCancelled, testStart
	value, err := job.record().MarshalCBOR()
	d.is.NoErr(err)
	d.m.Restore(entries(jobKey(testJob), value))
	d.is.Equal(d.startsBeside(NewTaskRef(testJob, 0, 0, 0)), 7)
}

// If the store no longer has the job of a reported run, the size of the run is
// unknown, and its worker must get no tasks until it has stopped.
func TestNoStartsBesideRunsOfUnknownSize(t *testing.T) {
	d := newDriver(t, 2)
	d.is.Equal(d.startsBeside(NewTaskRef(testJob, 0, 0, 0)), 0)
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(1, NewTaskRef(testJob, 0, 0, 0), 1, ResultStopped, "")})
	d.advance(100 * time.Millisecond)
	_, started := d.takeStart()
	d.is.True(started)
}

// startsBeside returns how many tasks of a job, which alone would fill the
// worker, start while the worker still executes an unexpected run.
func (d *driver) startsBeside(ref TaskRef) int {
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", []RunningTask{NewRunningTask(ref, 1, "", 10)}, nil)
	stop, ok := d.takeStop()
	d.is.True(ok)
	d.is.Equal(stop.order.task, ref)
	d.submit(0, smallStep(8))
	d.commitAll()
	n := 0
	for {
		if _, ok := d.takeStart(); !ok {
			return n
		}
		n++
	}
}

// A refused or unanswered start has begun nothing, so the job still waits.
func TestCountsJobAsWaitingUntilStartConfirmed(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.expectWaiting(1, order.JobPending)
	d.answerStart(s, NewRefusedError(RefusedBusy, 0))
	d.expectWaiting(1, order.JobPending)
	d.advance(minCooldown + 100*time.Millisecond)
	s, ok = d.takeStart()
	d.is.True(ok)
	d.answerStart(s, errDiverged)
	d.expectWaiting(1, order.JobPending)
	d.answerPoll("w1", []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}, nil)
	d.expectWaiting(0, order.JobRunning)
}

// A confirmed start counts at once, and a run that ended before any report.
func TestCountsJobAsStartedOnceConfirmed(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(2))
		s, _ := d.takeStart()
		if confirmed {
			d.answerStart(s, nil)
		} else {
			d.advance(2 * pollDelay)
			d.answerPoll("w1", nil, []EndedTask{NewEndedTask(1, s.order.task, s.order.run, ResultDone, "")})
		}
		d.expectWaiting(0, order.JobRunning)
	}
}

// A new owner must not count a job as waiting whose first step has ended.
func TestCountsProgressOfEarlierOwnerAsStarted(t *testing.T) {
	d := newDriver(t, testEpoch+1)
	d.configure(policy.Advice{}, order.Resources{})
	spec := order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1), smallStep(1).WithAfter([]int{0})})
	record := order.JobRecord{}.WithID(testJob).WithQueue(testQueue).WithTeam(testTeam).WithSpec(spec).WithEpoch(testEpoch).
		WithSteps([]order.StepRecord{order.StepRecord{}.WithDone([]int{0})})
	value, err := record.MarshalCBOR()
	d.is.NoErr(err)
	d.m.Restore(entries(jobKey(testJob), value))
	d.expectWaiting(0, order.JobRunning)
}

// expectWaiting checks how many jobs are said to wait, and the state of testJob.
func (d *driver) expectWaiting(count int, state order.JobState) {
	d.t.Helper()
	for _, ok := d.takeReply(); ok; _, ok = d.takeReply() {
	}
	d.feed(NewCallMsg("client", order.JobCallMsg{}.WithCall(8).WithVerb(order.CountWaiting).WithHost(testHost).
		WithPath("/proofs/").WithKey(testKey)))
	r, ok := d.takeReply()
	d.is.True(ok)
	d.is.Equal(r.Waiting(), count)
	d.call(order.JobStatus)
	r, ok = d.takeReply()
	d.is.True(ok)
	d.is.Equal(r.State(), state)
}
