package scheduler

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/policy"
	"chervilhollow/storage"
)

type (
	// fleet holds workers that two owners can reach in part. It records the
	// starts that must not happen.
	fleet struct {
		now     time.Time
		workers map[order.WorkerID]*fleetWorker
		runs    []*fleetRun
		broken  []string
	}

	// fleetWorker is a worker with a fence, leases on its own clock, and ends
	// that it keeps until they are acknowledged.
	fleetWorker struct {
		id     order.WorkerID
		fence  order.Epoch
		lease  time.Time
		last   int64
		ends   []EndedTask
		lapsed map[int64]bool
	}

	// fleetRun is one run of a task at a worker.
	fleetRun struct {
		worker order.WorkerID
		task   TaskRef
		run    int
		due    time.Time
		number int64
		result Result
	}

	// fleetOwner is a driver whose commands go to the workers that it reaches.
	fleetOwner struct {
		*driver
		fleet   *fleet
		reaches func(order.WorkerID) bool
		polls   map[order.WorkerID]PollCmd
		failing map[order.WorkerID]time.Time
	}
)

const (
	fleetStep     = 20 * time.Millisecond
	fleetRunTime  = 9 * time.Second
	fleetPollTime = time.Second + orderTimeout
)

var errCut = errors.New("no response")

func newFleet(ids ...order.WorkerID) *fleet {
	f := &fleet{now: testStart, workers: make(map[order.WorkerID]*fleetWorker)}
	for _, id := range ids {
		f.workers[id] = &fleetWorker{id: id, lapsed: make(map[int64]bool)}
	}
	return f
}

func (f *fleet) clock() int64 { return 1000 + f.now.Sub(testStart).Milliseconds() }

func (f *fleet) deadline(clock int64) time.Time {
	return testStart.Add(time.Duration(clock-1000) * time.Millisecond)
}

// start begins a run, and records it if the task may not run.
func (f *fleet) start(w *fleetWorker, o StartOrder) error {
	if o.epoch < w.fence {
		return NewRefusedError(RefusedStaleEpoch, f.clock())
	}
	w.fence = o.epoch
	if end := f.deadline(o.leaseEnd); end.After(w.lease) {
		w.lease = end
	}
	for _, r := range f.runs {
		if r.task != o.task {
			continue
		}
		switch {
		case r.worker == w.id && r.run == o.run:
			return nil
		case r.result == 0:
			f.broken = append(f.broken, fmt.Sprintf("%v of %v at %s while run %d is at %s", o.run, o.task, w.id, r.run, r.worker))
		case r.result == ResultDone && !f.workers[r.worker].lapsed[r.number]:
			f.broken = append(f.broken, fmt.Sprintf("%v of %v at %s after run %d is done at %s", o.run, o.task, w.id, r.run, r.worker))
		}
	}
	f.runs = append(f.runs, &fleetRun{worker: w.id, task: o.task, run: o.run, due: f.now.Add(fleetRunTime)})
	return nil
}

// advance ends the runs that are due or whose lease has expired. An end that is
// not acknowledged when the lease expires no longer counts.
func (f *fleet) advance() {
	f.now = f.now.Add(fleetStep)
	for _, w := range f.workers {
		expired := f.now.After(w.lease)
		if expired {
			for _, e := range w.ends {
				w.lapsed[e.number] = true
			}
		}
		for _, r := range f.runs {
			switch {
			case r.worker != w.id || r.result != 0:
			case expired:
				f.end(w, r, ResultLeaseExpired)
			case !f.now.Before(r.due):
				f.end(w, r, ResultDone)
			}
		}
	}
}

func (f *fleet) end(w *fleetWorker, r *fleetRun, result Result) {
	w.last++
	r.result, r.number = result, w.last
	w.ends = append(w.ends, NewEndedTask(w.last, r.task, r.run, result, ""))
}

// report answers a poll.
func (f *fleet) report(w *fleetWorker, o PollOrder) (Report, error) {
	if o.epoch < w.fence {
		return Report{}, NewRefusedError(RefusedStaleEpoch, f.clock())
	}
	w.fence = o.epoch
	if end := f.deadline(o.leaseEnd); end.After(w.lease) {
		w.lease = end
	}
	w.ends = slices.DeleteFunc(w.ends, func(e EndedTask) bool { return e.number <= o.acked })
	var running []RunningTask
	for _, r := range f.runs {
		if r.worker == w.id && r.result == 0 {
			running = append(running, NewRunningTask(r.task, r.run, "", int(f.now.Sub(testStart).Seconds())))
		}
	}
	return NewReport(f.clock(), 1, running, slices.Clone(w.ends)), nil
}

func newFleetOwner(t *testing.T, f *fleet, epoch order.Epoch) *fleetOwner {
	d := newDriver(t, epoch)
	registry := gauge.New(zerolog.Nop())
	registry.SetStrict(true)
	record := storage.NewEntry("cell/owner", nil, 1)
	d.now, d.m = f.now, New(testMember, epoch, record, NewLimits(10*time.Second, time.Minute).WithWriteRate(400), f.now, registry, zerolog.Nop())
	return &fleetOwner{
		driver: d, fleet: f, reaches: func(order.WorkerID) bool { return true },
		polls: make(map[order.WorkerID]PollCmd), failing: make(map[order.WorkerID]time.Time),
	}
}

// step lets the owner decide and carries out its orders. Commits succeed only
// while the store confirms the ownership.
func (o *fleetOwner) step() {
	o.now = o.fleet.now
	o.decide()
	commands := o.commands
	o.commands = nil
	for _, c := range commands {
		switch c := c.(type) {
		case StartCmd:
			o.m.Handle(o.now, o.sendStart(c.order))
		case StopCmd:
			o.m.Handle(o.now, StoppedMsg{order: c.order, err: errCut})
		case PollCmd:
			o.polls[c.order.to.worker] = c
			o.failing[c.order.to.worker] = o.now.Add(fleetPollTime)
		case CommitCmd:
			if !o.unconfirmed {
				o.version++
				o.m.Handle(o.now, CommittedMsg{batchID: c.batchID, version: o.version})
			}
		}
	}
	for _, id := range []order.WorkerID{"a1", "b1", "b2", "c1", "c2"} {
		c, open := o.polls[id]
		switch {
		case !open:
		case o.reaches(id):
			delete(o.polls, id)
			report, err := o.fleet.report(o.fleet.workers[id], c.order)
			o.m.Handle(o.now, PolledMsg{order: c.order, sentAt: o.now, report: report, err: err})
		case o.now.After(o.failing[id]):
			delete(o.polls, id)
			o.m.Handle(o.now, PolledMsg{order: c.order, sentAt: o.now, err: errCut})
		}
	}
}

func (o *fleetOwner) sendStart(s StartOrder) StartedMsg {
	if !o.reaches(s.to.worker) {
		return StartedMsg{order: s, err: ErrNotSent}
	}
	err := o.fleet.start(o.fleet.workers[s.to.worker], s)
	return StartedMsg{order: s, clock: o.fleet.clock(), err: err}
}

func (o *fleetOwner) list(ids ...order.WorkerID) {
	var infos []WorkerInfo
	for _, id := range ids {
		infos = append(infos, workerInfo(id, 1))
	}
	o.m.Handle(o.now, NewWorkersMsg(infos, nil, true))
}

// A partition with one owner on each side must not start a task twice.
func TestNoTaskRunsTwiceAroundPartition(t *testing.T) {
	ids := []order.WorkerID{"a1", "b1", "b2", "c1", "c2"}
	for _, zone := range []string{"a", "b", "c"} {
		t.Run(zone, func(t *testing.T) { playPartition(t, zone, ids) })
	}
}

// playPartition cuts the old owner off with the workers whose ID begins with
// the zone, while a new owner with the store reaches all others. The partition
// ends after 16 s.
func playPartition(t *testing.T, zone string, ids []order.WorkerID) {
	f := newFleet(ids...)
	inside := func(id order.WorkerID) bool { return string(id[:1]) == zone }
	o, job := startFirstOwner(t, f, ids, smallStep(20), smallStep(20).WithAfter([]int{0}))
	o.unconfirmed, o.reaches = true, inside
	f.play(1500*time.Millisecond, o)
	n := startSuccessor(t, f, ids, job)
	n.reaches = func(id order.WorkerID) bool { return !inside(id) }
	f.play(16*time.Second, o, n)
	n.reaches = func(order.WorkerID) bool { return true }
	f.play(20*time.Second, n)
	f.check(t)
	n.is.True(n.m.jobs[testJob].complete())
}

// play lets time pass for the fleet and the owners.
func (f *fleet) play(length time.Duration, owners ...*fleetOwner) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.advance()
		for _, owner := range owners {
			owner.step()
		}
	}
}

func (f *fleet) check(t *testing.T) {
	t.Helper()
	if len(f.broken) > 0 {
		t.Errorf("%d starts of tasks that were running or done, first: %s", len(f.broken), f.broken[0])
	}
}

// startFirstOwner returns the first owner of the fleet, which has started the first 20 tasks of the job, and the job's record.
func startFirstOwner(t *testing.T, f *fleet, ids []order.WorkerID, steps ...order.JobStep) (*fleetOwner, []byte) {
	o := newFleetOwner(t, f, 1)
	o.configure(policy.Advice{}, order.Resources{})
	o.list(ids...)
	f.play(time.Second, o)
	o.call(order.SubmitJob, steps...)
	job, err := o.m.jobs[testJob].record().MarshalCBOR()
	o.is.NoErr(err)
	f.play(time.Second, o)
	o.is.Equal(len(f.runs), 20)
	return o, job
}

// startSuccessor returns a later owner that has read the job and the list of workers.
func startSuccessor(t *testing.T, f *fleet, ids []order.WorkerID, job []byte) *fleetOwner {
	n := newFleetOwner(t, f, 2)
	n.m.Restore(entries(jobKey(testJob), job))
	var records []order.WorkerRecord
	for _, id := range ids {
		records = append(records, order.WorkerRecord{}.WithID(id).WithAddress("10.0.1.1:80").WithService("press"))
	}
	list, err := order.WorkerList{}.WithWorkers(records).MarshalCBOR()
	n.is.NoErr(err)
	n.m.RestoreWorkers(entries(WorkersKey, list)[0])
	n.list(ids...)
	n.configure(policy.Advice{}, order.Resources{})
	return n
}

// An owner without the store must not grant leases that a successor does not count with.
func TestLeasesEndWithConfirmedOwnership(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(2))
	d.unconfirmed = true
	confirmedAt := d.now
	latest, polls := int64(0), 0
	for d.now.Sub(confirmedAt) < 2*d.m.limits.maxLease {
		if p, ok := d.takePoll(); ok {
			d.is.True(p.order.permit.use(d.now)) // polls go on without a lease
			polls++
			latest = max(latest, p.order.leaseEnd)
			d.feed(PolledMsg{order: p.order, sentAt: d.now, report: NewReport(1000+d.now.Sub(testStart).Milliseconds(), 1, nil, nil)})
		}
		d.advance(20 * time.Millisecond)
	}
	d.is.True(polls > 20)
	bound := 1000 + confirmedAt.Add(d.m.limits.maxLease).Sub(testStart).Milliseconds()
	d.is.True(latest <= bound)
	d.is.True(latest > bound-1000) // running tasks go on through an outage of the store
}

// An owner without the store must not start tasks that a successor may have cancelled.
func TestNoStartsOnceSuccessorMayHaveCancelled(t *testing.T) {
	for after, want := range map[time.Duration]bool{2 * time.Second: true, 4 * time.Second: false} {
		t.Run(after.String(), func(t *testing.T) {
			d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1), smallStep(1).WithAfter([]int{0}))
			s, ok := d.takeStart()
			d.is.True(ok)
			d.answerStart(s, nil)
			d.unconfirmed = true
			d.advance(after)
			d.answerPoll("w1", nil, []EndedTask{NewEndedTask(1, s.order.task, 1, ResultDone, "")})
			d.advance(100 * time.Millisecond)
			_, started := d.takeStart()
			d.is.Equal(started, want)
			d.unconfirmed = false
			d.advance(100 * time.Millisecond)
			d.is.True(started || d.startedOf(testJob) == 1)
		})
	}
}

// A stored batch must count as a confirmation: reads of the record may be refused while writes are served.
func TestStoredBatchConfirmsOwnership(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.unconfirmed = true
	d.advance(5 * time.Second)
	d.is.True(!d.m.mayStart(d.now))
	d.call(order.SubmitJob, smallStep(1))
	d.advance(2 * flushInterval)
	c, ok := d.takeCommit()
	d.is.True(ok)
	d.feed(CommittedMsg{batchID: c.batchID, version: 11, sentAt: d.now})
	d.is.True(d.m.mayStart(d.now))
}

// A start that waits to be sent must not be sent once a successor may have cancelled its job.
func TestQueuedStartExpiresWithConfirmation(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	for _, c := range d.commands {
		if s, ok := c.(StartCmd); ok {
			d.is.True(!s.order.permit.use(d.now.Add(d.m.limits.cancelBound)))
			d.is.True(s.order.permit.use(d.now.Add(d.m.limits.cancelBound / 2)))
			return
		}
	}
	t.Fatal("no start")
}

// A refusal for a later epoch must end the ownership at once.
func TestLaterEpochEndsOwnership(t *testing.T) {
	refused := NewRefusedError(RefusedStaleEpoch, 0)
	for name, refuse := range map[string]func(d *driver){
		"poll": func(d *driver) {
			p, ok := d.takePoll()
			d.is.True(ok)
			d.feed(PolledMsg{order: p.order, sentAt: d.now, err: refused})
		},
		"start": func(d *driver) {
			s, ok := d.takeStart()
			d.is.True(ok)
			d.answerStart(s, refused)
		},
		"stop": func(d *driver) {
			d.feed(StoppedMsg{order: StopOrder{to: d.m.workers["w1"].address(), task: NewTaskRef(testJob, 0, 0, 0), run: 1}, err: refused})
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
			d.is.True(!d.m.Superseded())
			refuse(d)
			d.is.True(d.m.Superseded())
		})
	}
}

// An owner whose machine was suspended must not act on a confirmation from before.
func TestSuspensionCountsAsTimeWithoutConfirmation(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.unconfirmed = true
	d.m.Handle(d.now, SuspendedMsg{total: d.m.limits.maxLease})
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
	_, started := d.takeStart()
	d.is.True(!started)
	d.is.Equal(d.m.leaseLength(d.now), time.Duration(0))
	d.unconfirmed = false
	d.advance(100 * time.Millisecond)
	_, started = d.takeStart()
	d.is.True(started)
}

// The end of a run that its worker didn't list must not repeat its task before the store confirms the ownership, nor later than that: a successor may have taken note that it was done.
func TestExitedWorkerNeedsOneConfirmation(t *testing.T) {
	for name, err := range map[string]error{"left": errRefused, "another worker": NewRefusedError(RefusedIncarnation, 0)} {
		t.Run(name, func(t *testing.T) {
			d := newDriverWithJob(t, []order.WorkerID{"w1", "w2"}, smallStep(1))
			s, ok := d.takeStart()
			d.is.True(ok)
			d.answerStart(s, nil)
			d.unconfirmed = true
			d.feed(NewWorkersMsg([]WorkerInfo{workerInfo(s.order.to.worker, 1).WithIncarnation(1, true)}, nil, false).WithChangedAfter(d.now, 0))
			d.feed(deletion(s.order.to.worker))
			for range 5 {
				d.failPoll(s.order.to.worker, err)
				d.advance(20 * time.Millisecond)
				if _, open := d.openPoll(map[order.WorkerID]bool{s.order.to.worker: true}); !open && d.m.workers[s.order.to.worker] == nil {
					break
				}
				d.advance(pollRetryDelay)
			}
			d.is.Equal(d.startedOf(testJob), 0)
			d.confirm()
			d.advance(100 * time.Millisecond)
			d.is.Equal(d.startedOf(testJob), 1)
		})
	}
}

// An owner that the store doesn't confirm must not say that a job is unknown, as a successor may have accepted it.
func TestUnknownJobNeedsConfirmation(t *testing.T) {
	for _, verb := range []order.JobVerb{order.CancelJob, order.JobStatus} {
		d := newDriver(t, testEpoch)
		d.configure(policy.Advice{}, order.Resources{})
		d.unconfirmed = true
		d.call(verb)
		_, replied := d.takeReply()
		d.is.True(!replied)
		d.confirm()
		d.advance(20 * time.Millisecond)
		reply, replied := d.takeReply()
		d.is.True(replied)
		d.is.Equal(reply.Code(), order.UnknownRequest)

		d.call(verb)
		d.advance(uncertainReplyDelay + 20*time.Millisecond)
		reply, replied = d.takeReply()
		d.is.True(replied)
		d.is.Equal(reply.Code(), order.OutcomeUnknown)
	}
}

// A poll to a worker that may have restarted must not acknowledge ends by the numbers of its earlier life.
func TestPollAfterMissedCallAcknowledgesNothing(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(7, s.order.task, s.order.run, ResultDone, "")})
	d.commitAll()
	p, ok := d.takePollOf("w1")
	d.is.True(ok)
	d.is.Equal(p.order.acked, int64(7))
	d.feed(PolledMsg{order: p.order, sentAt: d.now, err: errCut})
	d.advance(time.Second)
	p, ok = d.takePollOf("w1")
	d.is.True(ok)
	d.is.Equal(p.order.acked, int64(0))
}

// A confirmation of another ownership of this process must not count.
func TestConfirmationOfAnotherEpochDoesNotCount(t *testing.T) {
	d := newDriver(t, testEpoch+1)
	d.unconfirmed = true
	d.m.Handle(d.now, NewConfirmedMsg(testEpoch, d.now, 0))
	d.is.True(!d.m.mayStart(d.now))
	d.m.Handle(d.now, NewConfirmedMsg(testEpoch+1, d.now, 0))
	d.is.True(d.m.mayStart(d.now))
	d.m.Handle(d.now, NewConfirmedMsg(testEpoch+1, d.now.Add(-time.Minute), 0))
	d.is.True(d.m.mayStart(d.now))
}

// A new owner must not count a worker without contact as lapsed until the store has confirmed it after the longest lease.
func TestNewOwnerRecoversOnlyOnceConfirmed(t *testing.T) {
	d := newSuccessor(t, order.Resources{}, []order.JobStep{smallStep(1)}, []order.WorkerID{"w1", "w2"}, "w1", "w2")
	d.answerPoll("w1", nil, nil)
	longest := d.m.startedAt.Add(maxLeaseTime(d.m.limits.maxLease))
	d.advance(longest.Sub(d.now) - time.Second)
	d.unconfirmed = true
	d.advance(2 * time.Second)
	d.is.True(d.now.After(longest) && d.m.mayStart(d.now))
	d.is.True(!d.m.recovered())
	d.unconfirmed = false
	d.advance(20 * time.Millisecond)
	d.is.True(d.m.recovered())
}
