package scheduler

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/policy"
	"chervilhollow/storage"
)

// driver runs a scheduler without I/O: tests feed it inputs, advance its time
// and check the commands that it returns.
type driver struct {
	t        testing.TB
	is       *is.I
	m        *Scheduler
	now      time.Time
	version  storage.Version
	commands []Command

	// unconfirmed reports whether the store no longer confirms the ownership.
	unconfirmed bool
}

const (
	testQueue  = "proofs"
	testHost   = "shop.example"
	testKey    = "key-1"
	testTeam   = "engravers"
	testJob    = "5c0e7a21d94b36f8"
	testMember = order.MemberID("10.0.0.1:7000/a")
	testEpoch  = order.Epoch(1)

	// feedInterval is how much time passes with each input.
	feedInterval = placeInterval + 100*placeIntervalPerStep
)

var (
	testStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

	// errRefused is the error of an order whose connection is refused, as after
	// the exit of its worker.
	errRefused = errors.Join(ErrNotSent, ErrConnectionRefused)
)

func newDriver(t testing.TB, epoch order.Epoch) *driver {
	registry := gauge.New(zerolog.Nop())
	registry.SetStrict(true)
	d := &driver{t: t, is: is.New(t), now: testStart, version: 10}
	record := storage.NewEntry("cell/owner", nil, 1)
	d.m = New(testMember, epoch, record, NewLimits(10*time.Second, time.Minute).WithWriteRate(400).WithWorkerSilence(4500*time.Millisecond), d.now, registry, zerolog.Nop())
	return d
}

func (d *driver) configure(advice policy.Advice, limit order.Resources) {
	d.feed(NewConfigMsg(testConfig(advice, limit), nil))
}

// testConfig returns a configuration with one queue and one team.
func testConfig(advice policy.Advice, limit order.Resources) *policy.Config {
	q := policy.NewQueue(testQueue, testHost, "/proofs/", "press").WithAttempts(3).
		WithObjective(2, time.Second).WithAdvice(advice)
	team := policy.NewTeam(testTeam, []string{testKey}, 1, limit)
	return policy.NewConfig(1, []policy.Queue{q}, []policy.Team{team})
}

// newDriverWithJob returns a driver whose cell has the workers and has stored
// testJob with the steps.
func newDriverWithJob(t testing.TB, workers []order.WorkerID, steps ...order.JobStep) *driver {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers(workers...)
	d.call(order.SubmitJob, steps...)
	d.commitAll()
	return d
}

// feed applies an input late enough for the next round of placement, and
// collects the commands that follow.
func (d *driver) feed(in Msg) {
	d.now = d.now.Add(feedInterval)
	d.m.Handle(d.now, in)
	d.decide()
}

func (d *driver) decide() {
	if !d.unconfirmed {
		d.confirm()
	}
	d.commands = append(d.commands, d.m.Decide(d.now)...)
}

// confirm lets the store confirm the ownership.
func (d *driver) confirm() {
	d.m.Handle(d.now, NewConfirmedMsg(d.m.epoch, d.now, d.m.suspended))
}

// advance lets time pass in steps of 20 ms and collects the commands.
func (d *driver) advance(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.now = d.now.Add(20 * time.Millisecond)
		d.decide()
	}
}

func workerInfo(id order.WorkerID, incarnation int64) WorkerInfo {
	return NewWorkerInfo(id, "10.0.1.1:80", "press", "quay", order.NewResources(8000, 1<<30, 0)).
		WithLabels([]string{"a", "r1-1"}).WithIncarnation(incarnation, false)
}

// addWorkers lists the workers, answers the first poll of each, and stores the
// list.
func (d *driver) addWorkers(ids ...order.WorkerID) {
	for _, id := range ids {
		d.feed(NewWorkersMsg([]WorkerInfo{workerInfo(id, 1)}, nil, false))
	}
	d.answerFirstPolls(ids)
	d.commitAll()
}

// answerFirstPolls answers the first poll of each worker, in the order in which
// they are sent.
func (d *driver) answerFirstPolls(ids []order.WorkerID) {
	d.t.Helper()
	waiting := make(map[order.WorkerID]bool, len(ids))
	for _, id := range ids {
		waiting[id] = true
	}
	for len(waiting) > 0 {
		id, ok := d.openPoll(waiting)
		if !ok {
			d.t.Fatalf("no open poll of %d workers", len(waiting))
		}
		delete(waiting, id)
		d.answerPoll(id, nil, nil)
	}
}

// openPoll returns a worker of the set that has an open poll.
func (d *driver) openPoll(ids map[order.WorkerID]bool) (order.WorkerID, bool) {
	for _, c := range d.commands {
		if poll, ok := c.(PollCmd); ok && ids[poll.order.to.worker] {
			return poll.order.to.worker, true
		}
	}
	return "", false
}

// answerPoll answers the open poll of a worker.
func (d *driver) answerPoll(id order.WorkerID, running []RunningTask, ended []EndedTask) {
	d.t.Helper()
	d.answerPollWith(id, NewReport(d.workerClock(), 1, running, ended))
}

// answerPartialPoll answers the open poll of a worker that runs nothing and has
// more ends than those listed.
func (d *driver) answerPartialPoll(id order.WorkerID, ended []EndedTask) {
	d.t.Helper()
	d.answerPollWith(id, NewReport(d.workerClock(), 1, nil, ended).WithMoreEnds(true))
}

func (d *driver) workerClock() int64 { return 1000 + d.now.Sub(testStart).Milliseconds() }

func (d *driver) answerPollWith(id order.WorkerID, report Report) {
	d.t.Helper()
	for i, c := range d.commands {
		if poll, ok := c.(PollCmd); ok && poll.order.to.worker == id {
			d.removeCommand(i)
			d.feed(PolledMsg{order: poll.order, sentAt: d.now, report: report})
			return
		}
	}
	d.t.Fatalf("no open poll of %s", id)
}

// failPoll answers the open poll of a worker with the error.
func (d *driver) failPoll(id order.WorkerID, err error) {
	d.t.Helper()
	for i, c := range d.commands {
		if poll, ok := c.(PollCmd); ok && poll.order.to.worker == id {
			d.removeCommand(i)
			d.feed(PolledMsg{order: poll.order, sentAt: d.now, err: err})
			return
		}
	}
	d.t.Fatalf("no open poll of %s", id)
}

// commitAll stores batches until there are no more.
func (d *driver) commitAll() {
	d.advance(2 * flushInterval)
	for {
		c, ok := d.takeCommit()
		if !ok {
			return
		}
		d.version++
		d.feed(CommittedMsg{batchID: c.batchID, version: d.version})
		d.advance(2 * flushInterval)
	}
}

func (d *driver) removeCommand(i int) { d.commands = append(d.commands[:i:i], d.commands[i+1:]...) }

func (d *driver) takeStart() (StartCmd, bool) {
	c, ok := d.takeOrder(func(c Command) bool { _, ok := c.(StartCmd); return ok })
	found, _ := c.(StartCmd)
	return found, ok
}

func (d *driver) takeStop() (StopCmd, bool) {
	c, ok := d.takeOrder(func(c Command) bool { _, ok := c.(StopCmd); return ok })
	found, _ := c.(StopCmd)
	return found, ok
}

func (d *driver) takePoll() (PollCmd, bool) {
	c, ok := d.takeOrder(func(c Command) bool { _, ok := c.(PollCmd); return ok })
	found, _ := c.(PollCmd)
	return found, ok
}

// takeOrder removes and returns the next order of a kind as if it were sent. It
// fails those before that have no valid permit, as the runner does.
func (d *driver) takeOrder(kind func(Command) bool) (Command, bool) {
	for i := 0; i < len(d.commands); {
		c := d.commands[i]
		if !kind(c) {
			i++
			continue
		}
		d.removeCommand(i)
		if d.send(c) {
			return c, true
		}
	}
	return nil, false
}

// send uses the permit of the order, and fails the order if there is none.
func (d *driver) send(c Command) bool {
	switch c := c.(type) {
	case StartCmd:
		if c.order.permit.use(d.now) {
			return true
		}
		d.m.Handle(d.now, StartedMsg{order: c.order, err: errWithdrawn})
	case StopCmd:
		if c.order.permit.use(d.now) {
			return true
		}
		d.m.Handle(d.now, StoppedMsg{order: c.order, err: errWithdrawn})
	case PollCmd:
		if c.order.permit.use(d.now) {
			return true
		}
		d.m.Handle(d.now, PolledMsg{order: c.order, sentAt: d.now, err: errWithdrawn})
	}
	return false
}

func (d *driver) takeCommit() (CommitCmd, bool) {
	for i, c := range d.commands {
		if found, ok := c.(CommitCmd); ok {
			d.removeCommand(i)
			return found, true
		}
	}
	return CommitCmd{}, false
}

// submit sends a job whose ID is made from the number.
func (d *driver) submit(number int, steps ...order.JobStep) {
	d.feed(NewCallMsg("client", order.JobCallMsg{}.WithCall(uint64(100+number)).WithVerb(order.SubmitJob).WithHost(testHost).
		WithPath("/proofs/"+string(jobID(number))).WithKey(testKey).WithSpec(order.JobSpec{}.WithSteps(steps))))
}

// markManyDirty submits and stores jobs, and then marks each as changed.
func (d *driver) markManyDirty(count int) {
	for i := range count {
		d.submit(i, smallStep(2))
		if i%10 == 0 {
			d.commitAll()
		}
	}
	d.commitAll()
	for _, j := range d.m.active {
		d.m.markDirty(j)
	}
}

func jobID(number int) order.JobID { return order.JobID(fmt.Sprintf("%016x", number+1)) }

// call sends a client's call about testJob.
func (d *driver) call(verb order.JobVerb, steps ...order.JobStep) { d.feed(jobCall(verb, steps...)) }

// jobCall returns a client's call about testJob.
func jobCall(verb order.JobVerb, steps ...order.JobStep) CallMsg {
	return NewCallMsg("client", order.JobCallMsg{}.WithCall(7).WithVerb(verb).WithHost(testHost).
		WithPath("/proofs/"+testJob).WithKey(testKey).WithSpec(order.JobSpec{}.WithPayload("p").WithSteps(steps)))
}

// takeReply removes and returns the next reply to a client.
func (d *driver) takeReply() (order.JobReplyMsg, bool) {
	for i, c := range d.commands {
		if s, ok := c.(SendCmd); ok {
			if r, ok := s.msg.(order.JobReplyMsg); ok {
				d.removeCommand(i)
				return r, true
			}
		}
	}
	return order.JobReplyMsg{}, false
}

// takeAdviceRequest removes and returns the next advice request.
func (d *driver) takeAdviceRequest() (order.AdviceRequestMsg, bool) {
	for i, c := range d.commands {
		if s, ok := c.(SendCmd); ok {
			if q, ok := s.msg.(order.AdviceRequestMsg); ok {
				d.removeCommand(i)
				return q, true
			}
		}
	}
	return order.AdviceRequestMsg{}, false
}

// answerAdvice answers an advice request with tickets for the given workers.
func (d *driver) answerAdvice(q order.AdviceRequestMsg, good ...order.WorkerID) {
	var tickets []order.WorkerTicket
	for _, id := range good {
		tickets = append(tickets, order.WorkerTicket{}.WithWorker(id).WithTicket("t-"+string(id)))
	}
	d.feed(NewAdviceMsg(testMember, order.AdviceReplyMsg{}.WithCall(q.Call()).WithOk(true).WithTickets(tickets)))
}

func (d *driver) answerStart(s StartCmd, err error) {
	d.feed(StartedMsg{order: s.order, err: err})
}

func smallStep(tasks int) order.JobStep {
	return order.JobStep{}.WithTasks(tasks).WithSize(order.NewResources(1000, 1<<20, 0)).WithEstimate(time.Second)
}

func entries(key string, value []byte) []storage.Entry {
	return []storage.Entry{storage.NewEntry(key, value, 5)}
}
