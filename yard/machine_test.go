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
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.call(order.SubmitJob, smallStep(2))
	_, started := d.takeStart()
	_, replied := d.reply()
	d.is.True(!started)
	d.is.True(!replied)
	d.commit()
	r, replied := d.reply()
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
func TestAsksAboutWorkersThatComeLater(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(testAdvice, order.Resources{})
	d.list("w1")
	d.call(order.SubmitJob, smallStep(1))
	q, ok := d.question()
	d.is.True(ok)
	d.advise(q)
	d.commit()
	d.list("w2")
	d.wait(200 * time.Millisecond)
	q, ok = d.question()
	d.is.True(ok) // the worker that came later is asked about
	d.advise(q, "w2")
	s, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(s.order.to.worker, order.WorkerID("w2"))
	d.is.Equal(s.order.ticket, "t-w2")
}

// Guards against a worker that is never asked about again after its ticket
// was refused, as a new life of the worker does.
func TestAsksAgainAfterRefusedTicket(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(testAdvice, order.Resources{})
	d.list("w1")
	d.call(order.SubmitJob, smallStep(1))
	q, _ := d.question()
	d.advise(q, "w1")
	d.commit()
	s, ok := d.takeStart()
	d.is.True(ok)
	d.started(s, NewRefusal(RefusedTicket, 0))
	d.wait(200 * time.Millisecond)
	_, ok = d.question()
	d.is.True(ok)
}

// Guards against further tasks for a worker that answers no order, until the
// call that waits for its ends has failed too.
func TestGivesNothingToAWorkerThatAnswersNoStart(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.submit(1, smallStep(1))
	d.commit()
	s, ok := d.takeStart()
	d.is.True(ok)
	d.wait(2 * holdPause) // the next call to the worker is open
	d.started(s, errors.New("no answer"))
	d.submit(2, smallStep(1))
	d.commit()
	_, ok = d.takeStart()
	d.is.True(!ok)
	d.held("w1", []RunningTask{NewRunning(s.order.task, s.order.run, "", 10)}, nil)
	d.wait(100 * time.Millisecond)
	_, ok = d.takeStart()
	d.is.True(ok) // it reports again
}

// Guards against a gang that asks for tickets again and again because the
// workers that fit best have none, while others have room and valid tickets.
func TestStartsAGangWhereTicketsAreValid(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(testAdvice, order.Resources{})
	d.list("w1", "w2", "w3")
	d.call(order.SubmitJob, smallStep(2).WithGang(true).WithPerWorker(1))
	q, ok := d.question()
	d.is.True(ok)
	fuller := d.m.workers["w3"]
	fuller.used = fuller.used.Plus(order.NewResources(4000, 1<<20, 0))
	d.advise(q, "w1", "w2", "w3")
	d.m.jobs[testJob].steps[0].allowed["w3"] = ticket{text: "t-w3", until: d.now}
	d.commit()
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
func TestRepeatsAnUnclearStartOnlyAfterItsStop(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commit()
	s, _ := d.takeStart()
	d.started(s, errDiverged)
	d.wait(time.Second)
	_, again := d.takeStart()
	d.is.True(!again)
	d.held("w1", nil, nil)
	stop, ok := d.takeStop()
	d.is.True(ok)
	d.wait(100 * time.Millisecond)
	d.step(StoppedMsg{order: stop.order})
	_, again = d.takeStart()
	d.is.True(!again)
	d.wait(100 * time.Millisecond)
	d.held("w1", nil, nil)
	second, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(second.order.run, 2)
}

// Guards against an end that is acknowledged before it is in the store.
func TestAcknowledgesOnlyStoredEnds(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commit()
	s, _ := d.takeStart()
	d.started(s, nil)
	d.wait(100 * time.Millisecond)
	d.held("w1", nil, []EndedTask{NewEnded(1, s.order.task, 1, EndDone, "")})
	d.wait(unstoredPause + 2*holdPause)
	h, ok := d.takeHold()
	d.is.True(ok)
	d.is.Equal(h.order.seen, int64(0))
	d.commit()
	d.step(HeldMsg{order: h.order, sent: d.now, report: NewReport(2000, 1, nil, []EndedTask{NewEnded(1, s.order.task, 1, EndDone, "")})})
	d.wait(time.Second)
	h, ok = d.takeHold()
	d.is.True(ok)
	d.is.Equal(h.order.seen, int64(1))
	d.call(order.JobStatus)
	r, _ := d.reply()
	for r.State() != order.JobCompleted {
		var ok bool
		if r, ok = d.reply(); !ok {
			t.Fatal("the job is not shown as completed")
		}
	}
}

// Guards against two calls to a worker for each end: one that returns the same
// end at once, since it is not acknowledged yet, and one that acknowledges it.
func TestAsksAWorkerAgainOnceItsEndsAreStored(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commit()
	s, _ := d.takeStart()
	d.started(s, nil)
	d.wait(100 * time.Millisecond)
	d.held("w1", nil, []EndedTask{NewEnded(1, s.order.task, 1, EndDone, "")})
	d.wait(unstoredPause / 2)
	_, ok := d.takeHold()
	d.is.True(!ok) // the worker would answer with the same end
	d.commit()
	d.wait(holdPause)
	h, ok := d.takeHold()
	d.is.True(ok)
	d.is.Equal(h.order.seen, int64(1))
}

// Guards against a stop for each member of a gang that is done: one end stands
// for all, and the others end by themselves.
func TestStopsNoMemberOfAGangThatIsDone(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1", "w2", "w3")
	d.call(order.SubmitJob, smallStep(3).WithGang(true).WithPerWorker(1))
	d.commit()
	var last StartCmd
	for range 3 {
		s, ok := d.takeStart()
		d.is.True(ok)
		d.started(s, nil)
		last = s
	}
	d.wait(100 * time.Millisecond)
	d.held(last.order.to.worker, nil, []EndedTask{NewEnded(1, last.order.task, last.order.run, EndDone, "")})
	d.commit()
	_, ok := d.takeStop()
	d.is.True(!ok)
}

// Guards against a client that waits for its job to be stored behind a backlog
// of changes that nobody waits for.
func TestStoresNewJobsBeforeProgress(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.changeMany(4 * batchJobs)
	d.m.Step(d.now, NewCallMsg("client", order.JobCallMsg{}.WithVerb(order.SubmitJob).WithHost(testHost).
		WithPath("/proofs/"+testJob).WithKey(testKey).WithSpec(order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}))))
	d.wait(2 * flushInterval)
	c, ok := d.takeCommit()
	d.is.True(ok)
	d.is.Equal(c.batch.Writes()[0].Key(), jobKey(testJob))
}

// Guards against a backlog of changes that a fixed interval between batches
// keeps from the store for seconds.
func TestStoresABacklogFaster(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.changeMany(8 * batchJobs)
	n := 0
	for range 8 {
		d.now = d.now.Add(5 * time.Millisecond) // 200 a second, half of the store's rate
		d.settle()
		for c, ok := d.takeCommit(); ok; c, ok = d.takeCommit() {
			n += len(c.batch.Writes())
			d.version++
			d.m.Step(d.now, CommittedMsg{flight: c.flight, version: d.version})
		}
	}
	if n < 7*batchJobs {
		t.Fatalf("%d changes were stored in 40 ms", n)
	}
}

// Guards against a task that lasts and, restarted late in the life of its job,
// waits behind all others.
func TestRestartsLastingTasksFirst(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.call(order.SubmitJob, smallStep(1).WithLasting(true))
	d.commit()
	s := d.m.jobs[testJob].steps[0]
	q, _ := d.m.config.Queue(testQueue)
	d.is.Equal(newTurn(d.now.Add(time.Hour), s, q).rank, rankInTime)
}

// Guards against starts above the team's limit.
func TestKeepsTeamLimit(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.NewResources(2000, 0, 0))
	d.list("w1")
	d.call(order.SubmitJob, smallStep(5))
	d.commit()
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
func TestNewOwnerWaitsForUnreachedWorkers(t *testing.T) {
	d := newDrive(t, 2)
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
	d.step(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1), workerInfo("w2", 1)}, nil, true))
	d.commit()
	d.held("w1", nil, nil)
	d.wait(5 * time.Second)
	_, started := d.takeStart()
	d.is.True(!started) // w2 may run the task
	d.held("w2", []RunningTask{NewRunning(NewTaskRef(testJob, 0, 0, 0), 1, "", 10)}, nil)
	d.wait(time.Second)
	_, started = d.takeStart()
	d.is.True(!started) // w2 does run it
}

// Guards against a task that waits for ever because the stop of its unclear
// run had no answer either.
func TestRepeatsAStopWithoutAnswer(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commit()
	s, _ := d.takeStart()
	d.started(s, errDiverged)
	d.wait(100 * time.Millisecond)
	d.held("w1", nil, nil)
	d.wait(100 * time.Millisecond)
	d.held("w1", nil, nil)
	stop, ok := d.takeStop()
	d.is.True(ok)
	d.step(StoppedMsg{order: stop.order, err: errDiverged})
	d.wait(stopRepeat)
	d.held("w1", nil, nil)
	_, ok = d.takeStop()
	d.is.True(ok)
}

// Guards against a refusal of a call whose job is in the store: it would say
// that the job never runs.
func TestRefusesNoStoredJobForItsKey(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commit()
	_, _ = d.reply()
	d.step(NewConfigMsg(tariff.NewConfig(2, []tariff.Queue{tariff.NewQueue(testQueue, testHost, "/proofs/", "press")}, nil), nil))
	d.call(order.SubmitJob, smallStep(1))
	r, ok := d.reply()
	d.is.True(ok)
	d.is.Equal(r.Code(), order.OutcomeUnknown)
}

// Guards against a queue of questions whose tickets expire before there is
// room: only as many are sent as a host answers soon.
func TestBoundsQuestionsUnderBacklog(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.NewAdvice(100*time.Millisecond, time.Millisecond, 2*time.Second), order.Resources{})
	d.list("w1")
	for i := range 20 {
		d.submit(i, smallStep(1))
	}
	n := 0
	for {
		if _, ok := d.question(); !ok {
			break
		}
		n++
	}
	d.is.True(n >= 1 && n <= 3)
}

// Guards against a team that sends more than its share and delays the jobs of
// a team that does not.
func TestPlacesExcessLast(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	for i := range 4 {
		d.submit(i, smallStep(8))
	}
	d.commit()
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
func TestLeavesHostsForShortQuestions(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.NewAdvice(500*time.Millisecond, time.Millisecond, 2*time.Second), order.Resources{})
	for _, h := range []order.MemberID{"h1", "h2", "h3", "h4", "h5"} {
		d.step(NewHostMsg(h, true))
	}
	d.list("w1")
	for i := range 20 {
		d.submit(i, smallStep(1))
	}
	n := 0
	for {
		if _, ok := d.question(); !ok {
			break
		}
		n++
	}
	d.is.Equal(n, 4) // of six hosts, one in three stays free
}

// Guards against calls that wait until their deadline while the store takes no
// jobs, and against refusing a job that a batch on its way may store.
func TestRefusesAtOnceWhileStoreStalls(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.submit(0, smallStep(1))
	d.wait(2 * stallAfter)
	_, replied := d.reply()
	d.is.True(!replied) // its batch may be stored
	d.submit(1, smallStep(1))
	r, replied := d.reply()
	d.is.True(replied)
	d.is.Equal(r.Code(), order.JournalUnavailable)
	d.is.Equal(d.m.jobs[jobID(1)], nil)
	d.commit()
	r, replied = d.reply()
	d.is.True(replied)
	d.is.Equal(r.Code(), order.Done)
}

// Guards against a task that never starts again after its worker is gone: the
// orders that the worker does not answer must not prolong its lease.
func TestStartsAgainAfterTheLeaseOfASilentWorker(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commit()
	s, ok := d.takeStart()
	d.is.True(ok)
	d.started(s, nil)
	d.list("w2")
	silent := d.now
	for d.now.Sub(silent) < lapse(leaseLength)+2*time.Second {
		h, ok := d.takeHold()
		switch {
		case ok && h.order.to.worker == "w1":
			d.step(HeldMsg{order: h.order, sent: d.now, err: errDiverged})
		case ok:
			d.step(HeldMsg{order: h.order, sent: d.now, report: NewReport(1000+d.now.Sub(testStart).Milliseconds(), 1, nil, nil)})
		}
		d.wait(20 * time.Millisecond)
		if s, ok := d.takeStart(); ok {
			d.is.True(d.now.Sub(silent) > leaseLength)
			d.is.Equal(s.order.run, 2)
			d.is.Equal(s.order.to.worker, order.WorkerID("w2"))
			return
		}
	}
	t.Fatal("the task did not start again")
}

// Guards against a question that the service refuses: a step on a large cell
// may have more workers to name than one question may hold.
func TestBoundsTheWorkersOfAQuestion(t *testing.T) {
	d := newDrive(t, testEpoch)
	q := tariff.NewQueue(testQueue, testHost, "/proofs/", "press").WithAdvice(testAdvice)
	s := &step{allowed: make(map[order.WorkerID]ticket)}
	var options []*worker
	for i := range 3 * adviceMost {
		w := &worker{id: order.WorkerID(fmt.Sprintf("w%03d", i))}
		options = append(options, w)
		s.allowed[w.id] = ticket{until: testStart.Add(time.Duration(-i) * time.Second)}
	}
	list := d.m.named(turn{step: s, queue: q}, options[:2*adviceMost], options)
	d.is.Equal(len(list), adviceMost)
	d.is.Equal(list[0], order.WorkerID("w199")) // its ticket ended first
	d.is.Equal(len(d.m.named(turn{step: s, queue: q}, nil, options)), adviceLeast)
}

// Guards against a short task that waits on a worker whose tasks stand still.
func TestMovesARunThatStandsStill(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commit()
	s, _ := d.takeStart()
	d.started(s, nil)
	run := []RunningTask{NewRunning(s.order.task, 1, "", 30)}
	for range 3 {
		d.wait(time.Second)
		_, moved := d.takeStop()
		d.is.True(!moved)
		d.held("w1", run, nil)
	}
	d.wait(time.Second)
	d.held("w1", run, nil)
	_, moved := d.takeStop()
	d.is.True(moved)
}

// Guards against tasks of a worker that left at the end of its drain which
// wait for the end of a lease that nobody holds.
func TestStartsAgainAtOnceWhenADrainedWorkerLeft(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1", "w2")
	d.call(order.SubmitJob, smallStep(1))
	d.commit()
	s, _ := d.takeStart()
	d.started(s, nil)
	leaver := s.order.to.worker
	d.step(NewWorkersMsg([]WorkerInfo{workerInfo(leaver, 1).WithLife(1, true)}, nil, false))
	d.wait(time.Second)
	d.held(leaver, []RunningTask{NewRunning(s.order.task, 1, "", 50)}, nil)
	d.wait(time.Second)
	for {
		h, ok := d.takeHold()
		d.is.True(ok)
		if h.order.to.worker == leaver {
			d.step(HeldMsg{order: h.order, sent: d.now, err: ErrNotSent})
			break
		}
	}
	d.wait(50 * time.Millisecond)
	_, ok := d.takeStart()
	d.is.True(!ok) // it may only be cut off
	d.step(NewWorkersMsg(nil, []order.WorkerID{leaver}, false))
	d.wait(50 * time.Millisecond)
	s, ok = d.takeStart()
	d.is.True(ok)
	d.is.True(s.order.to.worker != leaver)
}

// Guards against jobs that wait behind a long backlog of a team at its limit.
func TestPassesOverTeamsAtTheirLimit(t *testing.T) {
	d := newDrive(t, testEpoch)
	q := tariff.NewQueue(testQueue, testHost, "/proofs/", "press")
	d.step(NewConfigMsg(tariff.NewConfig(1, []tariff.Queue{q}, []tariff.Team{
		tariff.NewTeam("full", []string{"key-2"}, 0, order.NewResources(1, 0, 0)),
		tariff.NewTeam(testTeam, []string{testKey}, 0, order.Resources{}),
	}), nil))
	d.list("w1")
	for i := range 2 * placeVain {
		d.step(NewCallMsg("client", order.JobCallMsg{}.WithVerb(order.SubmitJob).WithHost(testHost).
			WithPath("/proofs/"+string(jobID(i))).WithKey("key-2").WithSpec(order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}))))
		if i%10 == 0 {
			d.commit()
		}
	}
	d.call(order.SubmitJob, smallStep(1))
	d.commit()
	s, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(s.order.task.job, order.JobID(testJob))
}

// Guards against jobs that can never run and keep those behind them from
// being looked at.
func TestLooksBehindJobsThatCanNeverRun(t *testing.T) {
	d := newDrive(t, testEpoch)
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	impossible := smallStep(1).WithSize(order.NewResources(1<<40, 0, 0))
	for i := range 2 * placeVain {
		d.submit(i, impossible)
		if i%10 == 0 {
			d.commit()
		}
	}
	d.m.Step(d.now, NewCallMsg("client", order.JobCallMsg{}.WithVerb(order.SubmitJob).WithHost(testHost).
		WithPath("/proofs/"+testJob).WithKey(testKey).WithSpec(order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}))))
	d.m.jobs[testJob].excess = true // comes after all others
	d.commit()
	for range 40 {
		d.wait(500 * time.Millisecond)
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
	d := newDrive(t, 2)
	job := newJob(testJob, testQueue, testTeam, order.JobSpec{}.WithSteps([]order.JobStep{smallStep(1)}), testStart, 1)
	job.state, job.ended = order.JobCancelled, testStart
	value, err := job.record().MarshalCBOR()
	d.is.NoErr(err)
	d.is.NoErr(d.m.Restore(entries(jobKey(testJob), value)))
	d.is.Equal(d.startsBeside(NewTaskRef(testJob, 0, 0, 0)), 7)
}

// Guards against the same where the journal has forgotten the job, so that the
// size of its run is not known.
func TestGivesNothingToAWorkerWithRunsOfUnknownSize(t *testing.T) {
	d := newDrive(t, 2)
	d.is.Equal(d.startsBeside(NewTaskRef(testJob, 0, 0, 0)), 0)
	d.wait(100 * time.Millisecond)
	d.held("w1", nil, []EndedTask{NewEnded(1, NewTaskRef(testJob, 0, 0, 0), 1, EndStopped, "")})
	d.wait(100 * time.Millisecond)
	_, started := d.takeStart()
	d.is.True(started)
}

// startsBeside returns how many tasks of a job that fills the worker are
// started while the worker still runs the task, which is stopped.
func (d *drive) startsBeside(ref TaskRef) int {
	d.configure(tariff.Advice{}, order.Resources{})
	d.list("w1")
	d.wait(100 * time.Millisecond)
	d.held("w1", []RunningTask{NewRunning(ref, 1, "", 10)}, nil)
	stop, ok := d.takeStop()
	d.is.True(ok)
	d.is.Equal(stop.order.task, ref)
	d.submit(0, smallStep(8))
	d.commit()
	n := 0
	for {
		if _, ok := d.takeStart(); !ok {
			return n
		}
		n++
	}
}
