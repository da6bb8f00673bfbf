package yard

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/tariff"
)

var testAdvice = tariff.NewAdvice(10*time.Millisecond, time.Millisecond, 2*time.Second)

// Guards against a start before the job is in the store: the client could
// still be refused.
func TestStartsOnlyStoredJobs(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
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

// Guards against a step that waits for ever because the workers named in its
// first question were few and none of them may run it.
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
	d.is.True(ok) // the worker that came later is asked about
	d.answerAdvice(q, "w2")
	s, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(s.order.to.worker, order.WorkerID("w2"))
	d.is.Equal(s.order.ticket, "t-w2")
}

// Guards against a worker that is never asked about again after its ticket
// was refused, as a new life of the worker does.
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
	d.answerStart(s, NewRefusal(RefusedTicket, 0))
	d.advance(200 * time.Millisecond)
	_, ok = d.takeAdviceRequest()
	d.is.True(ok)
}

// Guards against further tasks for a worker that answers no order, until the
// call that waits for its ends has failed too.
func TestNoStartsOnUnresponsiveWorker(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.submit(1, smallStep(1))
	d.commitAll()
	s, ok := d.takeStart()
	d.is.True(ok)
	d.advance(2 * pollDelay) // the next call to the worker is open
	d.answerStart(s, errors.New("no answer"))
	d.submit(2, smallStep(1))
	d.commitAll()
	_, ok = d.takeStart()
	d.is.True(!ok)
	d.answerPoll("w1", []RunningTask{NewRunning(s.order.task, s.order.run, "", 10)}, nil)
	d.advance(100 * time.Millisecond)
	_, ok = d.takeStart()
	d.is.True(ok) // it reports again
}

// Guards against a gang that asks for tickets again and again because the
// workers that fit best have none, while others have room and valid tickets.
func TestGangUsesWorkersWithValidTickets(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(testAdvice, order.Resources{})
	d.addWorkers("w1", "w2", "w3")
	d.call(order.SubmitJob, smallStep(2).WithGang(true).WithPerWorker(1))
	q, ok := d.takeAdviceRequest()
	d.is.True(ok)
	fuller := d.m.workers["w3"]
	fuller.used = fuller.used.Plus(order.NewResources(4000, 1<<20, 0))
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

// Guards against a second run while the first may still be executed: the
// start had no answer, and only a stop that the worker confirmed ends that.
func TestRestartsUnconfirmedRunOnlyAfterStop(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
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

// Guards against an end that is acknowledged before it is in the store.
func TestAcknowledgesOnlyStoredEnds(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, []EndedTask{NewEnded(1, s.order.task, 1, EndDone, "")})
	d.advance(maxUnackedPollDelay + 2*pollDelay)
	h, ok := d.takePoll()
	d.is.True(ok)
	d.is.Equal(h.order.acked, int64(0))
	d.commitAll()
	d.feed(PolledMsg{order: h.order, sentAt: d.now, report: NewReport(2000, 1, nil, []EndedTask{NewEnded(1, s.order.task, 1, EndDone, "")})})
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

// Guards against two calls to a worker for each end: one that returns the same
// end at once, since it is not acknowledged yet, and one that acknowledges it.
func TestPollsAgainOnceEndsAreStored(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, []EndedTask{NewEnded(1, s.order.task, 1, EndDone, "")})
	d.advance(maxUnackedPollDelay / 2)
	_, ok := d.takePoll()
	d.is.True(!ok) // the worker would answer with the same end
	d.commitAll()
	d.advance(pollDelay)
	h, ok := d.takePoll()
	d.is.True(ok)
	d.is.Equal(h.order.acked, int64(1))
}

// Guards against a stop for each member of a gang that is done: one end stands
// for all, and the others end by themselves.
func TestNoStopsForFinishedGang(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1", "w2", "w3")
	d.call(order.SubmitJob, smallStep(3).WithGang(true).WithPerWorker(1))
	d.commitAll()
	var last StartCmd
	for range 3 {
		s, ok := d.takeStart()
		d.is.True(ok)
		d.answerStart(s, nil)
		last = s
	}
	d.advance(100 * time.Millisecond)
	d.answerPoll(last.order.to.worker, nil, []EndedTask{NewEnded(1, last.order.task, last.order.run, EndDone, "")})
	d.commitAll()
	_, ok := d.takeStop()
	d.is.True(!ok)
}

// Guards against a client that waits for its job to be stored behind a backlog
// of changes that nobody waits for.
func TestStoresNewJobsBeforeProgress(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.markManyDirty(4 * maxJobsPerBatch)
	d.m.Handle(d.now, NewCallMsg("client", order.JobCallMsg{}.WithVerb(order.SubmitJob).WithHost(testHost).
		WithPath("/proofs/"+testJob).WithKey(testKey).WithSpec(order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}))))
	d.advance(2 * flushInterval)
	c, ok := d.takeCommit()
	d.is.True(ok)
	d.is.Equal(c.batch.Writes()[0].Key(), jobKey(testJob))
}

// Guards against a backlog of changes that a fixed interval between batches
// keeps from the store for seconds.
func TestFlushesBacklogFaster(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
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

// Guards against a task that lasts and, restarted late in the life of its job,
// waits behind all others.
func TestRestartsLastingTasksFirst(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1).WithLasting(true))
	d.commitAll()
	s := d.m.jobs[testJob].steps[0]
	q, _ := d.m.config.Queue(testQueue)
	d.is.Equal(newPendingStep(d.now.Add(time.Hour), s, q).rank, rankInTime)
}

// Guards against starts above the team's limit.
func TestEnforcesTeamLimit(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.NewResources(2000, 0, 0))
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

// Guards against a new owner that starts a task again while a worker that it
// has not reached may run it.
func TestNewOwnerWaitsForAllWorkers(t *testing.T) {
	d := newDriver(t, 2)
	job := newJob(testJob, testQueue, testTeam, order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}), testStart, 1)
	value, err := job.record().MarshalCBOR()
	d.is.NoErr(err)
	d.is.NoErr(d.m.Restore(entries(jobKey(testJob), value)))
	list, err := order.WorkerList{}.WithWorkers([]order.WorkerRecord{
		order.WorkerRecord{}.WithID("w1").WithAddress("10.0.1.1:80"),
		order.WorkerRecord{}.WithID("w2").WithAddress("10.0.1.1:80"),
	}).MarshalCBOR()
	d.is.NoErr(err)
	d.is.NoErr(d.m.RestoreWorkers(entries(WorkersKey, list)[0]))
	d.configure(tariff.Advice{}, order.Resources{})
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1), workerInfo("w2", 1)}, nil, true))
	d.commitAll()
	d.answerPoll("w1", nil, nil)
	d.advance(5 * time.Second)
	_, started := d.takeStart()
	d.is.True(!started) // w2 may run the task
	d.answerPoll("w2", []RunningTask{NewRunning(NewTaskRef(testJob, 0, 0, 0), 1, "", 10)}, nil)
	d.advance(time.Second)
	_, started = d.takeStart()
	d.is.True(!started) // w2 does run it
}

// Guards against a task that waits for ever because the stop of its unclear
// run had no answer either.
func TestRetriesStopWithoutAnswer(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
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

// Guards against a refusal of a call whose job is in the store: it would say
// that the job never runs.
func TestResubmissionAfterKeyRemoval(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
	_, _ = d.takeReply()
	d.feed(NewConfigMsg(tariff.NewConfig(2, []tariff.Queue{tariff.NewQueue(testQueue, testHost, "/proofs/", "press")}, nil), nil))
	d.call(order.SubmitJob, smallStep(1))
	r, ok := d.takeReply()
	d.is.True(ok)
	d.is.Equal(r.Code(), order.OutcomeUnknown)
}

// Guards against a queue of questions whose tickets expire before there is
// room: only as many are sent as a host answers soon.
func TestBoundsAdviceRequestsUnderBacklog(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.NewAdvice(100*time.Millisecond, time.Millisecond, 2*time.Second), order.Resources{})
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

// Guards against a team that sends more than its share and delays the jobs of
// a team that does not.
func TestPlacesExcessLast(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
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

// Guards against short questions of urgent steps that wait behind long ones at
// every host.
func TestReservesHostsForShortAdvice(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.NewAdvice(500*time.Millisecond, time.Millisecond, 2*time.Second), order.Resources{})
	for _, h := range []order.MemberID{"h1", "h2", "h3", "h4", "h5"} {
		d.feed(NewHostMsg(h, true))
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
	d.is.Equal(n, 4) // of six hosts, one in three stays free
}

// Guards against calls that wait until their deadline while the store takes no
// jobs, and against refusing a job that a batch on its way may store.
func TestRefusesAtOnceWhileStoreStalls(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
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

// Guards against a task that never starts again after its worker is gone: the
// orders that the worker does not answer must not prolong its lease.
func TestRestartsAfterLeaseExpiry(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
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

// Guards against a question that the service refuses: a step on a large cell
// may have more workers to name than one question may hold.
func TestBoundsWorkersPerAdviceRequest(t *testing.T) {
	d := newDriver(t, testEpoch)
	q := tariff.NewQueue(testQueue, testHost, "/proofs/", "press").WithAdvice(testAdvice)
	s := &step{tickets: make(map[order.WorkerID]ticket)}
	var options []*worker
	for i := range 3 * maxAdviceWorkers {
		w := &worker{id: order.WorkerID(fmt.Sprintf("w%03d", i))}
		options = append(options, w)
		s.tickets[w.id] = ticket{validUntil: testStart.Add(time.Duration(-i) * time.Second)}
	}
	list := d.m.workersToRenew(pendingStep{step: s, queue: q}, options[:2*maxAdviceWorkers], options)
	d.is.Equal(len(list), maxAdviceWorkers)
	d.is.Equal(list[0], order.WorkerID("w199")) // its ticket ended first
	d.is.Equal(len(d.m.workersToRenew(pendingStep{step: s, queue: q}, nil, options)), minAdviceWorkers)
}

// Guards against a short task that waits on a worker whose tasks stand still.
func TestMovesStalledRun(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	run := []RunningTask{NewRunning(s.order.task, 1, "", 30)}
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

// Guards against tasks of a worker that left at the end of its drain which
// wait for the end of a lease that nobody holds.
func TestRestartsOnceDrainedWorkerLeft(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1", "w2")
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	leaver := s.order.to.worker
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo(leaver, 1).WithLife(1, true)}, nil, false))
	d.advance(time.Second)
	d.answerPoll(leaver, []RunningTask{NewRunning(s.order.task, 1, "", 50)}, nil)
	d.advance(time.Second)
	for {
		h, ok := d.takePoll()
		d.is.True(ok)
		if h.order.to.worker == leaver {
			d.feed(PolledMsg{order: h.order, sentAt: d.now, err: ErrNotSent})
			break
		}
	}
	d.advance(50 * time.Millisecond)
	_, ok := d.takeStart()
	d.is.True(!ok) // it may only be cut off
	d.feed(NewWorkersMsg(nil, []order.WorkerID{leaver}, false))
	d.advance(50 * time.Millisecond)
	s, ok = d.takeStart()
	d.is.True(ok)
	d.is.True(s.order.to.worker != leaver)
}

// Guards against jobs that wait behind a long backlog of a team at its limit.
func TestSkipsTeamsAtLimit(t *testing.T) {
	d := newDriver(t, testEpoch)
	q := tariff.NewQueue(testQueue, testHost, "/proofs/", "press")
	d.feed(NewConfigMsg(tariff.NewConfig(1, []tariff.Queue{q}, []tariff.Team{
		tariff.NewTeam("full", []string{"key-2"}, 0, order.NewResources(1, 0, 0)),
		tariff.NewTeam(testTeam, []string{testKey}, 0, order.Resources{}),
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

// Guards against jobs that can never run and keep those behind them from
// being looked at.
func TestPlacesJobsBehindImpossibleOnes(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
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
	d.m.jobs[testJob].excess = true // comes after all others
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

// Guards against a worker that is given more than it has room for by a new
// owner: what still runs there of a job that has ended takes room until it has
// stopped.
func TestCountsRunsOfEndedJobs(t *testing.T) {
	d := newDriver(t, 2)
	job := newJob(testJob, testQueue, testTeam, order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}), testStart, 1)
	job.state, job.ended = order.JobCancelled, testStart
	value, err := job.record().MarshalCBOR()
	d.is.NoErr(err)
	d.is.NoErr(d.m.Restore(entries(jobKey(testJob), value)))
	d.is.Equal(d.startsBeside(NewTaskRef(testJob, 0, 0, 0)), 7)
}

// Guards against the same where the journal has forgotten the job, so that the
// size of its run is not known.
func TestNoStartsBesideRunsOfUnknownSize(t *testing.T) {
	d := newDriver(t, 2)
	d.is.Equal(d.startsBeside(NewTaskRef(testJob, 0, 0, 0)), 0)
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, []EndedTask{NewEnded(1, NewTaskRef(testJob, 0, 0, 0), 1, EndStopped, "")})
	d.advance(100 * time.Millisecond)
	_, started := d.takeStart()
	d.is.True(started)
}

// startsBeside returns how many tasks of a job that fills the worker are
// started while the worker still runs the task, which is stopped.
func (d *driver) startsBeside(ref TaskRef) int {
	d.configure(tariff.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", []RunningTask{NewRunning(ref, 1, "", 10)}, nil)
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
